/// \file
/// First filter of each chain: states the outcome on every response, answers
/// refusals with a JSON error that says when to come back, and counts.
#pragma once

#include "core/random.hpp"
#include "filters/caller_metrics.hpp"
#include "filters/filter.hpp"

namespace stoneport::filters {

class OutcomeFilter : public Filter {
 public:
  /// \param seed of the jitter of Retry-After
  OutcomeFilter(CallerMetrics& metrics, std::uint64_t seed) : metrics_(metrics), random_(seed) {}
  boost::asio::awaitable<Outcome> handle(RequestContext& request, FilterChain rest) override;

 private:
  boost::asio::awaitable<Outcome> refuse(const RequestContext& request, Refused refusal);
  void set_retry_after(const RequestContext& request, Refused& refusal);
  void count(const Outcome& outcome);

  CallerMetrics& metrics_;
  core::RandomSource random_;
};

}  // namespace stoneport::filters
