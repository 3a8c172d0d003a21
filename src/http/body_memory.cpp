#include "http/body_memory.hpp"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <unordered_map>
#include <utility>

#include "http/beast_conversion.hpp"
#include "http/deadline_timer.hpp"

namespace stoneport::http {
namespace asio = boost::asio;
namespace {

/// Short against the time after which a client that reads nothing counts as stalled.
constexpr core::Duration kReclaimInterval = std::chrono::milliseconds(100);
/// Reserved at first for a body whose length is not known; most are shorter.
constexpr std::uint64_t kFirstBytes = 4 * 1024;

using WaitTimers = std::unordered_map<BodyBudget::Ticket, asio::steady_timer*>;

/// Keeps a timer where the grant of its ticket finds it, however the wait ends.
class RegisteredTimer {
 public:
  RegisteredTimer(WaitTimers& timers, BodyBudget::Ticket ticket, asio::steady_timer& timer)
      : timers_(timers), ticket_(ticket) {
    timers_[ticket_] = &timer;
  }
  ~RegisteredTimer() { timers_.erase(ticket_); }
  RegisteredTimer(const RegisteredTimer&) = delete;
  RegisteredTimer& operator=(const RegisteredTimer&) = delete;

 private:
  WaitTimers& timers_;
  BodyBudget::Ticket ticket_;
};

std::string metric_name(std::string_view suffix) {
  return "stoneport_http_bodies_" + std::string(suffix);
}

core::Error too_large(std::size_t max_bytes) {
  return core::make_error(core::ErrorCode::kTooLarge,
                          "body exceeds " + std::to_string(max_bytes) + " bytes");
}

}  // namespace

struct BodyMemory::State {
  State(asio::any_io_executor on, const std::string& name, BodyBudgetLimits limits,
        core::Metrics& metrics)
      : executor(std::move(on)),
        budget(limits),
        held(metrics.gauge(metric_name("held_bytes"), "Bytes reserved for bodies read whole",
                           {{"memory", name}})),
        waiting(metrics.gauge(metric_name("waiting"), "Bodies that wait for memory",
                              {{"memory", name}})),
        waits(metrics.counter(metric_name("waits_total"), "Bodies that had to wait for memory",
                              {{"memory", name}})),
        dropped(metrics.counter(metric_name("without_memory_total"),
                                "Bodies dropped as there was no memory by their deadline",
                                {{"memory", name}})) {}

  void update_gauges() {
    held.Set(static_cast<double>(budget.held_bytes()));
    waiting.Set(static_cast<double>(budget.waiting()));
  }

  void wake(const std::vector<BodyBudget::Ticket>& granted) {
    for (const BodyBudget::Ticket ticket : granted) {
      const auto timer = timers.find(ticket);
      if (timer != timers.end()) {
        timer->second->cancel();
      }
    }
    update_gauges();
  }

  /// Asks for memory to be freed, at most once per interval for all that wait.
  void reclaim_if_due(core::MonotonicTime now) {
    if (now < next_reclaim || !reclaim) {
      return;
    }
    next_reclaim = now + kReclaimInterval;
    reclaim(budget.waiting_bytes());
  }

  asio::any_io_executor executor;
  BodyBudget budget;
  Reclaim reclaim;
  core::MonotonicTime next_reclaim{};
  WaitTimers timers;  ///< of those that wait
  prometheus::Gauge& held;
  prometheus::Gauge& waiting;
  prometheus::Counter& waits;
  prometheus::Counter& dropped;
};

namespace {

/// Collects a body into one text, reserving its capacity before each allocation.
class BodyCollector {
 public:
  BodyCollector(BodyMemory& memory, const ReservedReadOptions& options)
      : options_(options), reservation_(std::make_shared<BodyReservation>(memory)) {}

  /// Makes room for \p size bytes in all.
  asio::awaitable<core::Result<void>> make_room(std::uint64_t size) {
    if (size <= capacity_) {
      co_return core::Result<void>();
    }
    const std::uint64_t target = next_capacity(size);
    // While a text moves into the larger allocation, both are in memory. That of a small one is
    // not worth a place among the large bodies.
    const std::uint64_t moved = capacity_ >= kSmallBodyBytes ? capacity_ : 0;
    core::Result<void> granted =
        co_await reservation_->enlarge(moved + target, options_.deadline, options_.listener);
    if (!granted) {
      co_return granted;
    }
    text_.reserve(target);
    if (moved > 0) {
      reservation_->shrink(target);
    }
    capacity_ = target;
    co_return core::Result<void>();
  }

  std::uint64_t next_capacity(std::uint64_t size) const {
    const std::uint64_t doubled = std::max({2 * capacity_, size, kFirstBytes});
    if (!options_.length) {
      return doubled;
    }
    return options_.reserves_arrived ? std::min(doubled, *options_.length) : *options_.length;
  }

  void append(const std::string& piece) { text_ += piece; }
  std::uint64_t size() const { return text_.size(); }

  ReservedBody take() {
    if (capacity_ == 0) {
      return {};
    }
    return {std::move(text_), std::move(reservation_)};
  }

 private:
  const ReservedReadOptions& options_;
  std::shared_ptr<BodyReservation> reservation_;
  std::string text_;
  std::uint64_t capacity_ = 0;
};

}  // namespace

BodyMemory::BodyMemory(asio::any_io_executor executor, const std::string& name,
                       BodyBudgetLimits limits, core::Metrics& metrics)
    : state_(std::make_shared<State>(std::move(executor), name, limits, metrics)) {}

void BodyMemory::set_reclaim(Reclaim reclaim) {
  state_->reclaim = std::move(reclaim);
}

bool BodyMemory::is_short() const {
  return state_->budget.waiting() > 0;
}

BodyReservation::~BodyReservation() {
  if (ticket_ != 0) {
    state_->wake(state_->budget.release(ticket_));
  }
}

void BodyReservation::shrink(std::uint64_t bytes) {
  state_->wake(state_->budget.shrink(ticket_, bytes));
}

bool BodyReservation::ask(std::uint64_t bytes) {
  if (ticket_ == 0) {
    ticket_ = state_->budget.request(bytes);
    state_->update_gauges();
  } else {
    state_->wake(state_->budget.grow(ticket_, bytes));
  }
  return state_->budget.is_granted(ticket_);
}

asio::awaitable<bool> BodyReservation::wait_for_grant(core::MonotonicTime deadline) {
  asio::steady_timer timer(state_->executor);
  const RegisteredTimer registered(state_->timers, ticket_, timer);
  while (!state_->budget.is_granted(ticket_)) {
    const core::MonotonicTime now = monotonic_now();
    if (now >= deadline) {
      co_return false;
    }
    state_->reclaim_if_due(now);
    timer.expires_after(std::min(deadline - now, kReclaimInterval));
    co_await timer.async_wait(kAwaitTuple);
  }
  co_return true;
}

asio::awaitable<core::Result<void>> BodyReservation::enlarge(std::uint64_t bytes,
                                                             core::MonotonicTime deadline,
                                                             const MemoryWaitListener& listener) {
  if (ask(bytes)) {
    co_return core::Result<void>();
  }
  state_->waits.Increment();
  if (listener.on_begin) {
    listener.on_begin();
  }
  const core::MonotonicTime began = monotonic_now();
  const bool is_granted = co_await wait_for_grant(deadline);
  if (!is_granted) {
    state_->dropped.Increment();
    state_->wake(state_->budget.release(std::exchange(ticket_, 0)));
    co_return core::make_error(
        core::ErrorCode::kOverloaded,
        "no memory for a body of " + std::to_string(bytes) + " bytes by its deadline");
  }
  const core::Duration waited = monotonic_now() - began;
  waited_ += waited;
  if (listener.on_end) {
    listener.on_end(waited);
  }
  co_return core::Result<void>();
}

asio::awaitable<core::Result<ReservedBody>> read_reserved(BodySource& body, BodyMemory& memory,
                                                          ReservedReadOptions options) {
  if (options.length.value_or(0) > options.max_bytes) {
    co_return too_large(options.max_bytes);
  }
  BodyCollector collector(memory, options);
  core::Result<void> has_room =
      co_await collector.make_room(options.reserves_arrived ? 0 : options.length.value_or(0));
  while (has_room) {
    core::Result<std::optional<std::string>> piece = co_await body.next();
    if (!piece) {
      co_return std::move(piece).error();
    }
    if (!piece->has_value()) {
      co_return collector.take();
    }
    const std::uint64_t size = collector.size() + (*piece)->size();
    if (size > options.max_bytes) {
      co_return too_large(options.max_bytes);
    }
    has_room = co_await collector.make_room(size);
    if (has_room) {
      collector.append(**piece);
    }
  }
  co_return has_room.error();
}

}  // namespace stoneport::http
