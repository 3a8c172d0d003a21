/// \file
/// Random walk over one step: two daemons made of the real decision code, engines,
/// a trainer, and a network that loses and reorders what it carries. Every fault
/// is an action of the walk; each run follows from its seed alone.
#pragma once

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/random.hpp"
#include "rollout/event_ownership.hpp"
#include "rollout/provenance.hpp"
#include "rollout/step_ledger.hpp"
#include "rollout/stream_name.hpp"

namespace stoneport::rollout {

class StepWalk {
 public:
  explicit StepWalk(std::uint64_t seed);
  /// \return what was violated, or nothing.
  std::optional<std::string> run();

  /// How often each fault happened, over one walk.
  std::map<std::string, std::uint64_t> faults;

 private:
  static constexpr std::size_t kDaemons = 2;
  static constexpr std::size_t kEngines = 2;

  struct Stream {
    std::string text;  ///< so far; one letter a token, 'a' + version
    std::size_t length = 0;
    bool stopped = false;
  };
  struct Engine {
    core::WeightVersion version{1};
    core::Epoch fence;
    std::map<core::StreamId, Stream> streams;
  };
  struct Attempt {
    StreamName name;
    std::size_t engine = 0;
    ProvenanceBuilder content;
  };
  struct Step {
    explicit Step(StepShape shape) : ledger(shape) {}
    StepLedger ledger;
    core::Epoch epoch;
    std::vector<Attempt> attempts;
  };
  struct Poll {
    std::uint64_t number = 0;
    SlotBitmap held;
    core::Epoch epoch_seen;
    core::WeightVersion version;
  };
  struct Daemon {
    std::uint32_t owner = 0;
    EventOwnership ownership;
    std::optional<Step> step;
    std::vector<Poll> inbox;
    core::WeightVersion current;
    std::uint32_t bound = 2;
    bool frozen = false;
    AgeRule rule() const { return {current, bound}; }
  };
  struct Answer {
    std::uint64_t poll = 0;
    core::Epoch epoch;
    std::uint32_t bound = 0;
    HandOver content;
  };

  void act();
  void settle();
  bool is_done() const { return held_.count() == held_.size(); }
  void violation(const std::string& what);

  void trainer_polls();
  void trainer_moves();
  void trainer_publishes();
  void trainer_opens(Daemon& daemon);
  void trainer_receives();
  void take(const Sample& sample, std::uint32_t bound);

  void daemon_works(Daemon& daemon);
  void daemon_reads(Daemon& daemon);
  void read_attempt(Step& step, std::size_t index, const AgeRule& rule);
  bool starts(Daemon& daemon, core::SlotId slot);
  void adopt(Step& step);
  void daemon_answers(Daemon& daemon);
  void daemon_dies(Daemon& daemon);
  void engine_works();
  void engine_faults();

  Daemon& any_daemon() { return *daemons_[random_.uniform(0, kDaemons - 1)]; }
  Daemon& target() { return *daemons_[target_]; }
  void count(const char* fault) { ++faults[fault]; }

  core::RandomSource random_;
  const core::EventName event_{"event"};
  const core::StepNumber step_{1};
  const StepShape shape_;
  std::array<std::unique_ptr<Daemon>, kDaemons> daemons_;
  std::array<Engine, kEngines> engines_;
  std::uint64_t granted_ = 0;
  std::uint32_t processes_ = 0;
  /// What engines truly made, by stream; outlives the engines' crashes. The walk
  /// names the stream in a sample's engine field to find it.
  std::map<std::string, std::string> made_;

  std::size_t target_ = 0;
  SlotBitmap held_;
  core::WeightVersion version_{1};
  core::Epoch epoch_seen_;
  std::uint64_t outstanding_ = 0;  ///< number of the poll whose answer counts
  std::uint64_t polls_sent_ = 0;
  std::uint32_t bound_ = 2;  ///< as published by the operator
  std::vector<Answer> answers_;
  bool settling_ = false;
  std::optional<std::string> violation_;
};

}  // namespace stoneport::rollout
