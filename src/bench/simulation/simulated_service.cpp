#include "bench/simulation/simulated_service.hpp"

#include <algorithm>
#include <iterator>
#include <vector>

namespace stoneport::bench {

SimulatedService::SimulatedService(EventQueue& events, ServiceSettings settings, std::uint64_t seed)
    : events_(events), settings_(settings), random_(seed) {
  pause_later();
}

void SimulatedService::pause_later() {
  if (settings_.pause_length <= core::Duration::zero()) {
    return;
  }
  const double mean = core::to_seconds(settings_.pause_interval);
  events_.after(core::from_seconds(random_.exponential(mean)), [this] {
    paused_until_ = events_.now() + settings_.pause_length;
    pause_later();
  });
}

void SimulatedService::submit(ServiceJob job) {
  if (!up_) {
    job.on_answer(ServiceAnswer::kUnreachable);
    return;
  }
  if (queue_.size() >= settings_.max_waiting) {
    job.on_answer(ServiceAnswer::kRefused);
    return;
  }
  queue_.push_back(std::move(job));
  begin_waiting();
}

void SimulatedService::begin_waiting() {
  while (up_ && !queue_.empty() && running_.size() < settings_.workers) {
    ServiceJob job = std::move(queue_.front());
    queue_.pop_front();
    begin(std::move(job));
  }
}

void SimulatedService::begin(ServiceJob job) {
  if (!job.repeatable) {
    ++runs_[job.key];
  }
  const core::MonotonicTime start = std::max(events_.now(), paused_until_);
  const core::MonotonicTime end = start + core::from_seconds(job.work_seconds);
  const std::uint64_t number = next_number_++;
  running_.emplace(number, std::move(job));
  events_.at(end, [this, number] { finish(number); });
}

void SimulatedService::finish(std::uint64_t number) {
  const auto found = running_.find(number);
  if (found == running_.end()) {
    return;
  }
  const ServiceJob job = std::move(found->second);
  running_.erase(found);
  begin_waiting();
  job.on_answer(ServiceAnswer::kDone);
}

void SimulatedService::crash() {
  up_ = false;
  std::vector<ServiceJob> lost;
  for (auto& [number, job] : running_) {
    lost.push_back(std::move(job));
  }
  std::move(queue_.begin(), queue_.end(), std::back_inserter(lost));
  running_.clear();
  queue_.clear();
  for (const ServiceJob& job : lost) {
    job.on_answer(ServiceAnswer::kCut);
  }
}

void SimulatedService::restart() {
  up_ = true;
}

}  // namespace stoneport::bench
