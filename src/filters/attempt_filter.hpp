/// \file
/// Last filter of ordinary requests: chooses a replica, sends, and decides
/// whether a failed attempt may be followed by another.
#pragma once

#include "filters/caller_metrics.hpp"
#include "filters/filter.hpp"
#include "filters/replay_body.hpp"
#include "filters/replica_pools.hpp"
#include "routing/replica_observer.hpp"

namespace stoneport::filters {

/// Longest body that is kept to be sent again.
inline constexpr std::size_t kLongestReplayedBody = 64 * 1024;

class AttemptFilter : public Filter {
 public:
  AttemptFilter(ReplicaPools& pools, http::Client& client, routing::ReplicaObserver& observer,
                core::TimeSource& time, CallerMetrics& metrics)
      : pools_(pools), client_(client), observer_(observer), time_(time), metrics_(metrics) {}
  boost::asio::awaitable<Outcome> handle(RequestContext& request, FilterChain rest) override;

 private:
  struct Attempts;
  /// A failed attempt, after which another may follow.
  struct Failure {
    core::Error error;
    bool surely_not_run = false;
    bool any_byte_sent = true;
  };
  using AttemptEnd = std::variant<Outcome, Failure>;

  boost::asio::awaitable<AttemptEnd> attempt(RequestContext& request, ReplayBody& body,
                                             routing::ChosenReplica replica);
  Failure failure_of_exchange(const http::ClientError& error, const ReplayBody& body,
                              routing::ChosenReplica& replica);
  /// \return the final outcome, or nothing when another attempt may be made now.
  std::optional<Outcome> give_up(RequestContext& request, const ReplayBody& body,
                                 Attempts& attempts, const Failure& failure);
  std::optional<Outcome> caller_side_failure(const RequestContext& request, const ReplayBody& body,
                                             const Attempts& attempts) const;

  ReplicaPools& pools_;
  http::Client& client_;
  routing::ReplicaObserver& observer_;
  core::TimeSource& time_;
  CallerMetrics& metrics_;
};

}  // namespace stoneport::filters
