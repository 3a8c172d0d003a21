#include "config/settings_schema.hpp"

#include <fmt/format.h>

namespace stoneport::config {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr auto kRequired = Presence::kRequired;
constexpr std::uint32_t kMostTrafficThreads = 256;
constexpr std::uint32_t kLeastGossipBytes = 500;
constexpr std::uint32_t kMostGossipBytes = 10'000'000;
constexpr std::uint32_t kLargestSubset = 4096;
constexpr double kLeastTableRate = 0.1;
constexpr double kMostTableRate = 100'000;

void add_identity(Schema<DaemonSettings>& schema) {
  schema
      .add(
          "node", "name of this machine among the daemons", [](auto& s) -> auto& { return s.node; },
          name_codec<core::NodeId>(), kRequired)
      .add(
          "zone", "zone that this machine stands in", [](auto& s) -> auto& { return s.zone; },
          name_codec<core::ZoneName>(), kRequired)
      .add(
          "region", "region that the zone belongs to", [](auto& s) -> auto& { return s.region; },
          name_codec<core::RegionName>(), kRequired);
}

void add_listeners(Schema<DaemonSettings>& schema) {
  const auto listener = address_codec(AddressUse::kListener);
  const auto announced = address_codec(AddressUse::kAnnouncedListener);
  schema
      .add(
          "caller_listener", "where callers send requests and completions (HTTP)",
          [](auto& s) -> auto& { return s.caller_listener; }, listener, kRequired)
      .add(
          "trainer_listener", "where the trainer beside this daemon calls (HTTP)",
          [](auto& s) -> auto& { return s.trainer_listener; }, optional_codec(listener))
      .add(
          "admin_listener", "metrics, health and operators (HTTP)",
          [](auto& s) -> auto& { return s.admin_listener; }, listener, kRequired)
      .add(
          "peer_listener", "where other daemons call (HTTP)",
          [](auto& s) -> auto& { return s.peer_listener; }, announced, kRequired)
      .add(
          "gossip_listener", "where other daemons send gossip (UDP)",
          [](auto& s) -> auto& { return s.gossip_listener; }, announced, kRequired);
}

void add_platform(Schema<DaemonSettings>& schema) {
  const auto remote = address_codec(AddressUse::kRemote);
  schema
      .add(
          "table_service", "the platform's table service",
          [](auto& s) -> auto& { return s.table_service; }, remote, kRequired)
      .add(
          "object_store", "the platform's object store",
          [](auto& s) -> auto& { return s.object_store; }, remote, kRequired)
      .add(
          "weight_store", "the platform's weight store",
          [](auto& s) -> auto& { return s.weight_store; }, remote, kRequired)
      .add(
          "machine_list", "the platform's list of machines",
          [](auto& s) -> auto& { return s.machine_list; }, remote, kRequired)
      .add(
          "scoring_service", "the scoring service of rollouts",
          [](auto& s) -> auto& { return s.scoring_service; }, remote, kRequired);
}

void add_limits(Schema<DaemonSettings>& schema) {
  schema
      .add(
          "traffic_threads", "threads that serve requests",
          [](auto& s) -> auto& { return s.traffic_threads; },
          number_codec<std::uint32_t>(1, kMostTrafficThreads))
      .add(
          "drain_timeout", "longest time that a planned stop waits for requests in flight",
          [](auto& s) -> auto& { return s.drain_timeout; },
          duration_codec(milliseconds(100), hours(24)))
      .add(
          "gossip_interval", "time between two rounds of gossip",
          [](auto& s) -> auto& { return s.gossip_interval; },
          duration_codec(milliseconds(10), minutes(1)))
      .add(
          "machine_list_interval", "time between two readings of the machine list",
          [](auto& s) -> auto& { return s.machine_list_interval; },
          duration_codec(milliseconds(50), minutes(10)))
      .add(
          "watch_interval", "time between two polls of one replica",
          [](auto& s) -> auto& { return s.watch_interval; },
          duration_codec(milliseconds(20), minutes(1)))
      .add(
          "lease_duration", "length of a lease of ownership",
          [](auto& s) -> auto& { return s.lease_duration; },
          duration_codec(milliseconds(200), minutes(10)))
      .add(
          "table_requests_per_second", "this daemon's budget towards the table service",
          [](auto& s) -> auto& { return s.table_requests_per_second; },
          real_codec(kLeastTableRate, kMostTableRate))
      .add(
          "gossip_bytes_per_second", "bound on gossip sent by this daemon",
          [](auto& s) -> auto& { return s.gossip_bytes_per_second; },
          number_codec<std::uint32_t>(kLeastGossipBytes, kMostGossipBytes))
      .add(
          "subset_size", "replicas of one service that this daemon uses",
          [](auto& s) -> auto& { return s.subset_size; },
          number_codec<std::uint32_t>(1, kLargestSubset));
}

void add_log(Schema<DaemonSettings>& schema) {
  schema
      .add(
          "log_level", "least severe log lines to write",
          [](auto& s) -> auto& { return s.log.level; },
          choice_codec({"trace", "debug", "info", "warn", "error", "off"}))
      .add(
          "log_format", "form of log lines", [](auto& s) -> auto& { return s.log.format; },
          enum_codec<core::LogFormat>(
              {{"human", core::LogFormat::kHuman}, {"json", core::LogFormat::kJson}}));
}

Schema<DaemonSettings> build_schema() {
  Schema<DaemonSettings> schema;
  add_identity(schema);
  add_listeners(schema);
  add_platform(schema);
  add_limits(schema);
  add_log(schema);
  return schema;
}

struct NamedListener {
  std::string key;
  core::Address address;
};

std::vector<NamedListener> http_listeners(const DaemonSettings& settings) {
  std::vector<NamedListener> listeners = {{"caller_listener", settings.caller_listener},
                                          {"admin_listener", settings.admin_listener},
                                          {"peer_listener", settings.peer_listener}};
  if (settings.trainer_listener) {
    listeners.push_back({"trainer_listener", *settings.trainer_listener});
  }
  return listeners;
}

void check_distinct_listeners(const DaemonSettings& settings, const SourceDocument& source,
                              Problems& problems) {
  const std::vector<NamedListener> listeners = http_listeners(settings);
  for (std::size_t index = 0; index < listeners.size(); ++index) {
    for (std::size_t other = 0; other < index; ++other) {
      const core::Address& address = listeners[index].address;
      if (address.port != 0 && address == listeners[other].address) {
        problems.push_back(
            problem_at(source, listeners[index].key, format_address(address),
                       fmt::format("an address other than {}", listeners[other].key)));
      }
    }
  }
}

}  // namespace

const Schema<DaemonSettings>& settings_schema() {
  static const Schema<DaemonSettings> schema = build_schema();
  return schema;
}

Problems check_settings(const DaemonSettings& settings, const SourceDocument& source) {
  Problems problems;
  check_distinct_listeners(settings, source, problems);
  if (settings.lease_duration < 2 * settings.gossip_interval) {
    const std::string allowed = fmt::format("at least twice gossip_interval, which is {}",
                                            format_duration(settings.gossip_interval));
    problems.push_back(
        problem_at(source, "lease_duration", format_duration(settings.lease_duration), allowed));
  }
  return problems;
}

}  // namespace stoneport::config
