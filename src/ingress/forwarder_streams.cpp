// Streaming of Forwarder.
#include "core/decision_log.hpp"
#include "ingress/forwarder_parts.hpp"
#include "runtime/cancellable.hpp"

namespace stoneport::ingress {
namespace asio = boost::asio;

asio::awaitable<Forwarder::RelayEnd> Forwarder::relay(ports::TokenStream& stream,
                                                      Progress& progress,
                                                      http::ResponseWriter& response) {
  response.when_client_gone([&stream] { stream.cancel(); });
  RelayEnd end = RelayEnd::kBroken;
  while (true) {
    core::Result<std::optional<ports::TokenEvent>> event = co_await stream.next();
    if (response.client_gone()) {
      end = RelayEnd::kClientGone;
      break;
    }
    if (!event) {
      progress.reason = event.error().message;
      progress.fell_silent = event.error().code == core::ErrorCode::kDeadlineExceeded;
      break;
    }
    if (!event->has_value()) {
      end = RelayEnd::kWhole;
      break;
    }
    const core::Result<void> written = co_await response.write((*event)->wire_text);
    if (!written) {
      end = RelayEnd::kClientGone;
      break;
    }
    progress.last_event = (*event)->number;
  }
  response.when_client_gone({});
  co_return end;
}

asio::awaitable<void> Forwarder::serve_stream(ForwardedRequest request,
                                              http::ResponseWriter& response) {
  Progress progress;
  draw_service(request, progress);
  progress.give_up_at = std::min(request.deadline, request.received + request.route->timeout);
  progress.preference = preference_for(*request.route);
  progress.last_event = request.resume_after;
  ObservedRun observed(observer_, request.tenant);
  while (may_try_again(request, progress) && !response.client_gone()) {
    const ReplicaPointer replica = co_await choose(request, progress);
    if (!replica) {
      break;
    }
    const InFlight in_flight(replica);
    const std::optional<CrashGuard::Run> suspect_run = begin_if_suspect(*replica, progress);
    asio::cancellation_signal cut;
    response.when_client_gone([&cut] { cut.emit(asio::cancellation_type::terminal); });
    observed.sent(time_.now());
    note_sent(*replica, request);
    progress.load.sent(time_.now());
    ports::ReplicaTarget target{replica->record.id, replica->record.address};
    asio::awaitable<ports::CallResult<ports::StreamAnswer>> task =
        client_.open_stream(std::move(target), replica_call(request, progress));
    std::optional<ports::CallResult<ports::StreamAnswer>> opened =
        co_await runtime::run_cancellable(std::move(task), cut);
    response.when_client_gone({});
    if (!opened) {
      meters_->client_gone.Increment();
      co_return;
    }
    if (!*opened) {
      note_attempt(opened->error(), observed);
      co_await resolve_failure(request, replica, opened->error(), progress);
      note_failure(request, replica, opened->error(), progress);
      continue;
    }
    observed.ran();
    ports::StreamAnswer& answer = **opened;
    if (answer.rejection) {
      const Verdict verdict = assess_answer(request, *replica, *answer.rejection, progress);
      if (verdict == Verdict::kAnswer && !progress.started) {
        progress.load.answered(time_.now());
        co_await response.send(std::move(answer.rejection->response));
        co_return;
      }
      if (verdict != Verdict::kRetry) {
        break;
      }
      progress.preference.excluded.insert(replica->record.id);
      continue;
    }
    if (!progress.started) {
      progress.started = true;
      const core::Result<void> begun = co_await response.start(answer.stream->head(), std::nullopt);
      if (!begun) {
        co_return;
      }
    }
    const RelayEnd end = co_await relay(*answer.stream, progress, response);
    if (end == RelayEnd::kWhole) {
      guard_.note_served(progress.content_of(request));
      meters_->answered.Increment();
      progress.load.answered(time_.now());
      co_await response.finish();
      co_return;
    }
    if (end == RelayEnd::kClientGone) {
      meters_->client_gone.Increment();
      co_return;
    }
    ++progress.runs;
    if (!progress.fell_silent) {
      co_await check_broken_run(request, replica, progress);
    }
    progress.preference.excluded.insert(replica->record.id);
  }
  if (response.client_gone()) {
    meters_->client_gone.Increment();
    co_return;
  }
  const ForwardFailure failure = make_failure(request, progress);
  if (!progress.started) {
    co_await answer_failure(request, failure, response);
    co_return;
  }
  // Returning without an end event aborts the stream, so that the client cannot mistake it for
  // complete.
  meters_->failed.Increment();
  core::log_decision(core::DecisionEvent::kRequestRefused,
                     {{"request", request.request_id}, {"reason", failure.reason}});
}

}  // namespace stoneport::ingress
