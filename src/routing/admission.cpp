#include "routing/admission.hpp"

#include <algorithm>
#include <stdexcept>

namespace stoneport::routing {
namespace {
/// Weight of the latest request in the moving average of service times.
constexpr double kServiceTimeWeight = 0.05;
}  // namespace

Admission::Admission(AdmissionOptions options, std::uint64_t seed)
    : options_(options), random_(seed) {}

AdmissionDecision Admission::arrive(const AdmissionRequest& request, core::MonotonicTime now) {
  const AdmissionTicket ticket = next_ticket_++;
  if (running_ < options_.max_running && tenant_has_room(request)) {
    run(entries_.emplace(ticket, Entry{request}).first->second, now);
    return {AdmissionVerdict::kRun, ticket};
  }
  const std::size_t ahead = waiting_ahead_of(request.priority);
  if (now + expected_wait(ahead) >= request.deadline) {
    return {AdmissionVerdict::kRefuse, 0, retry_after()};
  }
  std::optional<AdmissionTicket> displaced;
  if (queue_.size() >= options_.max_waiting) {
    const bool outranks_last =
        !queue_.empty() && queue_.rbegin()->first.priority < request.priority;
    if (!outranks_last) {
      return {AdmissionVerdict::kRefuse, 0, retry_after()};
    }
    displaced = queue_.rbegin()->second;
    give_up(*displaced);
  }
  entries_.emplace(ticket, Entry{request});
  queue_.emplace(QueueKey{request.priority, ticket}, ticket);
  return {AdmissionVerdict::kWait, ticket, {}, displaced};
}

std::vector<AdmissionTicket> Admission::finish(AdmissionTicket ticket, core::MonotonicTime now) {
  const auto found = entries_.find(ticket);
  if (found == entries_.end() || !found->second.is_running) {
    throw std::logic_error("finish() called for a request that is not running");
  }
  const double seconds = core::to_seconds(now - found->second.started_at);
  const bool is_first = mean_service_seconds_ == 0;
  mean_service_seconds_ += (is_first ? 1 : kServiceTimeWeight) * (seconds - mean_service_seconds_);
  --running_;
  const auto of_tenant = running_of_tenant_.find(found->second.request.tenant);
  if (--of_tenant->second == 0) {
    running_of_tenant_.erase(of_tenant);
  }
  entries_.erase(found);

  std::vector<AdmissionTicket> ready;
  for (auto waiting = queue_.begin(); waiting != queue_.end() && running_ < options_.max_running;) {
    Entry& entry = entries_.at(waiting->second);
    if (!tenant_has_room(entry.request)) {
      ++waiting;
      continue;
    }
    run(entry, now);
    ready.push_back(waiting->second);
    waiting = queue_.erase(waiting);
  }
  return ready;
}

void Admission::give_up(AdmissionTicket ticket) {
  const auto found = entries_.find(ticket);
  if (found == entries_.end() || found->second.is_running) {
    throw std::logic_error("give_up() called for a request that is not waiting");
  }
  queue_.erase(QueueKey{found->second.request.priority, ticket});
  entries_.erase(found);
}

core::Duration Admission::retry_after() {
  const core::Duration drain = expected_wait(queue_.size());
  const auto jittered = core::from_seconds(core::to_seconds(drain) * (0.5 + random_.fraction()));
  const core::Duration least = options_.shortest_retry_after;
  const core::Duration spread = core::from_seconds(core::to_seconds(least) * random_.fraction());
  return std::min(std::max(jittered, least + spread), options_.longest_retry_after);
}

bool Admission::tenant_has_room(const AdmissionRequest& request) const {
  const auto found = running_of_tenant_.find(request.tenant);
  return found == running_of_tenant_.end() || found->second < request.tenant_concurrency;
}

void Admission::run(Entry& entry, core::MonotonicTime now) {
  entry.is_running = true;
  entry.started_at = now;
  ++running_;
  ++running_of_tenant_[entry.request.tenant];
}

/// \return the expected time until \p ahead waiting requests and one more have been started.
core::Duration Admission::expected_wait(std::size_t ahead) const {
  const double turns = static_cast<double>(ahead + 1) / std::max(1u, options_.max_running);
  return core::from_seconds(turns * mean_service_seconds_);
}

std::size_t Admission::waiting_ahead_of(std::int32_t priority) const {
  const auto end = queue_.upper_bound(QueueKey{priority, next_ticket_});
  return static_cast<std::size_t>(std::distance(queue_.begin(), end));
}

}  // namespace stoneport::routing
