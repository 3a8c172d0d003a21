#include "steps/signal.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace stoneport::steps {
namespace asio = boost::asio;
namespace {

/// Keeps a timer in the set while its coroutine is waiting.
class Registration {
 public:
  Registration(std::set<asio::steady_timer*>& timers, asio::steady_timer& timer)
      : timers_(timers), timer_(timer) {
    timers_.insert(&timer_);
  }
  ~Registration() { timers_.erase(&timer_); }
  Registration(const Registration&) = delete;
  Registration& operator=(const Registration&) = delete;

 private:
  std::set<asio::steady_timer*>& timers_;
  asio::steady_timer& timer_;
};

}  // namespace

void Signal::notify() {
  for (asio::steady_timer* timer : waiting_) {
    timer->cancel();
  }
}

asio::awaitable<void> Signal::wait_for(core::Duration length) {
  asio::steady_timer timer(executor_, length);
  const Registration registration(waiting_, timer);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

}  // namespace stoneport::steps
