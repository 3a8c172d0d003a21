/// \file
/// Selection of steps when capacity is short: shares of equal trainers, met steps compared with the
/// order by latest start, bounds on waiting, and the cost of a takeover.
#include "jobs/step_scheduler.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <random>
#include <tuple>

#include "jobs/open_job.hpp"

namespace stoneport::jobs {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr core::Duration kTick = milliseconds(20);
constexpr core::Duration kDecisionInterval = milliseconds(100);
constexpr core::Duration kStepInterval = seconds(4);
constexpr core::Duration kRunDeadline = milliseconds(7500);
constexpr core::Duration kQueueLimit = seconds(12);
constexpr std::size_t kGroups = 20;
constexpr std::size_t kGroupSize = 4;
constexpr std::uint32_t kWantedGroups = 18;
constexpr double kMedianEvents = 60;
constexpr double kSpread = 0.5;  // of the logarithm of lengths
constexpr std::size_t kPlaces = 64;

enum class Order { kLatestStart, kShares };

struct Load {
  std::string name;
  double capacity = 1;  ///< throughput of all places relative to the demand
  std::size_t trainers = 4;
  core::Duration length = seconds(120);
  core::Duration slow_from{}, slow_until{};  ///< half of the places are 3.5 times slower
  core::Duration lost_from{}, lost_until{};  ///< half of the places are gone
  core::Duration take_over_at{};             ///< the state of StepScheduler is dropped
  std::vector<double> size_factors = {};     ///< by trainer: factor on the length of its texts
};

struct TrainerResult {
  std::uint32_t asked = 0;  ///< steps that have ended
  std::uint32_t met = 0;
  std::uint32_t longest_wait = 0;  ///< consecutive steps that were not met
  std::uint32_t waits = 0;
  double credit = 0;  ///< groups; one completed in time counts 1
};

/// Simulates trainers with one step each at a time, and places that run one text each.
class LoadPlayer {
 public:
  LoadPlayer(Load load, Order order, std::uint32_t seed)
      : load_(std::move(load)), order_(order), random_(seed), results_(load_.trainers) {
    route_.run_deadline = kRunDeadline;
    route_.queue_limit = kQueueLimit;
    trainers_.resize(load_.trainers);
    for (std::size_t index = 0; index < trainers_.size(); ++index) {
      trainers_[index].next_at = kStepInterval * index / trainers_.size();
    }
    std::lognormal_distribution<double> lengths(std::log(kMedianEvents), kSpread);
    for (int text = 0; text < 300; ++text) {
      estimator_.record_complete(kGuess, static_cast<std::uint64_t>(lengths(random_)));
    }
    places_.resize(kPlaces);
  }

  std::vector<TrainerResult> play() {
    for (now_ = {}; now_ < load_.length; now_ += kTick) {
      begin_steps();
      set_places();
      if (load_.take_over_at != core::Duration(0) && now_ == load_.take_over_at) {
        scheduler_ = StepScheduler();
      }
      if (order_ == Order::kShares && now_ % kDecisionInterval == core::Duration(0)) {
        decide();
      }
      place();
      make_events();
      end_steps();
    }
    return results_;
  }

  std::uint32_t decisions_under_shortage() const { return short_decisions_; }

 private:
  static constexpr std::uint64_t kGuess = 100;

  struct TrainerState {
    std::shared_ptr<OpenJob> job;
    std::vector<double> lengths;
    std::vector<double> made;
    std::vector<core::Duration> group_whole_at;
    StepPlace place;
    std::optional<std::size_t> head;  ///< the next item, and its latest start
    core::Duration head_start{};
    core::Duration next_at{};
  };
  struct Place {
    double rate = 0;  ///< events per second; zero while it is gone
    std::optional<std::pair<std::size_t, std::size_t>> text;  ///< trainer and item
  };

  double usual_rate() const {
    double asked = 0;
    const double mean = kMedianEvents * std::exp(kSpread * kSpread / 2);
    for (std::size_t trainer = 0; trainer < load_.trainers; ++trainer) {
      asked += kGroups * kGroupSize * mean * factor_of(trainer) / core::to_seconds(kStepInterval);
    }
    return load_.capacity * asked / kPlaces;
  }

  double factor_of(std::size_t trainer) const {
    return trainer < load_.size_factors.size() ? load_.size_factors[trainer] : 1;
  }

  void begin_steps() {
    std::lognormal_distribution<double> lengths(std::log(kMedianEvents), kSpread);
    for (std::size_t index = 0; index < trainers_.size(); ++index) {
      TrainerState& trainer = trainers_[index];
      if (trainer.job || now_ < trainer.next_at) {
        continue;
      }
      trainer.job = std::make_shared<OpenJob>();
      OpenJob& open = *trainer.job;
      open.job.id = "job-" + std::to_string(index) + "-" + std::to_string(results_[index].asked);
      open.job.wanted_groups = kWantedGroups;
      open.route = &route_;
      open.entry.accepted_at = std::chrono::duration_cast<ports::StoreTime>(now_);
      open.items.resize(kGroups * kGroupSize);
      trainer.lengths.clear();
      for (std::size_t item = 0; item < open.items.size(); ++item) {
        JobItem described;
        described.group = std::to_string(item / kGroupSize);
        described.expected_tokens = static_cast<std::uint64_t>(kGuess * factor_of(index));
        open.job.items.push_back(std::move(described));
        trainer.lengths.push_back(std::ceil(lengths(random_) * factor_of(index)));
      }
      trainer.made.assign(open.items.size(), 0);
      trainer.group_whole_at.assign(kGroups, core::Duration::max());
      trainer.place = {};
      trainer.head.reset();
      open.order_is_stale = true;
      trainer.next_at = now_ + kStepInterval;
    }
  }

  void set_places() {
    const double usual = usual_rate();
    const bool is_slow = now_ >= load_.slow_from && now_ < load_.slow_until;
    const bool is_lost = now_ >= load_.lost_from && now_ < load_.lost_until;
    for (std::size_t index = 0; index < places_.size(); ++index) {
      Place& place = places_[index];
      place.rate = usual;
      if (index < kPlaces / 2 && is_slow) {
        place.rate = usual / 3.5;
      }
      if (index >= kPlaces / 2 && is_lost) {
        place.rate = 0;
        if (place.text) {
          OpenJob& open = *trainers_[place.text->first].job;
          open.items[place.text->second].state = ItemState::kQueued;
          open.order_is_stale = true;
          place.text.reset();
        }
      }
    }
  }

  double fastest() const {
    double rate = 0;
    for (const Place& place : places_) {
      rate = std::max(rate, place.rate);
    }
    return rate;
  }

  void decide() {
    std::vector<double> rates(2);
    for (std::size_t index = 0; index < places_.size(); ++index) {
      rates[index < kPlaces / 2 ? 0 : 1] += places_[index].rate;
    }
    std::vector<OpenStep> steps;
    for (std::size_t index = 0; index < trainers_.size(); ++index) {
      const TrainerState& trainer = trainers_[index];
      if (!trainer.job) {
        continue;
      }
      OpenStep step;
      step.job = trainer.job->job.id;
      step.trainer = std::to_string(index);
      step.due = trainer.job->entry.accepted_at + kRunDeadline;
      step.work = trainer.job->remaining_work(estimator_);
      step.last_end = core::from_seconds(step.work.longest / fastest());
      step.late_end = core::from_seconds(step.work.late_longest / fastest());
      step.pools = {0, 1};
      steps.push_back(std::move(step));
    }
    const StepDecision decision = scheduler_.decide(steps, rates, now_);
    bool is_short = false;
    for (TrainerState& trainer : trainers_) {
      if (!trainer.job) {
        continue;
      }
      trainer.place = decision.places.at(trainer.job->job.id);
      trainer.job->set_order(start_order_of(trainer.place.plan));
      trainer.job->order_is_stale |= trainer.place.plan != StepPlan::kUsual;
      is_short |= trainer.place.plan != StepPlan::kUsual;
    }
    short_decisions_ += is_short ? 1 : 0;
  }

  std::optional<std::pair<std::size_t, std::size_t>> next_text() {
    std::optional<std::pair<std::size_t, std::size_t>> best;
    std::tuple<std::uint32_t, core::Duration> best_key;
    const core::Duration gap = core::from_seconds(1 / fastest());
    for (std::size_t index = 0; index < trainers_.size(); ++index) {
      TrainerState& trainer = trainers_[index];
      if (!trainer.job) {
        continue;
      }
      if (trainer.job->order_is_stale) {
        trainer.job->make_start_order(estimator_);
        trainer.head.reset();
      }
      for (const std::size_t item : trainer.job->start_order) {
        if (trainer.job->items[item].state != ItemState::kQueued) {
          continue;
        }
        if (trainer.head != item) {
          trainer.head = item;
          trainer.head_start = trainer.job->latest_start(item, estimator_, gap);
        }
        const std::tuple<std::uint32_t, core::Duration> key{trainer.place.position,
                                                            trainer.head_start};
        if (!best || key < best_key) {
          best = {index, item};
          best_key = key;
        }
        break;
      }
    }
    return best;
  }

  void place() {
    while (true) {
      Place* free = nullptr;
      for (Place& place : places_) {
        if (!place.text && place.rate > 0 && (free == nullptr || place.rate > free->rate)) {
          free = &place;
        }
      }
      const auto text = free != nullptr ? next_text() : std::nullopt;
      if (!text) {
        return;
      }
      free->text = text;
      trainers_[text->first].job->items[text->second].state = ItemState::kRunning;
    }
  }

  void make_events() {
    for (Place& place : places_) {
      if (!place.text) {
        continue;
      }
      const auto [index, item] = *place.text;
      TrainerState& trainer = trainers_[index];
      trainer.made[item] += place.rate * core::to_seconds(kTick);
      ItemProgress& progress = trainer.job->items[item];
      progress.text.events.resize(static_cast<std::size_t>(trainer.made[item]));
      if (trainer.made[item] < trainer.lengths[item]) {
        continue;
      }
      progress.state = ItemState::kListed;
      place.text.reset();
      note_group(trainer, item / kGroupSize);
    }
  }

  void note_group(TrainerState& trainer, std::size_t group) const {
    for (std::size_t item = group * kGroupSize; item < (group + 1) * kGroupSize; ++item) {
      if (trainer.job->items[item].state != ItemState::kListed) {
        return;
      }
    }
    trainer.group_whole_at[group] = now_ + kTick;
  }

  void end_steps() {
    for (std::size_t index = 0; index < trainers_.size(); ++index) {
      TrainerState& trainer = trainers_[index];
      if (!trainer.job) {
        continue;
      }
      const core::Duration age = now_ + kTick - trainer.job->entry.accepted_at;
      const auto whole =
          std::count_if(trainer.group_whole_at.begin(), trainer.group_whole_at.end(),
                        [](core::Duration at) { return at != core::Duration::max(); });
      if (static_cast<std::uint32_t>(whole) < kWantedGroups && age < kQueueLimit) {
        continue;
      }
      note_step(index);
      for (Place& place : places_) {
        if (place.text && place.text->first == index) {
          place.text.reset();
        }
      }
      trainer.job.reset();
    }
  }

  void note_step(std::size_t index) {
    const TrainerState& trainer = trainers_[index];
    TrainerResult& result = results_[index];
    const core::Duration due = trainer.job->entry.accepted_at + kRunDeadline;
    std::uint32_t in_time = 0;
    for (const core::Duration at : trainer.group_whole_at) {
      if (at == core::Duration::max()) {
        continue;
      }
      in_time += at <= due ? 1 : 0;
      const double late = std::max(core::to_seconds(at - due), 0.0);
      result.credit += std::max(1 - late / core::to_seconds(kQueueLimit - kRunDeadline), 0.0);
    }
    ++result.asked;
    const bool is_met = in_time >= kWantedGroups;
    result.met += is_met ? 1 : 0;
    result.waits = is_met ? 0 : result.waits + 1;
    result.longest_wait = std::max(result.longest_wait, result.waits);
  }

  Load load_;
  Order order_;
  std::mt19937 random_;
  std::vector<TrainerResult> results_;
  ingress::Route route_;
  LengthEstimator estimator_;
  StepScheduler scheduler_;
  std::vector<TrainerState> trainers_;
  std::vector<Place> places_;
  core::Duration now_{};
  std::uint32_t short_decisions_ = 0;
};

/// Steps met by the trainers, of those due in the simulated time.
struct Summary {
  std::uint32_t met = 0;
  double least = 1;
  double most = 0;
  std::uint32_t longest_wait = 0;
  std::uint32_t short_decisions = 0;
};

Summary play(const Load& load, Order order, std::uint32_t seed) {
  LoadPlayer player(load, order, seed);
  Summary all;
  const double due = core::to_seconds(load.length) / core::to_seconds(kStepInterval);
  for (const TrainerResult& result : player.play()) {
    all.met += result.met;
    all.least = std::min(all.least, result.met / due);
    all.most = std::max(all.most, result.met / due);
    all.longest_wait = std::max(all.longest_wait, result.longest_wait);
  }
  all.short_decisions = player.decisions_under_shortage();
  return all;
}

std::string description(const Load& load, std::uint32_t seed, const Summary& usual,
                        const Summary& shares) {
  return load.name + ", seed " + std::to_string(seed) + ": met " + std::to_string(shares.met) +
         " against " + std::to_string(usual.met) + ", from " + std::to_string(shares.least) +
         " to " + std::to_string(shares.most) + ", longest wait " +
         std::to_string(shares.longest_wait);
}

constexpr double kRate = 100;  // events per second of the one pool

OpenStep step_of(const std::string& trainer, int number, core::Duration due, double rest) {
  OpenStep step;
  step.job = trainer + "-" + std::to_string(number);
  step.trainer = trainer;
  step.due = due;
  step.work = {rest, 1, 1, 0};
  step.last_end = milliseconds(10);
  step.late_end = milliseconds(20);
  step.pools = {0};
  return step;
}

}  // namespace

class StepSchedulerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StepSchedulerTest);
  CPPUNIT_TEST(equal_trainers_get_equal_shares_at_half_capacity);
  CPPUNIT_TEST(more_steps_are_met_under_shortage_than_by_latest_start);
  CPPUNIT_TEST(slow_and_lost_replicas_affect_all_trainers_alike);
  CPPUNIT_TEST(with_enough_capacity_the_order_is_unchanged);
  CPPUNIT_TEST(a_takeover_costs_few_steps);
  CPPUNIT_TEST(each_trainer_is_chosen_in_as_many_rounds_as_there_are_trainers);
  CPPUNIT_TEST(a_started_step_is_not_deferred_for_a_new_one);
  CPPUNIT_TEST(a_lower_rank_gets_the_capacity_left_by_the_higher_one);
  CPPUNIT_TEST(steps_on_other_replicas_are_not_deferred);
  CPPUNIT_TEST(a_lost_step_is_placed_last);
  CPPUNIT_TEST(steps_with_unknown_work_keep_their_order);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint32_t kSeeds = 3;

  // Four trainers of one rank demand about twice the capacity. The bounds are what trainers are
  // promised: shares that differ by at most a tenth, and no more consecutive lost steps than there
  // are trainers.
  void equal_trainers_get_equal_shares_at_half_capacity() {
    for (const double capacity : {0.45, 0.5, 0.55}) {
      Load load{"capacity " + std::to_string(capacity), capacity};
      load.length = seconds(240);
      for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
        const Summary usual = play(load, Order::kLatestStart, seed);
        const Summary shares = play(load, Order::kShares, seed);
        const std::string about = description(load, seed, usual, shares);
        CPPUNIT_ASSERT_MESSAGE(about, shares.most - shares.least <= 0.1);
        CPPUNIT_ASSERT_MESSAGE(about, shares.longest_wait <= load.trainers);
        CPPUNIT_ASSERT_MESSAGE(about, shares.met > usual.met);
      }
    }
  }

  void more_steps_are_met_under_shortage_than_by_latest_start() {
    for (const double capacity : {0.3, 0.4, 0.6, 0.7, 0.9}) {
      const Load load{"capacity " + std::to_string(capacity), capacity};
      const bool is_short = capacity < 0.5;
      for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
        const Summary usual = play(load, Order::kLatestStart, seed);
        const Summary shares = play(load, Order::kShares, seed);
        const std::string about = description(load, seed, usual, shares);
        CPPUNIT_ASSERT_MESSAGE(about, is_short ? shares.met > usual.met : shares.met >= usual.met);
      }
    }
  }

  void slow_and_lost_replicas_affect_all_trainers_alike() {
    Load load{"half slow, then half lost", 0.7};
    load.slow_from = seconds(20);
    load.slow_until = seconds(32);
    load.lost_from = seconds(50);
    load.lost_until = seconds(58);
    for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
      const Summary usual = play(load, Order::kLatestStart, seed);
      const Summary shares = play(load, Order::kShares, seed);
      const std::string about = description(load, seed, usual, shares);
      CPPUNIT_ASSERT_MESSAGE(about, shares.met >= usual.met);
      CPPUNIT_ASSERT_MESSAGE(about, shares.most - shares.least <= 0.1);
    }
  }

  void with_enough_capacity_the_order_is_unchanged() {
    for (const double capacity : {1.0, 1.3}) {
      const Load load{"capacity " + std::to_string(capacity), capacity};
      for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
        const Summary usual = play(load, Order::kLatestStart, seed);
        const Summary shares = play(load, Order::kShares, seed);
        const std::string about = description(load, seed, usual, shares);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(about, 0u, shares.short_decisions);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(about, usual.met, shares.met);
      }
    }
  }

  // The new holder knows the jobs and their texts, but not which trainers lost steps before, so
  // each trainer may lose one step.
  void a_takeover_costs_few_steps() {
    Load load{"take-over", 0.5};
    load.length = seconds(240);
    Load cut = load;
    cut.take_over_at = seconds(121);
    const double step = core::to_seconds(kStepInterval) / core::to_seconds(load.length);
    for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
      const Summary whole = play(load, Order::kShares, seed);
      const Summary shares = play(cut, Order::kShares, seed);
      const std::string about = description(cut, seed, whole, shares);
      CPPUNIT_ASSERT_MESSAGE(about, shares.most - shares.least <= 0.1 + step);
      CPPUNIT_ASSERT_MESSAGE(about, shares.met + load.trainers >= whole.met);
    }
  }

  void each_trainer_is_chosen_in_as_many_rounds_as_there_are_trainers() {
    const std::vector<std::string> trainers = {"a", "b", "c", "d", "e"};
    StepScheduler shares;
    std::map<std::string, std::size_t> waited;
    core::Duration now{};
    for (int round = 0; round < 50; ++round) {
      std::vector<OpenStep> steps;
      for (const std::string& trainer : trainers) {
        // One alone takes 3 s of the 6; two do not fit.
        steps.push_back(step_of(trainer, round, now + seconds(6), 300));
      }
      const StepDecision decision = shares.decide(steps, {kRate}, now);
      std::size_t chosen = 0;
      for (OpenStep& step : steps) {
        const bool is_chosen = decision.places.at(step.job).plan == StepPlan::kMeet;
        chosen += is_chosen ? 1 : 0;
        waited[step.trainer] = is_chosen ? 0 : waited[step.trainer] + 1;
        CPPUNIT_ASSERT_MESSAGE(step.job, waited[step.trainer] < trainers.size());
        if (is_chosen) {
          step.work = {0, 0, 0, 1};
        }
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, chosen);
      now += seconds(5);
      shares.decide(steps, {kRate}, now);
      now += seconds(2);
    }
  }

  void a_started_step_is_not_deferred_for_a_new_one() {
    StepScheduler shares;
    const OpenStep first = step_of("a", 0, seconds(8), 400);
    const OpenStep second = step_of("b", 0, seconds(9), 400);
    StepDecision decision = shares.decide({first, second}, {kRate}, seconds(0));
    CPPUNIT_ASSERT(decision.places.at("a-0").plan == StepPlan::kMeet);
    CPPUNIT_ASSERT(decision.places.at("b-0").plan == StepPlan::kDeferred);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decision.deferred.size());
    // Another step becomes due before it, and slightly less was generated than expected.
    const OpenStep third = step_of("c", 0, seconds(7), 350);
    decision = shares.decide({first, second, third}, {kRate * 0.9}, milliseconds(100));
    CPPUNIT_ASSERT(decision.places.at("a-0").plan == StepPlan::kMeet);
    CPPUNIT_ASSERT(decision.places.at("c-0").plan == StepPlan::kDeferred);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decision.deferred.size());
    CPPUNIT_ASSERT_EQUAL(std::string("c-0"), decision.deferred.front().job);
  }

  void a_lower_rank_gets_the_capacity_left_by_the_higher_one() {
    StepScheduler shares;
    const OpenStep urgent = step_of("a", 0, seconds(9), 400);
    OpenStep patient = step_of("b", 0, seconds(8), 400);
    patient.rank = 1;
    const StepDecision decision = shares.decide({patient, urgent}, {kRate}, seconds(0));
    CPPUNIT_ASSERT(decision.places.at("a-0") == StepPlace());
    CPPUNIT_ASSERT(decision.places.at("b-0").plan == StepPlan::kDeferred);
  }

  void steps_on_other_replicas_are_not_deferred() {
    StepScheduler shares;
    const OpenStep first = step_of("a", 0, seconds(8), 400);
    const OpenStep second = step_of("b", 0, seconds(8), 400);
    OpenStep elsewhere = step_of("c", 0, seconds(8), 400);
    elsewhere.pools = {1};
    const StepDecision decision =
        shares.decide({first, second, elsewhere}, {kRate, kRate}, seconds(0));
    CPPUNIT_ASSERT(decision.places.at("a-0").plan == StepPlan::kMeet);
    CPPUNIT_ASSERT(decision.places.at("b-0").plan == StepPlan::kDeferred);
    CPPUNIT_ASSERT(decision.places.at("c-0").plan == StepPlan::kMeet);
  }

  void a_lost_step_is_placed_last() {
    StepScheduler shares;
    const OpenStep lost = step_of("a", 0, milliseconds(300), 300);
    const OpenStep second = step_of("b", 0, seconds(8), 400);
    const OpenStep third = step_of("c", 0, seconds(9), 400);
    const StepDecision decision = shares.decide({lost, second, third}, {kRate}, seconds(0));
    CPPUNIT_ASSERT((decision.places.at("b-0") == StepPlace{StepPlan::kMeet, 0}));
    CPPUNIT_ASSERT((decision.places.at("c-0") == StepPlace{StepPlan::kDeferred, 1}));
    CPPUNIT_ASSERT((decision.places.at("a-0") == StepPlace{StepPlan::kLost, 2}));
    const StepDecision after = shares.decide({second, third}, {kRate}, seconds(1));
    CPPUNIT_ASSERT_EQUAL(1u, after.missed);
    CPPUNIT_ASSERT_EQUAL(0u, after.met);
  }

  void steps_with_unknown_work_keep_their_order() {
    StepScheduler shares;
    OpenStep first = step_of("a", 0, seconds(8), 4000);
    OpenStep second = step_of("b", 0, seconds(8), 4000);
    first.pools.clear();
    second.pools.clear();
    const StepDecision decision = shares.decide({first, second}, {}, seconds(0));
    CPPUNIT_ASSERT(decision.places.at("a-0") == StepPlace());
    CPPUNIT_ASSERT(decision.places.at("b-0") == StepPlace());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StepSchedulerTest);

}  // namespace stoneport::jobs
