/// \file
/// Plain models of the platform: table, machine list, ledgers, trainer's account,
/// settings.
#include <cppunit/extensions/HelperMacros.h>

#include "emulator/emulator.hpp"

namespace stoneport::emulator {
namespace {

core::MonotonicTime at(int milliseconds) {
  return core::MonotonicTime{} + std::chrono::milliseconds(milliseconds);
}

DeliveredSample sample_of(std::uint32_t prompt, std::uint32_t sample, std::uint64_t version) {
  DeliveredSample delivered;
  delivered.prompt = prompt;
  delivered.sample = sample;
  delivered.token_count = 5;
  delivered.score = 0.5;
  append_tokens(delivered.text, prompt * 100 + sample, 0, 5, core::WeightVersion(version));
  delivered.spans = {{core::WeightVersion(version), 5}};
  return delivered;
}

}  // namespace

class PlatformModelsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformModelsTest);
  CPPUNIT_TEST(transactions);
  CPPUNIT_TEST(repeated_write_id_answers_first_revision);
  CPPUNIT_TEST(machine_list_lags_and_freezes);
  CPPUNIT_TEST(ledger_counts_double_runs);
  CPPUNIT_TEST(trainer_counts_each_fault);
  CPPUNIT_TEST(trainer_ignores_older_epochs);
  CPPUNIT_TEST(held_bitmap_is_lowest_bit_first);
  CPPUNIT_TEST(settings_errors);
  CPPUNIT_TEST_SUITE_END();

 public:
  void transactions() {
    struct Case {
      const char* name;
      TableTransaction transaction;
      std::optional<std::uint64_t> revision;  ///< nothing: conflict
    };
    const std::vector<Case> cases = {
        {"creates", {"w1", {{"t", "a", 0}}, {{"t", "a", "1"}, {"t", "b", "1"}}}, 1},
        {"row is there", {"w2", {{"t", "a", 0}}, {{"t", "a", "2"}}}, std::nullopt},
        {"revision holds", {"w3", {{"t", "a", 1}}, {{"t", "a", "3"}}}, 2},
        {"revision passed", {"w4", {{"t", "a", 1}}, {{"t", "a", "4"}}}, std::nullopt},
        {"one of two fails",
         {"w5", {{"t", "a", 2}, {"t", "b", 9}}, {{"t", "a", "5"}}},
         std::nullopt},
        {"deletes", {"w6", {{"t", "a", 2}}, {{"t", "a", std::nullopt}}}, 3},
        {"gone", {"w7", {{"t", "a", 0}}, {}}, 4},
    };
    TableModel model;
    for (const Case& tried : cases) {
      const auto revision = model.commit(tried.transaction);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(tried.name, tried.revision.has_value(), revision.has_value());
      if (revision) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(tried.name, *tried.revision, *revision);
      } else {
        CPPUNIT_ASSERT(revision.error().code == core::ErrorCode::kConflict);
      }
    }
    CPPUNIT_ASSERT(model.find("t", "a") == nullptr);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), model.find("t", "b")->value);
    CPPUNIT_ASSERT_EQUAL(std::string("w1"), model.find("t", "b")->written_by);
  }

  void repeated_write_id_answers_first_revision() {
    TableModel model;
    const TableTransaction transaction{"w1", {{"t", "a", 0}}, {{"t", "a", "1"}}};
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, *model.commit(transaction));
    CPPUNIT_ASSERT(model.commit({"w2", {}, {{"t", "a", "2"}}}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, *model.commit(transaction));
    CPPUNIT_ASSERT_EQUAL(std::string("2"), model.find("t", "a")->value);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, model.repeated_commits());
  }

  void machine_list_lags_and_freezes() {
    MachineCatalog catalog;
    catalog.put({"a"}, at(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, catalog.published(at(0)).size());
    catalog.set_faults({std::chrono::milliseconds(100), false}, at(0));
    catalog.put({"b"}, at(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, catalog.published(at(99)).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, catalog.published(at(100)).size());
    catalog.set_faults({core::Duration::zero(), true}, at(100));
    CPPUNIT_ASSERT(catalog.erase("a", at(100)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, catalog.published(at(9000)).size());
    catalog.set_faults({}, at(9000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, catalog.published(at(9000)).size());
    CPPUNIT_ASSERT(!catalog.erase("a", at(9000)));
  }

  void ledger_counts_double_runs() {
    ServiceLedger ledger;
    ledger.count_run("top-up", false);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, ledger.summary().non_repeatable_double_runs);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, ledger.count_run("top-up", false));
    ledger.count_run("look-up", true);
    ledger.count_run("look-up", true);
    ledger.count_run("", false);
    const LedgerSummary summary = ledger.summary();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, summary.runs);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, summary.distinct_requests);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, summary.non_repeatable_runs);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, summary.non_repeatable_double_runs);
    CPPUNIT_ASSERT_EQUAL(std::string("top-up"), summary.double_run_ids.at(0));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, ledger.runs_of("never"));
  }

  void trainer_counts_each_fault() {
    using Member = std::uint64_t TrainerReport::*;
    struct Case {
      const char* name;
      DeliveredSample sample;
      Member counter;
    };
    DeliveredSample wrong_spans = sample_of(0, 1, 4);
    wrong_spans.spans = {{core::WeightVersion(5), 5}};
    DeliveredSample other_prompt = sample_of(0, 2, 5);
    DeliveredSample unscored = sample_of(0, 3, 5);
    unscored.score.reset();
    GroundTruth truth;
    truth.record(other_prompt.text, {core::hash64("another"), {}});
    truth.record(sample_of(0, 0, 5).text, {core::hash64("first"), {}});
    const std::vector<Case> cases = {
        {"good", sample_of(0, 0, 5), &TrainerReport::samples_delivered},
        {"held already", sample_of(0, 0, 5), &TrainerReport::samples_duplicate},
        {"spans that lie", wrong_spans, &TrainerReport::samples_wrong_versions},
        {"of another prompt", other_prompt, &TrainerReport::samples_wrong_prompt},
        {"without a score", unscored, &TrainerReport::samples_without_score},
        {"unknown to every engine", sample_of(1, 0, 5), &TrainerReport::samples_unknown_text},
        {"too old", sample_of(1, 1, 3), &TrainerReport::samples_over_bound},
        {"of no prompt", sample_of(2, 0, 5), &TrainerReport::samples_outside},
        {"of no sample", sample_of(0, 4, 5), &TrainerReport::samples_outside},
    };
    TrainerRun run;
    run.samples_per_prompt = 4;
    run.first_version = core::WeightVersion(5);
    run.age_bound = 1;
    TrainerLedger ledger(run, truth);
    ledger.begin_step({"first", "second"});
    for (const Case& tried : cases) {
      const std::uint64_t before = ledger.report().*tried.counter;
      ledger.take(tried.sample);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(tried.name, before + 1, ledger.report().*tried.counter);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, ledger.report().samples_over_bound);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, ledger.report().samples_wrong_prompt);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, ledger.held());
    ledger.set_age_bound(0);
    ledger.take(sample_of(1, 2, 4));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, ledger.report().samples_over_bound);
    CPPUNIT_ASSERT(!ledger.complete());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, ledger.summary().staleness.size());
  }

  void trainer_ignores_older_epochs() {
    GroundTruth truth;
    TrainerLedger ledger(TrainerRun{}, truth);
    CPPUNIT_ASSERT(ledger.accept_epoch(4));
    CPPUNIT_ASSERT(!ledger.accept_epoch(3));
    CPPUNIT_ASSERT(ledger.accept_epoch(4));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, ledger.report().stale_epoch_answers);
  }

  void held_bitmap_is_lowest_bit_first() {
    GroundTruth truth;
    TrainerRun run;
    run.samples_per_prompt = 5;
    TrainerLedger ledger(run, truth);
    ledger.begin_step({"first", "second"});
    CPPUNIT_ASSERT_EQUAL(std::string("0000"), ledger.held_bitmap());
    ledger.take(sample_of(0, 0, 1));
    ledger.take(sample_of(0, 4, 1));
    ledger.take(sample_of(1, 4, 1));
    CPPUNIT_ASSERT_EQUAL(std::string("1102"), ledger.held_bitmap());
  }

  void settings_errors() {
    struct Case {
      const char* text;
      const char* message;  ///< part of the error; null: valid
    };
    const std::vector<Case> cases = {
        {"", nullptr},
        {"time_scale = 4", nullptr},
        {"time_scale = 0", "time_scale"},
        {"time_scal = 4", "time_scal: unknown key"},
        {"time_scale = 'x'", "time_scale: expected a number"},
        {"time_scale =", "line 1"},
        {"[listeners]\ncontrol = 70000", "listeners.control"},
        {"[listeners]\nip = 'nowhere'", "listeners.ip: not an IP number"},
        {"[[engines]]\nmodel = 'm'", "engines.policy: missing"},
        {"[[engines]]\nmodel = 'm'\npolicy = 'p'\nzone = 'z'\nengine = {max_running = 0}",
         "max_running"},
        {"[[nodes]]\nid = 'n'\n[[nodes]]\nid = 'n'", "nodes.id: given twice"},
        {"[[relays]]\nname = 'r'\nprotocol = 'ip'", "relays.protocol"},
    };
    for (const Case& tried : cases) {
      const auto settings = parse_settings(tried.text);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(tried.text, tried.message == nullptr, settings.has_value());
      if (tried.message != nullptr) {
        const std::string& message = settings.error().message;
        CPPUNIT_ASSERT_MESSAGE(message, message.find(tried.message) != std::string::npos);
      }
    }
    const auto both = parse_settings("time_scale = 0\nengine_threads = 0");
    CPPUNIT_ASSERT(both.error().message.find("time_scale") != std::string::npos);
    CPPUNIT_ASSERT(both.error().message.find("engine_threads") != std::string::npos);
    CPPUNIT_ASSERT(load_settings("examples/emulator-demo.toml"));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PlatformModelsTest);

}  // namespace stoneport::emulator
