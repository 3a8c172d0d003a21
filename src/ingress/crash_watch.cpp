#include "ingress/crash_watch.hpp"

#include <algorithm>
#include <utility>

#include "runtime/tasks.hpp"

namespace stoneport::ingress {
namespace asio = boost::asio;

std::string_view to_string(CrashVerdict verdict) {
  switch (verdict) {
    case CrashVerdict::kCrashed:
      return "crashed";
    case CrashVerdict::kAlive:
      return "alive";
    case CrashVerdict::kUnknown:
      return "unknown";
  }
  return "unknown";
}

CrashWatch::CrashWatch(ports::ReplicaClient& client, core::Metrics& metrics,
                       CrashWatchSettings settings, Listener listener)
    : client_(client), settings_(settings), listener_(std::move(listener)) {
  for (const CrashVerdict verdict :
       {CrashVerdict::kCrashed, CrashVerdict::kAlive, CrashVerdict::kUnknown}) {
    verdicts_.at(static_cast<std::size_t>(verdict)) =
        &metrics.counter("stoneport_crash_watch_verdicts_total",
                         "Requests whose connection broke while their replica still accepted "
                         "connections, by what was found out about the replica",
                         {{"verdict", std::string(to_string(verdict))}});
  }
}

void CrashWatch::watch(const asio::any_io_executor& executor, BrokenCall call) {
  const ReplicaPointer replica = call.replica;
  const auto [entry, is_new] = watched_.try_emplace(replica->record.id);
  Watched& watched = entry->second;
  watched.replica = replica;
  watched.checks = 0;
  std::erase_if(watched.calls,
                [&](const BrokenCall& earlier) { return earlier.content == call.content; });
  watched.calls.push_back(std::move(call));
  if (is_new) {
    runtime::start(executor, "crash watch of a replica", run(replica));
  }
}

asio::awaitable<void> CrashWatch::run(ReplicaPointer replica) {
  Watched& watched = watched_.at(replica->record.id);
  while (!watched.calls.empty()) {
    co_await runtime::sleep_for(core::max_backoff_delay(settings_.check_delay, watched.checks));
    co_await check(watched);
  }
  watched_.erase(replica->record.id);
}

asio::awaitable<void> CrashWatch::check(Watched& watched) {
  ++watched.checks;
  report_answered(watched);
  if (watched.calls.empty()) {
    co_return;
  }
  const ReplicaState& replica = *watched.replica;
  // A replica that is draining or no longer listed may terminate at any time.
  if (!replica.accepts_work()) {
    report_all(watched, CrashVerdict::kUnknown);
    co_return;
  }
  ports::ReplicaTarget target{replica.record.id, replica.record.address};
  const bool refuses = co_await client_.refuses_connections(std::move(target));
  if (refuses || replica.has_ended()) {
    report_all(watched, CrashVerdict::kCrashed);
  } else if (watched.checks >= settings_.max_checks) {
    report_all(watched, CrashVerdict::kUnknown);
  }
}

void CrashWatch::report_answered(Watched& watched) {
  std::vector<BrokenCall> answered;
  std::erase_if(watched.calls, [&](const BrokenCall& call) {
    const bool has_answered = watched.replica->last_answer > call.broke_at;
    if (has_answered) {
      answered.push_back(call);
    }
    return has_answered;
  });
  for (const BrokenCall& call : answered) {
    report(call, CrashVerdict::kAlive);
  }
}

void CrashWatch::report_all(Watched& watched, CrashVerdict verdict) {
  for (const BrokenCall& call : std::exchange(watched.calls, {})) {
    report(call, verdict);
  }
}

void CrashWatch::report(const BrokenCall& call, CrashVerdict verdict) {
  verdicts_.at(static_cast<std::size_t>(verdict))->Increment();
  listener_(call, verdict);
}

}  // namespace stoneport::ingress
