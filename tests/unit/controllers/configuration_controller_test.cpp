/// \file
/// Tests that configurations are published and spread under faults of the store, of gossip
/// and of peers.
#include "configuration_fixture.hpp"

namespace stoneport::controllers {
namespace {

class ConfigurationControllerTest : public ConfigurationFixture {
  CPPUNIT_TEST_SUITE(ConfigurationControllerTest);
  CPPUNIT_TEST(an_accepted_revision_spreads_by_peers_alone);
  CPPUNIT_TEST(an_accepted_revision_spreads_by_the_store_alone);
  CPPUNIT_TEST(other_zones_hold_a_copy_before_the_answer);
  CPPUNIT_TEST(a_racing_publication_of_another_document_is_planned_again);
  CPPUNIT_TEST(a_racing_publication_of_the_same_document_is_a_conflict);
  CPPUNIT_TEST(a_lost_response_is_unknown_and_a_retry_resolves_it);
  CPPUNIT_TEST(a_store_that_is_down_refuses_and_nothing_changes);
  CPPUNIT_TEST(a_daemon_frozen_over_two_revisions_catches_up);
  CPPUNIT_TEST(a_store_restored_to_an_older_revision_is_not_followed);
  CPPUNIT_TEST(a_daemon_with_content_that_the_store_lost_reads_the_full_configuration);
  CPPUNIT_TEST(a_new_daemon_is_ready_by_peers_in_two_zones);
  CPPUNIT_TEST(peers_in_one_zone_or_not_ready_are_not_sufficient);
  CPPUNIT_TEST(offers_that_do_not_verify_are_refused);
  CPPUNIT_TEST(snapshots_are_published_on_change);
  CPPUNIT_TEST_SUITE_END();

 public:
  void an_accepted_revision_spreads_by_peers_alone() {
    for (const char* zone : {"a", "a", "b", "c", "c"}) {
      CPPUNIT_ASSERT(run_until_ready(add_daemon(zone, peers_only_options())));
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, accepted(*daemons_[1], event_template("t"), 0));
    CPPUNIT_ASSERT(everywhere(1));
    const InForceCounts counts = daemons_[4]->controller.count_in_force(core::Revision(1));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{5}, counts.in_force);
    CPPUNIT_ASSERT(counts.missing.empty());
  }

  void an_accepted_revision_spreads_by_the_store_alone() {
    for (const char* zone : {"a", "b"}) {
      add_daemon(zone).membership.cut_off();
    }
    accepted(*daemons_[0], event_template("t"), 0);
    CPPUNIT_ASSERT(everywhere(1));
  }

  void other_zones_hold_a_copy_before_the_answer() {
    for (const char* zone : {"a", "b", "b", "c"}) {
      CPPUNIT_ASSERT(run_until_ready(add_daemon(zone, peers_only_options())));
    }
    for (const auto& daemon : daemons_) {
      daemon->membership.cut_off();
    }
    const auto outcome = publish(*daemons_[0], event_template("t"), 0);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, std::get<PublishAccepted>(*outcome).copies);
    CPPUNIT_ASSERT(daemons_[1]->revision() + daemons_[2]->revision() >= 1);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, daemons_[3]->revision());
  }

  void a_racing_publication_of_another_document_is_planned_again() {
    ConfigurationDaemon& first = add_daemon("a", peers_only_options());
    table_.before_commit = [this](const ports::Transaction&) {
      table_.before_commit = nullptr;
      commit_elsewhere(event_template("u"));
    };
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, accepted(first, event_template("t"), 0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, first.controller.record().documents.size());
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, table_.commits);
  }

  void a_racing_publication_of_the_same_document_is_a_conflict() {
    ConfigurationDaemon& first = add_daemon("a");
    ConfigurationDaemon& second = add_daemon("b");
    accepted(first, event_template("t", 1), 0);
    accepted(second, event_template("t", 2), 1);
    const auto outcome = publish(first, event_template("t", 3), 1);
    const auto conflict = std::get<config::PublishConflict>(*outcome);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, conflict.in_force.revision.value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, conflict.changes.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, accepted(first, event_template("t", 3), 2));
  }

  void a_lost_response_is_unknown_and_a_retry_resolves_it() {
    ConfigurationDaemon& daemon = add_daemon("a", peers_only_options());
    CPPUNIT_ASSERT(run_until_ready(daemon));
    table_.faults.answers_lost_after_write = 1;
    const auto after_write = publish(daemon, event_template("t"), 0);
    CPPUNIT_ASSERT(after_write.error().code == core::ErrorCode::kOutcomeUnknown);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, daemon.revision());
    const auto repeated = publish(daemon, event_template("t"), 0);
    CPPUNIT_ASSERT(std::get<PublishAccepted>(*repeated).unchanged);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, daemon.revision());

    table_.faults.answers_lost_before_write = 1;
    const auto before_write = publish(daemon, event_template("u"), 0);
    CPPUNIT_ASSERT(before_write.error().code == core::ErrorCode::kOutcomeUnknown);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, accepted(daemon, event_template("u"), 0));
  }

  void a_store_that_is_down_refuses_and_nothing_changes() {
    ConfigurationDaemon& daemon = add_daemon("a");
    accepted(daemon, event_template("t", 1), 0);
    table_.faults.unavailable = true;
    const auto refused = publish(daemon, event_template("t", 2), 1);
    CPPUNIT_ASSERT(refused.error().code == core::ErrorCode::kUnavailable);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, daemon.revision());
    CPPUNIT_ASSERT(daemon.controller.ready());
    table_.faults.unavailable = false;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, accepted(daemon, event_template("t", 2), 1));
  }

  void a_daemon_frozen_over_two_revisions_catches_up() {
    for (const char* zone : {"a", "b"}) {
      CPPUNIT_ASSERT(run_until_ready(add_daemon(zone, peers_only_options())));
    }
    accepted(*daemons_[0], event_template("t", 1), 0);
    CPPUNIT_ASSERT(everywhere(1));
    daemons_[1]->membership.cut_off();
    daemons_[1]->server.abort();
    accepted(*daemons_[0], event_template("t", 2), 1);
    accepted(*daemons_[0], event_template("u"), 0);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, daemons_[1]->revision());
    table_.faults.unavailable = true;
    daemons_[1]->membership.rejoin();
    CPPUNIT_ASSERT(everywhere(3));
  }

  void a_store_restored_to_an_older_revision_is_not_followed() {
    ConfigurationDaemon& daemon = add_daemon("a");
    accepted(daemon, event_template("t", 1), 0);
    const support::MemoryTables backup = table_.tables;
    accepted(daemon, event_template("t", 2), 1);
    table_.tables = backup;
    const std::uint32_t reads = table_.reads;
    CPPUNIT_ASSERT(run_until([this, reads] { return table_.reads > reads + 3; }));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, daemon.revision());
    const auto refused = publish(daemon, event_template("t", 3), 2);
    CPPUNIT_ASSERT(refused.error().code == core::ErrorCode::kUnavailable);
    CPPUNIT_ASSERT(refused.error().message.find("the store holds an older") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, daemon.revision());
  }

  /// The store was restored to revision 1 and other daemons published from there.
  void a_daemon_with_content_that_the_store_lost_reads_the_full_configuration() {
    for (const bool by_store : {true, false}) {
      const auto options = by_store ? quick_options() : peers_only_options();
      ConfigurationDaemon& daemon = add_daemon("a", options);
      CPPUNIT_ASSERT(run_until_ready(daemon));
    }
    accepted(*daemons_[0], event_template("t", 1), 0);
    CPPUNIT_ASSERT(everywhere(1));
    const support::MemoryTables backup = table_.tables;
    accepted(*daemons_[0], event_template("lost"), 0);
    CPPUNIT_ASSERT(everywhere(2));
    table_.tables = backup;
    commit_elsewhere(event_template("u"));
    commit_elsewhere(event_template("v"));
    CPPUNIT_ASSERT(everywhere(3));
    for (const auto& daemon : daemons_) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, daemon->controller.record().documents.size());
      CPPUNIT_ASSERT(!daemon->controller.record().find(key_of(event_template("lost"))));
    }
  }

  void a_new_daemon_is_ready_by_peers_in_two_zones() {
    CPPUNIT_ASSERT(run_until_ready(add_daemon("a")));
    CPPUNIT_ASSERT(run_until_ready(add_daemon("b")));
    accepted(*daemons_[0], event_template("t"), 0);
    table_.faults.unavailable = true;
    ConfigurationDaemon& late = add_daemon("c");
    CPPUNIT_ASSERT(run_until_ready(late));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, late.revision());
  }

  void peers_in_one_zone_or_not_ready_are_not_sufficient() {
    CPPUNIT_ASSERT(run_until_ready(add_daemon("a")));
    CPPUNIT_ASSERT(run_until_ready(add_daemon("a")));
    accepted(*daemons_[0], event_template("t"), 0);
    table_.faults.unavailable = true;
    ConfigurationDaemon& third = add_daemon("b");
    ConfigurationDaemon& fourth = add_daemon("c");
    const std::uint32_t reads = table_.reads;
    CPPUNIT_ASSERT(everywhere(1));
    CPPUNIT_ASSERT(run_until([this, reads] { return table_.reads > reads + 20; }));
    CPPUNIT_ASSERT(!third.controller.ready() && !fourth.controller.ready());
    table_.faults.unavailable = false;
    CPPUNIT_ASSERT(run_until_ready(third) && run_until_ready(fourth));
  }

  void offers_that_do_not_verify_are_refused() {
    ConfigurationDaemon& daemon = add_daemon("a");
    ConfigurationDaemon& other = add_daemon("b", peers_only_options());
    accepted(daemon, event_template("t"), 0);
    CPPUNIT_ASSERT(everywhere(1));
    other.membership.cut_off();
    other.server.abort();
    accepted(daemon, event_template("t", 2), 1);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, other.revision());

    PeerConfiguration bad_hash = daemon.controller.offer_since(core::Revision(1));
    bad_hash.delta.whole_hash += 1;
    PeerConfiguration too_new = daemon.controller.offer_since(core::Revision(2));
    too_new.delta.changed.revision = core::Revision(9);
    PeerConfiguration invalid = daemon.controller.offer_since(core::Revision(1));
    config::ConfigurationRecord whole = daemon.controller.record();
    whole.revision = core::Revision(7);
    whole.documents.begin()->second.document["max_tokens"] = -1;
    whole.documents.begin()->second.revision = core::Revision(7);
    invalid.delta = config::delta_since(whole, core::Revision(1));
    PeerConfiguration fork = daemon.controller.offer_since(core::Revision(0));
    fork.delta.changed.revision = core::Revision(1);
    using config::AdoptionVerdict;
    const std::vector<std::pair<PeerConfiguration, AdoptionVerdict>> cases = {
        {bad_hash, AdoptionVerdict::kBadHash},
        {too_new, AdoptionVerdict::kGap},
        {invalid, AdoptionVerdict::kInvalid},
        {fork, AdoptionVerdict::kFork},
        {other.controller.offer_since({}), AdoptionVerdict::kSame}};
    for (const auto& [offer, verdict] : cases) {
      CPPUNIT_ASSERT(other.controller.accept_offer(offer) == verdict);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, other.revision());
    }
    const PeerConfiguration older = other.controller.offer_since({});
    CPPUNIT_ASSERT(daemon.controller.accept_offer(older) == AdoptionVerdict::kOlder);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, daemon.revision());
    const PeerConfiguration newer = daemon.controller.offer_since({});
    CPPUNIT_ASSERT(other.controller.accept_offer(newer) == AdoptionVerdict::kAdopted);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, other.revision());
  }

  void snapshots_are_published_on_change() {
    ConfigurationDaemon& daemon = add_daemon("a");
    const auto view = daemon.controller.snapshots().subscribe(context_.get_executor());
    int changes = 0;
    daemon.controller.on_change([&changes] { ++changes; });
    accepted(daemon, event_template("t"), 0);
    CPPUNIT_ASSERT(run_until([&view] { return view->get()->revision == core::Revision(1); }));
    CPPUNIT_ASSERT(view->get()->event_templates.contains(core::TemplateName("t")));
    CPPUNIT_ASSERT(changes >= 1);
  }

 private:
  /// Publishes the new document \p document on top of the store's newest configuration,
  /// like a daemon that is connected to ours only through the store.
  void commit_elsewhere(const config::Document& document) {
    boost::asio::io_context other;
    ConfigurationStore store(table_, "other-" + key_of(document).name);
    const auto priority = ports::TablePriority::kInteractive;
    const ConfigurationHead head = *support::run_task(other, store.read_head(priority));
    config::ConfigurationRecord newest;
    newest.revision = head.revision;
    newest.documents = *support::run_task(other, store.read_documents({}, priority));
    const config::PublishRequest request{document, core::Revision(), "abebe", ""};
    const auto plan = config::plan_publish(newest, request, core::WallTime());
    const auto committed =
        support::run_task(other, store.commit(std::get<config::PublishCommit>(plan), head));
    CPPUNIT_ASSERT(committed.has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationControllerTest);

}  // namespace
}  // namespace stoneport::controllers
