/// \file
/// Replica windows: their cost as a service grows, how callers spread, and when windows are
/// extended.
#include "ingress/replica_window.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <algorithm>
#include <map>

namespace stoneport::ingress {
namespace {

constexpr std::size_t kEnough = 64;

ReplicaRecord record(std::size_t index) {
  ReplicaRecord made;
  made.id = core::ReplicaId(fmt::format("replica-{:05}", index));
  made.service = core::ServiceName("service");
  made.slots = 1;
  return made;
}

std::vector<ReplicaRecord> records(std::size_t count) {
  std::vector<ReplicaRecord> made;
  for (std::size_t index = 0; index < count; ++index) {
    made.push_back(record(index));
  }
  return made;
}

/// A service that counts how many of its replicas are visited.
struct Service {
  explicit Service(std::size_t count) { directory.update(records(count)); }

  const std::vector<ReplicaPointer>& replicas() const {
    return directory.of_service(core::ServiceName("service"));
  }
  std::vector<ReplicaPointer> window(const std::string& owner) {
    const auto usable = [this](const ReplicaState&) { return ++looked_at > 0; };
    const auto has_room = [](const ReplicaState& replica) { return replica.in_flight == 0; };
    return replicas_in_window(replicas(), window_start(owner, replicas().size()), kEnough, usable,
                              has_room);
  }

  ReplicaDirectory directory;
  std::size_t looked_at = 0;
};

}  // namespace

class ReplicaWindowTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplicaWindowTest);
  CPPUNIT_TEST(a_request_costs_the_same_in_a_service_of_any_size);
  CPPUNIT_TEST(a_small_service_is_compared_whole_and_in_order);
  CPPUNIT_TEST(callers_spread_over_the_service);
  CPPUNIT_TEST(a_window_grows_while_its_replicas_are_full);
  CPPUNIT_TEST(a_window_stays_where_it_is_as_replicas_come_and_go);
  CPPUNIT_TEST(a_window_wraps_around);
  CPPUNIT_TEST(replicas_with_later_versions_are_found_without_a_full_scan);
  CPPUNIT_TEST_SUITE_END();

  void a_request_costs_the_same_in_a_service_of_any_size() {
    for (const std::size_t count : {555u, 2222u}) {
      Service service(count);
      CPPUNIT_ASSERT_EQUAL(kEnough, service.window("process-1").size());
      CPPUNIT_ASSERT_EQUAL(kEnough, service.looked_at);
    }
  }

  void a_small_service_is_compared_whole_and_in_order() {
    Service service(kEnough);
    CPPUNIT_ASSERT(service.window("process-1") == service.replicas());
    CPPUNIT_ASSERT(Service(0).window("process-1").empty());
  }

  /// 985 windows of 64 over 2,222 replicas: 28 callers per replica on average.
  void callers_spread_over_the_service() {
    Service service(2222);
    std::map<core::ReplicaId, std::size_t> callers;
    for (const ReplicaPointer& replica : service.replicas()) {
      callers[replica->record.id] = 0;
    }
    for (int process = 0; process < 985; ++process) {
      for (const ReplicaPointer& replica : service.window(fmt::format("front-{}", process))) {
        ++callers[replica->record.id];
      }
    }
    const auto [least, most] = std::minmax_element(
        callers.begin(), callers.end(),
        [](const auto& left, const auto& right) { return left.second < right.second; });
    CPPUNIT_ASSERT_MESSAGE(std::to_string(least->second), least->second >= 5);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(most->second), most->second <= 3 * 28);
  }

  void a_window_grows_while_its_replicas_are_full() {
    Service service(500);
    const std::vector<ReplicaPointer> before = service.window("process-1");
    for (std::size_t index = 0; index < 10; ++index) {
      before[index]->in_flight = 1;
    }
    CPPUNIT_ASSERT_EQUAL(kEnough + 10, service.window("process-1").size());
    for (const ReplicaPointer& replica : service.replicas()) {
      replica->in_flight = 1;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{500}, service.window("process-1").size());
  }

  void a_window_stays_where_it_is_as_replicas_come_and_go() {
    Service service(500);
    const std::vector<ReplicaPointer> before = service.window("process-1");
    service.directory.apply({{}, {service.replicas()[2]->record.id}});
    service.directory.apply({{record(900)}, {}});
    std::size_t kept = 0;
    for (const ReplicaPointer& replica : service.window("process-1")) {
      kept += std::find(before.begin(), before.end(), replica) != before.end() ? 1 : 0;
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(kept), kept >= kEnough - 3);
  }

  void a_window_wraps_around() {
    Service service(100);
    const auto all = [](const ReplicaState&) { return true; };
    const std::vector<ReplicaPointer> window =
        replicas_in_window(service.replicas(), 90, kEnough, all, all);
    CPPUNIT_ASSERT(window.front() == service.replicas()[90]);
    CPPUNIT_ASSERT(window.back() == service.replicas()[53]);
  }

  void replicas_with_later_versions_are_found_without_a_full_scan() {
    const core::ModelName model("model");
    ReplicaDirectory directory;
    std::vector<ReplicaRecord> listed = records(300);
    for (ReplicaRecord& one : listed) {
      one.versions[model] = kFirstVersion;
    }
    listed[7].versions[model] = core::WeightVersion(3);
    directory.update(listed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory.with_later_version(model).size());
    directory.note_version(directory.find(listed[3].id), model, core::WeightVersion(2));
    const std::vector<ReplicaPointer>& later = directory.with_later_version(model);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, later.size());
    CPPUNIT_ASSERT(later.front()->record.id == listed[3].id);
    directory.apply({{}, {listed[7].id}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory.with_later_version(model).size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaWindowTest);

}  // namespace stoneport::ingress
