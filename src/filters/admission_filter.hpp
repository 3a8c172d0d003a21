/// \file
/// Holds a request until its turn by priority, or refuses it at once when its
/// turn would come too late or the queue is full.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <unordered_map>

#include "filters/caller_metrics.hpp"
#include "filters/filter.hpp"
#include "routing/admission.hpp"

namespace stoneport::filters {

class AdmissionFilter : public Filter {
 public:
  /// \param thread_count traffic threads that share a tenant's concurrency
  AdmissionFilter(routing::AdmissionOptions options, std::uint32_t thread_count, std::uint64_t seed,
                  core::TimeSource& time, CallerMetrics& metrics);
  boost::asio::awaitable<Outcome> handle(RequestContext& request, FilterChain rest) override;

 private:
  /// A request in the queue; \a verdict is set when it leaves it.
  struct Waiter {
    boost::asio::steady_timer wake_up;
    std::optional<routing::AdmissionVerdict> verdict;
  };
  class Running;
  /// Requests that are cut off at a stop may outlive the filter.
  struct State {
    State(routing::AdmissionOptions options, std::uint64_t seed, core::TimeSource& clock)
        : admission(options, seed), time(clock) {}
    void finish(routing::AdmissionTicket ticket);
    void settle(routing::AdmissionTicket ticket, routing::AdmissionVerdict verdict);

    routing::Admission admission;
    core::TimeSource& time;
    std::unordered_map<routing::AdmissionTicket, Waiter*> waiters;
  };

  boost::asio::awaitable<std::optional<Outcome>> wait_for_turn(const RequestContext& request,
                                                               routing::AdmissionTicket ticket);
  Refused refuse_for_load(core::Duration retry_after);

  std::shared_ptr<State> state_;
  std::uint32_t thread_count_;
  CallerMetrics& metrics_;
};

}  // namespace stoneport::filters
