/// \file
/// Claims the idempotency key of a request that must not be repeated before
/// anything is sent, and answers repeats of the key without sending again.
#pragma once

#include "filters/caller_metrics.hpp"
#include "filters/claim_registry.hpp"
#include "filters/filter.hpp"

namespace stoneport::filters {

/// Longest body of a request that carries a key: it is read whole before it is
/// sent, as the claim covers it.
inline constexpr std::size_t kLongestClaimedBody = 1 << 20;
/// Longest response body that is recorded; a repeat of a longer one is told "unknown".
inline constexpr std::size_t kLongestRecordedBody = 64 * 1024;

class ClaimFilter : public Filter {
 public:
  ClaimFilter(ClaimRegistry& claims, CallerMetrics& metrics) : claims_(claims), metrics_(metrics) {}
  boost::asio::awaitable<Outcome> handle(RequestContext& request, FilterChain rest) override;

 private:
  struct PendingClaim;
  using ClaimResult = core::Result<ClaimAnswer>;

  boost::asio::awaitable<Outcome> handle_claimed(RequestContext& request, FilterChain rest);
  boost::asio::awaitable<std::optional<ClaimResult>> claim_in_time(const RequestContext& request,
                                                                   ClaimKey key);
  boost::asio::awaitable<void> claim_beside(ClaimKey key, std::shared_ptr<PendingClaim> pending);
  boost::asio::awaitable<Outcome> run_claimed(RequestContext& request, FilterChain rest,
                                              ClaimKey key, core::WriteId claim);
  boost::asio::awaitable<Outcome> answer_repeat(RequestContext& request, ClaimTaken taken);
  boost::asio::awaitable<void> record(ClaimKey key, core::WriteId claim, RecordedOutcome outcome);
  boost::asio::awaitable<void> release(ClaimKey key, core::WriteId claim);

  ClaimRegistry& claims_;
  CallerMetrics& metrics_;
};

}  // namespace stoneport::filters
