#include "ingress/call_race.hpp"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "runtime/cancellable.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::ingress {
namespace asio = boost::asio;

bool CallAttempt::is_broken() const {
  return result && !result->has_value() && ports::is_broken_connection(result->error());
}

CallRace::CallRace(const asio::any_io_executor& executor)
    : ended_(std::make_shared<asio::steady_timer>(executor)) {}

asio::awaitable<void> CallRace::run(CallAttemptPointer attempt,
                                    asio::awaitable<ports::CallResult<ports::ReplicaAnswer>> call,
                                    ReplicaCheck check, Timer ended) {
  if (!attempt->is_cancelled) {
    attempt->result = co_await runtime::run_cancellable(std::move(call), attempt->cancellation);
  }
  if (!attempt->is_cancelled && attempt->is_broken()) {
    attempt->replica_has_crashed = co_await check();
  }
  attempt->has_ended = true;
  ended->cancel();
}

void CallRace::begin(CallAttemptPointer attempt,
                     asio::awaitable<ports::CallResult<ports::ReplicaAnswer>> call,
                     ReplicaCheck check) {
  calls_.push_back(attempt);
  runtime::start(ended_->get_executor(), "call to a replica",
                 run(std::move(attempt), std::move(call), std::move(check), ended_));
}

asio::awaitable<void> CallRace::wait(core::Duration longest) {
  const bool has_ended =
      std::any_of(calls_.begin(), calls_.end(),
                  [](const CallAttemptPointer& attempt) { return attempt->has_ended; });
  if (has_ended) {
    co_return;
  }
  ended_->expires_after(longest);
  co_await ended_->async_wait(asio::as_tuple(asio::use_awaitable));
}

CallAttemptPointer CallRace::take_ended() {
  const auto was_answered = [](const CallAttemptPointer& attempt) {
    return attempt->has_ended && attempt->result && attempt->result->has_value();
  };
  auto found = std::find_if(calls_.begin(), calls_.end(), was_answered);
  if (found == calls_.end()) {
    found = std::find_if(calls_.begin(), calls_.end(),
                         [](const CallAttemptPointer& attempt) { return attempt->has_ended; });
  }
  if (found == calls_.end()) {
    return nullptr;
  }
  CallAttemptPointer ended = *found;
  calls_.erase(found);
  return ended;
}

void CallRace::cancel_all() {
  for (const CallAttemptPointer& attempt : calls_) {
    attempt->is_cancelled = true;
    if (!attempt->result) {
      attempt->cancellation.emit(asio::cancellation_type::terminal);
    }
  }
  calls_.clear();
}

bool CallRace::is_checking_replica() const {
  return std::any_of(calls_.begin(), calls_.end(), [](const CallAttemptPointer& attempt) {
    return !attempt->has_ended && attempt->is_broken();
  });
}

bool CallRace::has_begun_answer() const {
  return std::any_of(calls_.begin(), calls_.end(),
                     [](const CallAttemptPointer& attempt) { return attempt->has_begun_answer; });
}

bool CallRace::has_call_at(const ReplicaState& replica) const {
  return std::any_of(calls_.begin(), calls_.end(), [&](const CallAttemptPointer& attempt) {
    return attempt->replica.get() == &replica;
  });
}

bool CallRace::has_call_in(const core::ZoneName& zone) const {
  return std::any_of(calls_.begin(), calls_.end(), [&](const CallAttemptPointer& attempt) {
    return attempt->replica->record.zone == zone;
  });
}

}  // namespace stoneport::ingress
