#include "bench/scale_measurement.hpp"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <thread>

#include "controllers/gossip_simulation.hpp"

namespace stoneport::bench {

namespace {

using controllers::GossipController;

constexpr core::Duration kLimit = std::chrono::seconds(120);
constexpr core::Duration kSettle = std::chrono::seconds(12);
constexpr std::size_t kKilledShare = 10;

double processor_seconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double resident_bytes() {
  std::ifstream file("/proc/self/statm");
  double total_pages = 0;
  double resident_pages = 0;
  file >> total_pages >> resident_pages;
  return resident_pages * static_cast<double>(sysconf(_SC_PAGESIZE));
}

/// What is announced; each round uses values of its own.
struct Announcement {
  core::Revision revision;
  wire::PolicyVersion policy;
  wire::ReplicaDrainMark mark;
};

Announcement make_announcement(std::uint64_t round) {
  Announcement announcement;
  announcement.revision = core::Revision(round);
  announcement.policy.policy = core::PolicyName("policy");
  announcement.policy.version = core::WeightVersion(round);
  announcement.mark.replica = core::ReplicaId("replica-" + std::to_string(round));
  announcement.mark.incarnation = core::Incarnation(1);
  return announcement;
}

bool knows_revision(const GossipController& controller, const core::NodeId& node,
                    core::Revision revision) {
  for (const wire::Member& member : controller.members()) {
    if (member.node == node) {
      return member.configuration_revision >= revision;
    }
  }
  return false;
}

/// Announces at the last member that runs and waits for everyone.
SpreadTimes spread(HollowCluster& cluster, std::uint64_t round) {
  std::size_t announcer = cluster.size() - 1;
  while (!cluster.running(announcer)) {
    --announcer;
  }
  const Announcement news = make_announcement(round);
  const core::NodeId node = HollowCluster::node_name(announcer);
  SpreadTimes times;
  cluster.run_on(announcer, [&](GossipController& controller) {
    controller.announce_configuration(news.revision);
  });
  times.revision = cluster.wait_for_all(
      [&](const GossipController& controller) {
        return knows_revision(controller, node, news.revision);
      },
      kLimit);
  cluster.run_on(announcer, [&](GossipController& controller) {
    controller.announce_policy_version(news.policy);
  });
  times.policy = cluster.wait_for_all(
      [&](const GossipController& controller) {
        const auto found = controller.policy_versions().find(news.policy.policy);
        return found != controller.policy_versions().end() && found->second >= news.policy.version;
      },
      kLimit);
  cluster.run_on(announcer, [&](GossipController& controller) {
    controller.mark_replica_draining(news.mark);
  });
  times.drain_mark = cluster.wait_for_all(
      [&](const GossipController& controller) {
        return controller.drain_marks().count(news.mark.replica) > 0;
      },
      kLimit);
  return times;
}

std::size_t count_members(const GossipController& controller, wire::MemberState state) {
  const std::vector<wire::Member> members = controller.members();
  return static_cast<std::size_t>(
      std::count_if(members.begin(), members.end(),
                    [&](const wire::Member& member) { return member.state == state; }));
}

void measure_quiet(HollowCluster& cluster, core::Duration window, ScaleMeasurement& result) {
  std::this_thread::sleep_for(kSettle);
  const ClusterTraffic before = cluster.traffic();
  const double processor_before = processor_seconds();
  std::this_thread::sleep_for(window);
  const double processor = processor_seconds() - processor_before;
  const ClusterTraffic after = cluster.traffic();
  const double member_seconds =
      core::to_seconds(window) * static_cast<double>(cluster.running_count());
  result.bytes_per_second =
      static_cast<double>(after.bytes_sent - before.bytes_sent) / member_seconds;
  result.packets_per_second =
      static_cast<double>(after.packets_sent - before.packets_sent) / member_seconds;
  result.processor_share = processor / member_seconds;
}

void measure_kill(HollowCluster& cluster, ScaleMeasurement& result) {
  const std::size_t killed = cluster.size() / kKilledShare;
  for (std::size_t index = 0; index < killed; ++index) {
    cluster.kill(index * kKilledShare + 1);
  }
  const core::SystemTimeSource time;
  const core::MonotonicTime start = time.now();
  const ClusterTraffic before = cluster.traffic();
  result.after_kill = spread(cluster, 2);
  const auto rest = cluster.wait_for_all(
      [&](const GossipController& controller) {
        return count_members(controller, wire::MemberState::kDead) >= killed;
      },
      kLimit);
  const core::Duration taken = time.now() - start;
  if (rest) {
    result.failures_known = taken;
  }
  const ClusterTraffic after = cluster.traffic();
  result.bytes_per_second_after_kill =
      static_cast<double>(after.bytes_sent - before.bytes_sent) /
      (core::to_seconds(taken) * static_cast<double>(cluster.running_count()));
}

nlohmann::json seconds_or_null(const std::optional<core::Duration>& duration) {
  return duration ? nlohmann::json(core::to_seconds(*duration)) : nlohmann::json();
}

nlohmann::json to_json(const SpreadTimes& times) {
  return {{"revision_seconds", seconds_or_null(times.revision)},
          {"policy_seconds", seconds_or_null(times.policy)},
          {"drain_mark_seconds", seconds_or_null(times.drain_mark)}};
}

nlohmann::json slope_json(const std::vector<ScaleMeasurement>& measurements,
                          double ScaleMeasurement::*value) {
  std::vector<std::pair<double, double>> points;
  for (const ScaleMeasurement& one : measurements) {
    points.emplace_back(one.members, one.*value);
  }
  const Slope slope = fit(points);
  return {{"at_zero", slope.at_zero}, {"per_member", slope.per_member}};
}

}  // namespace

core::Result<ScaleMeasurement> measure_scale(const HollowClusterSettings& settings,
                                             core::Duration window) {
  ScaleMeasurement result;
  result.members = settings.members;
  const double memory_before = resident_bytes();
  HollowCluster cluster(settings);
  const auto started = cluster.start();
  if (!started) {
    return started.error();
  }
  const std::size_t expected = settings.members;
  result.join = cluster.wait_for_all(
      [&](const GossipController& controller) {
        return count_members(controller, wire::MemberState::kAlive) >= expected;
      },
      kLimit);
  measure_quiet(cluster, window, result);
  result.memory_bytes = (resident_bytes() - memory_before) / static_cast<double>(settings.members);
  result.quiet = spread(cluster, 1);
  measure_kill(cluster, result);
  return result;
}

ScaleMeasurement measure_scale_in_virtual_time(std::uint32_t members, std::uint64_t seed) {
  controllers::GossipSimulationSettings settings;
  settings.members = members;
  settings.seed = seed;
  settings.gossip = controllers::gossip_settings(config::DaemonSettings());
  const controllers::GossipMeasurement measured = controllers::measure_gossip(settings);
  ScaleMeasurement result;
  result.members = members;
  result.join = measured.join;
  result.bytes_per_second = measured.idle_bytes_per_second;
  result.quiet.revision = measured.revision;
  result.quiet.drain_mark = measured.drain_mark;
  result.failures_known = measured.failures;
  result.bytes_per_second_after_kill = measured.peak_bytes_per_second;
  return result;
}

Slope fit(const std::vector<std::pair<double, double>>& points) {
  Slope slope;
  const auto count = static_cast<double>(points.size());
  double sum_x = 0;
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
  for (const auto& [x, y] : points) {
    sum_x += x;
    sum_y += y;
    sum_xx += x * x;
    sum_xy += x * y;
  }
  const double spread_x = count * sum_xx - sum_x * sum_x;
  if (points.empty() || spread_x == 0) {
    slope.at_zero = points.empty() ? 0 : sum_y / count;
    return slope;
  }
  slope.per_member = (count * sum_xy - sum_x * sum_y) / spread_x;
  slope.at_zero = (sum_y - slope.per_member * sum_x) / count;
  return slope;
}

nlohmann::json to_json(const std::vector<ScaleMeasurement>& measurements) {
  nlohmann::json sizes = nlohmann::json::array();
  for (const ScaleMeasurement& one : measurements) {
    sizes.push_back({{"members", one.members},
                     {"join_seconds", seconds_or_null(one.join)},
                     {"bytes_per_second", one.bytes_per_second},
                     {"packets_per_second", one.packets_per_second},
                     {"processor_share", one.processor_share},
                     {"memory_bytes", one.memory_bytes},
                     {"quiet", to_json(one.quiet)},
                     {"after_kill", to_json(one.after_kill)},
                     {"failures_known_seconds", seconds_or_null(one.failures_known)},
                     {"bytes_per_second_after_kill", one.bytes_per_second_after_kill}});
  }
  return {{"sizes", std::move(sizes)},
          {"slopes",
           {{"bytes_per_second", slope_json(measurements, &ScaleMeasurement::bytes_per_second)},
            {"processor_share", slope_json(measurements, &ScaleMeasurement::processor_share)},
            {"memory_bytes", slope_json(measurements, &ScaleMeasurement::memory_bytes)}}}};
}

}  // namespace stoneport::bench
