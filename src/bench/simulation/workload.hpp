/// \file
/// What trainers and callers ask for, drawn from the seed alone: the same for
/// every variant of one run, whatever the variant does.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <vector>

#include "bench/simulation/scenario.hpp"
#include "core/random.hpp"

namespace stoneport::bench {

/// \return a number that depends on every argument, for seeding and for hashes.
std::uint64_t mix(std::uint64_t seed, std::uint64_t first, std::uint64_t second = 0,
                  std::uint64_t third = 0);

/// One prompt of a step with the lengths that its samples will have. A second
/// attempt at a slot has the same length as the first, so that no variant gains
/// by drawing again.
struct PromptWork {
  std::shared_ptr<const PrefixBlocks> prefix;
  std::uint32_t tokens = 0;
  std::vector<std::uint32_t> lengths;  ///< by sample, the spares after the slots
};

struct StepWork {
  std::vector<PromptWork> prompts;
  core::Duration train_time{};
};

/// \param spares extra samples drawn for each prompt
StepWork draw_step(const TrainerSettings& trainer, std::uint32_t spares, std::uint64_t seed,
                   std::uint64_t step);

/// One request to an ordinary service.
struct ServiceRequest {
  std::uint64_t number = 0;
  std::uint32_t caller = 0;  ///< node that the caller is beside
  bool repeatable = true;
  double work_seconds = 0;
};

/// One completion by an ordinary caller.
struct CompletionRequest {
  std::uint64_t number = 0;
  std::uint32_t caller = 0;
  std::shared_ptr<const PrefixBlocks> prefix;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t length = 0;
};

/// Draws arrivals one after another; open loop, so that a slow variant does not
/// get fewer of them.
class ServiceArrivals {
 public:
  ServiceArrivals(const Scenario& scenario, std::uint64_t seed);
  /// \return seconds from the arrival before to the next one; negative: none.
  double next_gap();
  ServiceRequest next();

 private:
  const Scenario& scenario_;
  core::RandomSource random_;
  std::uint64_t drawn_ = 0;
};

/// Conversations whose turns extend one another's prompts.
class CompletionArrivals {
 public:
  CompletionArrivals(const Scenario& scenario, std::uint64_t seed);
  double next_gap();
  CompletionRequest next();

 private:
  struct Conversation {
    std::uint64_t number = 0;
    std::uint32_t turns = 0;
    std::uint32_t caller = 0;
  };
  Conversation pick_conversation();

  const Scenario& scenario_;
  std::uint64_t seed_;
  core::RandomSource random_;
  std::uint64_t drawn_ = 0;
  std::uint64_t conversations_ = 0;
  std::deque<Conversation> open_;  ///< that may go on, the oldest first
};

}  // namespace stoneport::bench
