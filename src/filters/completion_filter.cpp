#include "filters/completion_filter.hpp"

#include <boost/asio/this_coro.hpp>

#include "http/server_sent_events.hpp"
#include "routing/prefix_affinity.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::filters {
namespace asio = boost::asio;
using core::ErrorCode;
namespace {

constexpr std::size_t kMostAttempts = 3;
constexpr std::uint32_t kMostResumes = 3;
constexpr std::string_view kDoneMark = "[DONE]";

/// \return whether an engine that answered so surely did not start the stream.
bool is_not_started(ErrorCode code) {
  switch (code) {
    case ErrorCode::kUnavailable:
    case ErrorCode::kRateLimited:
    case ErrorCode::kOverloaded:
    case ErrorCode::kNotFound:
    case ErrorCode::kInvalidArgument:
    case ErrorCode::kTooLarge:
    case ErrorCode::kConflict:
    case ErrorCode::kFenced:
      return true;
    default:
      return false;
  }
}

/// \return whether another engine may do better.
bool may_help_elsewhere(ErrorCode code) {
  return code != ErrorCode::kInvalidArgument && code != ErrorCode::kTooLarge &&
         code != ErrorCode::kDeadlineExceeded && code != ErrorCode::kCancelled;
}

asio::awaitable<void> cancel_on_engine(std::shared_ptr<ports::ModelEngine> engine,
                                       core::StreamId stream) {
  // Best effort: an engine that does not hear it ends the stream by its own limit.
  co_await engine->cancel_stream(std::move(stream));
}

}  // namespace

core::StreamId StreamIdSource::next() {
  return core::StreamId("caller/" + node_.value() + "/" + std::to_string(seed_) + "/" +
                        std::to_string(++count_));
}

/// One completion over all its attempts.
struct CompletionFilter::Run {
  RequestContext& request;
  const CompletionRequest& completion;
  CompletionIdentity identity;
  CompletionText text;
  std::vector<std::uint64_t> prefixes;
  std::vector<core::ReplicaId> tried;
  bool may_have_run = false;

  bool is_passed_on() const { return request.response->started(); }
  OutcomeKind kind() const { return may_have_run ? OutcomeKind::kUnknown : OutcomeKind::kNotRun; }
};

/// One try on one engine.
struct CompletionFilter::Attempt {
  routing::ChosenReplica replica;
  std::shared_ptr<ports::ModelEngine> engine;
  core::StreamId stream;
  bool started = false;  ///< the engine may hold the stream
  bool finished = false;
};

asio::awaitable<Outcome> CompletionFilter::handle(RequestContext& request, FilterChain) {
  const CompletionRequest& completion = *request.completion;
  Run run{request, completion, {}, CompletionText(!completion.stream), {}, {}};
  run.identity.id = "cmpl-" + stream_ids_.next().value();
  run.identity.model = completion.model;
  run.identity.created_seconds =
      std::chrono::floor<std::chrono::seconds>(time_.wall_now()).time_since_epoch().count();
  run.prefixes = routing::prefix_hashes(completion.prompt);
  pools_.of_model(completion.model).retry_budget().first_attempt(time_.now());
  const asio::any_io_executor executor = co_await asio::this_coro::executor;
  while (true) {
    if (!pools_.current(time_.now())) {
      const core::Result<void> waited = co_await pools_.wait_until_current(time_);
      if (!waited) {
        co_return Refused{run.kind(), waited.error()};
      }
    }
    routing::ChoiceRequest choice;
    choice.prefixes = run.prefixes;
    choice.prompt_bytes = completion.prompt.size();
    choice.group = routing::prompt_group(completion.prompt);
    choice.excluded = run.tried;
    core::Result<routing::ChosenReplica> replica =
        pools_.of_model(completion.model).choose(choice, time_.now());
    if (!replica) {
      co_return refuse(run, replica.error());
    }
    run.tried.push_back(replica->id());
    metrics_.attempts.Increment();
    Attempt attempt{std::move(*replica), nullptr, stream_ids_.next()};
    attempt.engine = engines_.engine_at(attempt.replica.address());
    attempt.replica.remember_prefixes(run.prefixes, time_.now());
    AttemptEnd end = co_await generate(run, attempt);
    if (end) {
      attempt.replica.finish(routing::LoadSignal::kHealthy, time_.now());
      co_return co_await finish(run);
    }
    note_failure(run, attempt, end.error());
    if (attempt.started && !attempt.finished) {
      runtime::start(executor, "cancel stream", cancel_on_engine(attempt.engine, attempt.stream));
    }
    std::optional<Outcome> final_outcome = give_up(run, end.error());
    if (final_outcome) {
      co_return std::move(*final_outcome);
    }
    metrics_.streams_restarted.Increment();
    run.text.restart();
  }
}

ports::GenerationRequest CompletionFilter::generation(const Run& run,
                                                      const Attempt& attempt) const {
  ports::GenerationRequest generation;
  generation.stream = attempt.stream;
  generation.model = run.completion.model;
  generation.adapter = run.completion.adapter;
  generation.prompt = run.completion.prompt;
  generation.max_tokens = run.completion.max_tokens;
  generation.priority = run.request.priority;
  generation.temperature = run.completion.temperature;
  generation.seed = run.completion.seed;
  return generation;
}

asio::awaitable<CompletionFilter::AttemptEnd> CompletionFilter::generate(Run& run,
                                                                         Attempt& attempt) {
  ports::GenerationRequest request = generation(run, attempt);
  auto stream = co_await attempt.engine->generate(std::move(request), run.request.deadline);
  attempt.started = stream.has_value() || !is_not_started(stream.error().code);
  if (!stream) {
    co_return stream.error();
  }
  AttemptEnd end = co_await read_stream(run, attempt, **stream);
  for (std::uint32_t resumes = 0; resumes < kMostResumes; ++resumes) {
    const bool was_cut = !end && end.error().code == ErrorCode::kTruncated;
    if (!was_cut || run.request.response->client_gone()) {
      break;
    }
    metrics_.streams_resumed.Increment();
    auto resumed = co_await attempt.engine->resume(attempt.stream, run.text.token_count(),
                                                   run.request.deadline);
    if (!resumed) {
      co_return resumed.error();
    }
    end = co_await read_stream(run, attempt, **resumed);
  }
  co_return end;
}

asio::awaitable<CompletionFilter::AttemptEnd> CompletionFilter::read_stream(
    Run& run, Attempt& attempt, ports::TokenStream& stream) {
  http::ResponseWriter& response = *run.request.response;
  response.when_client_gone([&stream] { stream.cancel(); });
  AttemptEnd end;
  while (end && !attempt.finished) {
    core::Result<ports::StreamItem> item = co_await stream.next();
    if (!item) {
      end = item.error();
    } else if (const auto* chunk = std::get_if<ports::TokenChunk>(&*item)) {
      end = run.text.add(*chunk);
      if (end) {
        end = co_await pass_on(run, *chunk);
      }
    } else {
      end = run.text.end(std::get<ports::StreamEnd>(*item));
      attempt.finished = end.has_value();
    }
  }
  response.when_client_gone({});
  const bool was_cancelled =
      attempt.finished && run.text.finish_reason() == ports::FinishReason::kCancelled;
  if (was_cancelled) {
    end = core::make_error(ErrorCode::kUnavailable, "the engine cancelled the stream");
  }
  co_return end;
}

asio::awaitable<CompletionFilter::AttemptEnd> CompletionFilter::pass_on(
    Run& run, const ports::TokenChunk& chunk) {
  if (!run.completion.stream) {
    co_return AttemptEnd();
  }
  http::ResponseWriter& response = *run.request.response;
  if (!response.started()) {
    http::ResponseHead head;
    head.headers.add("Content-Type", "text/event-stream");
    head.headers.add("Cache-Control", "no-cache");
    core::Result<void> started = co_await response.start(std::move(head), std::nullopt);
    if (!started) {
      co_return core::make_error(ErrorCode::kCancelled, "the caller left");
    }
  }
  const std::string event = http::format_event(chunk_event(run.identity, chunk.text));
  core::Result<void> written = co_await response.write(event);
  if (!written) {
    co_return core::make_error(ErrorCode::kCancelled, "the caller left");
  }
  co_return AttemptEnd();
}

asio::awaitable<Outcome> CompletionFilter::finish(Run& run) {
  http::ResponseWriter& response = *run.request.response;
  core::Result<void> sent;
  if (!run.completion.stream) {
    sent = co_await http::respond_json(response, 200, completion_document(run.identity, run.text));
  } else {
    if (!response.started()) {
      sent = co_await pass_on(run, ports::TokenChunk());
    }
    std::string ending = http::format_event(final_event(run.identity, run.text));
    ending += http::format_event(kDoneMark);
    if (sent) {
      sent = co_await response.write(ending);
    }
    if (sent) {
      sent = co_await response.finish();
    }
  }
  if (!sent) {
    co_return caller_left(OutcomeKind::kCompleted);
  }
  co_return Responded{};
}

void CompletionFilter::note_failure(Run& run, Attempt& attempt, const core::Error& error) {
  const core::MonotonicTime now = time_.now();
  run.may_have_run = run.may_have_run || attempt.started;
  const bool is_unreachable = !attempt.started && error.code == ErrorCode::kUnavailable;
  if (is_unreachable) {
    metrics_.replicas_unreachable.Increment();
    attempt.replica.suspect(now);
    observer_.replica_unreachable(attempt.replica.id(), attempt.replica.incarnation());
  }
  const bool is_overload =
      error.code == ErrorCode::kRateLimited || error.code == ErrorCode::kOverloaded;
  attempt.replica.finish(
      is_overload ? routing::LoadSignal::kOverloaded : routing::LoadSignal::kNeutral, now);
}

/// A completion that may have run gets 502 where engines failed: another status would say that it
/// has not run, or that its caller is at fault.
Refused CompletionFilter::refuse(const Run& run, core::Error error) {
  if (run.may_have_run && may_help_elsewhere(error.code)) {
    error.code = ErrorCode::kOutcomeUnknown;
  }
  return Refused{run.kind(), std::move(error)};
}

std::optional<Outcome> CompletionFilter::give_up(Run& run, const core::Error& error) {
  if (run.request.response->client_gone()) {
    return caller_left(run.kind());
  }
  if (run.is_passed_on()) {
    return Aborted{error, false, OutcomeKind::kUnknown};
  }
  const core::MonotonicTime now = time_.now();
  const bool has_attempts = run.tried.size() < kMostAttempts;
  if (!has_attempts || !may_help_elsewhere(error.code) || now >= run.request.deadline) {
    return refuse(run, error);
  }
  if (!pools_.of_model(run.completion.model).retry_budget().try_retry(now)) {
    metrics_.retries_over_budget.Increment();
    return refuse(run, error);
  }
  metrics_.retries.Increment();
  return std::nullopt;
}

}  // namespace stoneport::filters
