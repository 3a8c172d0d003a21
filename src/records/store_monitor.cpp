#include "records/store_monitor.hpp"

#include "core/decision_log.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::records {
namespace asio = boost::asio;
namespace {
constexpr core::Duration kCheckInterval = std::chrono::milliseconds(500);
/// Feeds are answered within a second while the store is healthy.
constexpr core::Duration kLongestSilence = std::chrono::milliseconds(2000);
}  // namespace

StoreMonitor::StoreMonitor(asio::any_io_executor executor, const ports::RecordStore& store,
                           const core::TimeSource& time, core::Metrics& metrics)
    : executor_(std::move(executor)),
      store_(store),
      time_(time),
      silence_seconds_(metrics.gauge("stoneport_store_silence_seconds",
                                     "Time since the store last answered this process")),
      losses_(metrics.counter("stoneport_store_losses_total",
                              "Times that the store stopped answering this process")) {}

void StoreMonitor::start() {
  runtime::start(executor_, "store watch", run());
}

void StoreMonitor::check(core::MonotonicTime now) {
  const core::Duration silence = now - store_.last_answer();
  silence_seconds_.Set(core::to_seconds(silence));
  const bool is_lost = silence > kLongestSilence;
  if (is_lost && !lost_since_) {
    lost_since_ = store_.last_answer();
    losses_.Increment();
    core::log_decision(core::DecisionEvent::kDependencyLost,
                       {{"dependency", "store"}, {"reason", "no answer for 2 s"}});
  } else if (!is_lost && lost_since_) {
    const double away_ms = core::to_seconds(store_.last_answer() - *lost_since_) * 1000;
    lost_since_.reset();
    core::log_decision(core::DecisionEvent::kDependencyRegained,
                       {{"dependency", "store"}, {"away_ms", away_ms}});
  }
}

asio::awaitable<void> StoreMonitor::run() {
  while (true) {
    co_await runtime::sleep_for(kCheckInterval);
    check(time_.now());
  }
}

}  // namespace stoneport::records
