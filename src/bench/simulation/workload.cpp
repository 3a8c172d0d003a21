#include "bench/simulation/workload.hpp"

#include <algorithm>
#include <array>
#include <cmath>

#include "core/hash.hpp"

namespace stoneport::bench {

namespace {

constexpr std::uint64_t kInstructionStream = 1;
constexpr std::uint64_t kPromptStream = 2;
constexpr std::uint64_t kConversationStream = 3;
constexpr std::uint64_t kLengthStream = 4;
constexpr std::uint64_t kTrainStream = 5;
constexpr std::uint32_t kLongestConversation = 8;

std::uint64_t name_number(const std::string& name) {
  return core::hash64(name);
}

/// Blocks of a prompt whose first part is shared under \p shared and whose rest
/// is its own under \p own.
std::shared_ptr<const PrefixBlocks> make_blocks(std::uint64_t shared, std::uint32_t shared_tokens,
                                                std::uint64_t own, std::uint32_t tokens) {
  PrefixBlocks blocks;
  for (std::uint32_t end = kTokensPerBlock; end <= tokens; end += kTokensPerBlock) {
    blocks.push_back(mix(end <= shared_tokens ? shared : own, end));
  }
  return std::make_shared<const PrefixBlocks>(std::move(blocks));
}

std::uint32_t clamp_length(double length, std::uint32_t longest) {
  return static_cast<std::uint32_t>(std::clamp(length, 1.0, static_cast<double>(longest)));
}

/// Standard normal deviate.
double normal(core::RandomSource& random) {
  return std::log(random.log_normal(0, 1));
}

/// Lengths whose logarithms share a part, as the samples of one prompt do.
std::vector<std::uint32_t> draw_lengths(const LengthSettings& settings, std::size_t count,
                                        core::RandomSource& random) {
  const double shared = normal(random) * std::sqrt(settings.shared_variance);
  const double own_weight = std::sqrt(1 - settings.shared_variance);
  std::vector<std::uint32_t> lengths;
  for (std::size_t index = 0; index < count; ++index) {
    const double deviate = shared + normal(random) * own_weight;
    const double length = settings.median * std::exp(settings.log_deviation * deviate);
    lengths.push_back(clamp_length(length, settings.longest));
  }
  return lengths;
}

}  // namespace

std::uint64_t mix(std::uint64_t seed, std::uint64_t first, std::uint64_t second,
                  std::uint64_t third) {
  const std::array<std::uint64_t, 3> values{first, second, third};
  const auto* bytes = reinterpret_cast<const char*>(values.data());
  return core::hash64({bytes, sizeof(values)}, seed);
}

StepWork draw_step(const TrainerSettings& trainer, std::uint32_t spares, std::uint64_t seed,
                   std::uint64_t step) {
  const std::uint64_t event = name_number(trainer.event);
  const std::uint64_t instructions = mix(seed, kInstructionStream, event);
  StepWork work;
  for (std::uint32_t prompt = 0; prompt < trainer.prompts; ++prompt) {
    const std::uint64_t own = mix(mix(seed, kPromptStream, event), step, prompt);
    core::RandomSource random(mix(own, kLengthStream));
    PromptWork item;
    item.tokens = static_cast<std::uint32_t>(
        random.uniform(trainer.prompt_tokens_least, trainer.prompt_tokens_most));
    item.prefix = make_blocks(instructions, trainer.instruction_tokens, own, item.tokens);
    item.lengths = draw_lengths(trainer.length, trainer.samples_per_prompt + spares, random);
    work.prompts.push_back(std::move(item));
  }
  core::RandomSource random(mix(mix(seed, kTrainStream, event), step));
  const double factor = random.log_normal(0, trainer.train_time_log_deviation);
  work.train_time = core::from_seconds(core::to_seconds(trainer.train_time) * factor);
  return work;
}

ServiceArrivals::ServiceArrivals(const Scenario& scenario, std::uint64_t seed)
    : scenario_(scenario), random_(mix(seed, 11)) {}

double ServiceArrivals::next_gap() {
  const double rate = scenario_.service_traffic.requests_per_second;
  return rate > 0 ? random_.exponential(1 / rate) : -1;
}

ServiceRequest ServiceArrivals::next() {
  const ServiceTraffic& traffic = scenario_.service_traffic;
  ServiceRequest request;
  request.number = drawn_++;
  request.caller = static_cast<std::uint32_t>(random_.uniform(0, scenario_.caller_nodes - 1));
  request.repeatable = !random_.chance(traffic.non_repeatable_share);
  request.work_seconds =
      random_.log_normal(std::log(traffic.work_ms_median / 1000), traffic.work_log_deviation);
  return request;
}

CompletionArrivals::CompletionArrivals(const Scenario& scenario, std::uint64_t seed)
    : scenario_(scenario), seed_(seed), random_(mix(seed, 12)) {}

double CompletionArrivals::next_gap() {
  const double rate = scenario_.completion_traffic.requests_per_second;
  return rate > 0 ? random_.exponential(1 / rate) : -1;
}

/// A follow-up takes the conversation that has waited longest, so that the think
/// time comes out of the rate and the number of open conversations.
CompletionArrivals::Conversation CompletionArrivals::pick_conversation() {
  const CompletionTraffic& traffic = scenario_.completion_traffic;
  const double wanted = traffic.requests_per_second * core::to_seconds(traffic.think_time) *
                        traffic.follow_up_probability;
  const bool follow_up =
      static_cast<double>(open_.size()) > wanted && random_.chance(traffic.follow_up_probability);
  if (!follow_up) {
    Conversation fresh;
    fresh.number = conversations_++;
    fresh.caller = static_cast<std::uint32_t>(random_.uniform(0, scenario_.caller_nodes - 1));
    return fresh;
  }
  const std::size_t among = std::min<std::size_t>(open_.size(), 8);
  const std::size_t index = random_.uniform(0, among - 1);
  const Conversation conversation = open_[index];
  open_.erase(open_.begin() + static_cast<std::ptrdiff_t>(index));
  return conversation;
}

CompletionRequest CompletionArrivals::next() {
  const CompletionTraffic& traffic = scenario_.completion_traffic;
  Conversation conversation = pick_conversation();
  ++conversation.turns;
  CompletionRequest request;
  request.number = drawn_++;
  request.caller = conversation.caller;
  request.prompt_tokens = traffic.instruction_tokens + traffic.turn_tokens * conversation.turns;
  request.prefix =
      make_blocks(mix(seed_, kInstructionStream), traffic.instruction_tokens,
                  mix(seed_, kConversationStream, conversation.number), request.prompt_tokens);
  const double length =
      random_.log_normal(std::log(traffic.length.median), traffic.length.log_deviation);
  request.length = clamp_length(length, traffic.length.longest);
  if (conversation.turns < kLongestConversation) {
    open_.push_back(conversation);
  }
  return request;
}

}  // namespace stoneport::bench
