/// \file
/// Odd entries of another writer among those of the replicas. A process that reads them must stay
/// up and follow the entries of real replicas.
#include <cppunit/extensions/HelperMacros.h>

#include <thread>

#include "platform/names.hpp"
#include "platform_support/platform_stand_in.hpp"

namespace stoneport::tests {
namespace {

/// Until every process has read a row of the store.
constexpr std::chrono::milliseconds kRowDelay{100};
constexpr std::size_t kItems = 12;

/// \return an entry of a service's replica in which \p field has the JSON text \p value.
std::string entry_with(const std::string& service, const std::string& field,
                       const std::string& value) {
  nlohmann::json entry = {{"service", service}, {"address", "127.0.0.1:9"},
                          {"zone", "zone-a"},   {"version", "v1"},
                          {"slots", 8},         {"coldRemainingMs", 0},
                          {"state", "ready"},   {"models", nlohmann::json::array()}};
  entry.erase(field);
  std::string text = entry.dump();
  text.insert(1, "\"" + field + "\":" + value + ",");
  return text;
}

std::string repeat(const std::string& text, std::size_t count) {
  std::string repeated;
  for (std::size_t index = 0; index < count; ++index) {
    repeated += text;
  }
  return repeated;
}

using FieldValues = std::vector<std::pair<std::string, std::vector<std::string>>>;

std::vector<std::string> entries_with(const std::string& service, const FieldValues& values) {
  std::vector<std::string> entries;
  for (const auto& [field, texts] : values) {
    for (const std::string& text : texts) {
      entries.push_back(entry_with(service, field, text));
    }
  }
  return entries;
}

/// \return entries that name no replica.
std::vector<std::string> unusable_entries(const std::string& service) {
  constexpr std::size_t kDepth = 10'000;
  std::vector<std::string> entries = entries_with(
      service, {{"slots",
                 {"0", "-1", "1.5", "4294967295", "4294967296", "18446744073709551615", "1e308",
                  "1e400", "\"8\"", "null", "[]"}},
                {"address",
                 {"\"127.0.0.1:0\"", "\"127.0.0.1:65536\"", "\"127.0.0.1:-1\"",
                  "\"127.0.0.1:4294967305\"", "\"127.0.0.1\"", "9"}},
                {"coldRemainingMs", {"1e400", "\"1\""}},
                {"sequence", {"1e400", "{}"}},
                {"born", {"-1", "1e30", "\"1\""}},
                {"models",
                 {R"([{"name":"model","version":1e308}])", R"([{"name":"model","version":-1}])",
                  "[[]]", "{}", repeat("[", kDepth)}}});
  for (const std::string& text :
       {std::string(), std::string("{"), std::string("null"), std::string("[]"), std::string("17"),
        std::string("\"entry\""), std::string("\xff\xfe\x01"), repeat("[", kDepth),
        repeat("[", kDepth) + repeat("]", kDepth), repeat("{\"a\":", kDepth)}) {
    entries.push_back(text);
  }
  return entries;
}

/// \return entries that name a replica, at an address where none is: as many as one request may try
/// before it gets to a real one.
std::vector<std::string> extreme_entries(const std::string& service) {
  return entries_with(service,
                      {{"address", {"\"nowhere:9\""}},
                       {"coldRemainingMs", {"1e308", "18446744073709551615"}},
                       {"sequence", {"1e308"}},
                       {"born", {"18446744073709551615"}},
                       {"models", {R"([{"name":"model","version":18446744073709551615}])"}}});
}

std::vector<std::string> odd_entries(const std::string& service) {
  std::vector<std::string> entries = unusable_entries(service);
  for (const std::string& entry : extreme_entries(service)) {
    entries.push_back(entry);
  }
  return entries;
}

}  // namespace

class OddEntriesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OddEntriesTest);
  CPPUNIT_TEST(processes_stay_up_and_follow_replicas);
  CPPUNIT_TEST(processes_start_among_odd_entries);
  CPPUNIT_TEST_SUITE_END();

  static PlatformStandIn::Options two_machines() {
    PlatformStandIn::Options options;
    options.processes = 2;
    return options;
  }
  static void put(PlatformStandIn& platform, const std::string& id,
                  std::optional<std::string> entry) {
    platform.on_loop(
        [&] { platform.store().put(std::string(platform::kReplicaTable), id, std::move(entry)); });
  }
  static void put_all(PlatformStandIn& platform) {
    for (const std::string service : {"plain", "models"}) {
      std::size_t index = 0;
      for (const std::string& entry : odd_entries(service)) {
        put(platform, "odd-" + service + "-" + std::to_string(index++), entry);
      }
    }
  }
  static void set_down(PlatformStandIn& platform, const std::string& id, bool is_down) {
    platform.on_loop([&] { platform.replica(id).faults.down = is_down; });
  }
  /// Requests and a job at both processes, and a real replica that leaves and comes back.
  static void check_served(PlatformStandIn& platform) {
    set_down(platform, "plain-0", true);
    std::this_thread::sleep_for(std::chrono::seconds(1));
    set_down(platform, "plain-0", false);
    set_down(platform, "plain-1", true);
    std::this_thread::sleep_for(std::chrono::seconds(1));
    for (std::size_t index = 0; index < 40; ++index) {
      const std::string id = "lookup-" + std::to_string(index);
      const HttpAnswer answer = platform.request(index % 2, "POST", "/safe/a", id, id);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.failure + answer.body, 200u, answer.status);
    }
    CPPUNIT_ASSERT_EQUAL(202u, platform.submit(0, "job", kItems).status);
    CPPUNIT_ASSERT(platform.wait_whole(1, "job", kItems, std::chrono::seconds(8)));
    for (std::size_t process = 0; process < 2; ++process) {
      CPPUNIT_ASSERT(platform.running(process));
    }
  }

  void processes_stay_up_and_follow_replicas() {
    PlatformStandIn platform(two_machines());
    for (const std::string& entry : odd_entries("plain")) {
      put(platform, "odd", entry);
      std::this_thread::sleep_for(kRowDelay);
      for (std::size_t process = 0; process < 2; ++process) {
        CPPUNIT_ASSERT_MESSAGE(entry.substr(0, 200), platform.running(process));
      }
    }
    put_all(platform);
    check_served(platform);
  }

  void processes_start_among_odd_entries() {
    PlatformStandIn platform(two_machines());
    put_all(platform);
    for (std::size_t process = 0; process < 2; ++process) {
      platform.kill(process);
      platform.start(process);
      platform.wait_until_ready(process);
    }
    check_served(platform);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OddEntriesTest);

}  // namespace stoneport::tests
