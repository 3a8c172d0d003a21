#include "steps/attempt.hpp"

#include "core/backoff.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::steps {
namespace asio = boost::asio;
using core::ErrorCode;
namespace {

/// send_cancel() and send_priority() run as tasks that nothing waits for, so they only count
/// failures.
asio::awaitable<void> send_cancel(std::shared_ptr<ports::ModelEngine> engine, core::StreamId stream,
                                  prometheus::Counter& failures) {
  const auto done = co_await engine->cancel_stream(std::move(stream));
  if (!done) {
    failures.Increment();
  }
}

asio::awaitable<void> send_priority(std::shared_ptr<ports::ModelEngine> engine,
                                    core::StreamId stream, std::int32_t priority,
                                    prometheus::Counter& failures) {
  const auto done = co_await engine->set_priority(std::move(stream), priority);
  if (!done) {
    failures.Increment();
  }
}

bool is_refusal(ErrorCode code) {
  return code == ErrorCode::kUnavailable || code == ErrorCode::kRateLimited ||
         code == ErrorCode::kOverloaded;
}

/// Returns whether the stream may be running on the engine despite the error.
bool may_be_running(ErrorCode code) {
  return code == ErrorCode::kOutcomeUnknown || code == ErrorCode::kConflict ||
         code == ErrorCode::kDeadlineExceeded || code == ErrorCode::kTruncated;
}

routing::LoadSignal load_signal(AttemptOutcome end) {
  switch (end) {
    case AttemptOutcome::kFinished:
      return routing::LoadSignal::kHealthy;
    case AttemptOutcome::kRefused:
      return routing::LoadSignal::kOverloaded;
    default:
      return routing::LoadSignal::kNeutral;
  }
}

}  // namespace

Attempt::Attempt(StepContext& context, Order order)
    : context_(context),
      order_(std::move(order)),
      stream_id_(rollout::to_stream_id(order_.name)),
      started_at_(context.now()) {
  order_.request.stream = stream_id_;
  context_.engines.stream_started(order_.engine.id);
}

std::shared_ptr<ports::ModelEngine> Attempt::client() const {
  return context_.engines.client(order_.engine.address);
}

asio::awaitable<AttemptOutcome> Attempt::run() {
  const auto self = shared_from_this();
  std::optional<AttemptOutcome> end = co_await open();
  while (!end) {
    end = co_await read();
  }
  reading_ = false;
  stream_.reset();
  if (stop_ != Stop::kNone) {
    end = AttemptOutcome::kCancelled;
  }
  context_.engines.stream_ended(order_.engine.id, load_signal(*end));
  const bool leaves_stream = *end == AttemptOutcome::kFailed || *end == AttemptOutcome::kDefective;
  if (stop_ == Stop::kCancel || leaves_stream) {
    cancel_at(order_.engine);
  }
  if (*end == AttemptOutcome::kFinished) {
    context_.engines.record_success(order_.engine.id);
  } else {
    context_.metrics.tokens_dropped.Increment(static_cast<double>(content_.token_count()));
  }
  co_return *end;
}

asio::awaitable<std::optional<AttemptOutcome>> Attempt::open() {
  if (order_.adopted) {
    const bool resumed = co_await resume();
    co_return resumed ? std::nullopt : std::optional(AttemptOutcome::kFailed);
  }
  const auto engine = client();
  StreamResult opened = co_await engine->generate(order_.request, order_.deadline);
  if (opened) {
    stream_ = std::move(*opened);
    co_return std::nullopt;
  }
  const core::Error error = opened.error();
  if (error.code == ErrorCode::kFenced) {
    co_return AttemptOutcome::kFenced;
  }
  if (stop_ == Stop::kNone && may_be_running(error.code)) {
    const bool resumed = co_await resume();
    co_return resumed ? std::nullopt : std::optional(AttemptOutcome::kFailed);
  }
  context_.engines.record_refusal(order_.engine.id, error.retry_after);
  co_return is_refusal(error.code) ? AttemptOutcome::kRefused : AttemptOutcome::kFailed;
}

asio::awaitable<std::optional<AttemptOutcome>> Attempt::read() {
  if (stop_ != Stop::kNone) {
    co_return AttemptOutcome::kCancelled;
  }
  if (migration_target_) {
    const routing::Replica target = *migration_target_;
    migration_target_.reset();
    const bool moved = co_await migrate(target);
    if (!moved) {
      co_return AttemptOutcome::kFailed;
    }
    co_return std::nullopt;
  }
  core::Result<ports::StreamItem> item = co_await stream_->next();
  if (stop_ != Stop::kNone) {
    co_return AttemptOutcome::kCancelled;
  }
  if (item) {
    if (const auto* chunk = std::get_if<ports::TokenChunk>(&*item)) {
      co_return handle(*chunk);
    }
    co_return handle(std::get<ports::StreamEnd>(*item));
  }
  if (migration_target_) {
    co_return std::nullopt;  // reading was interrupted to migrate
  }
  if (item.error().code == ErrorCode::kFenced) {
    co_return AttemptOutcome::kFenced;
  }
  const bool resumed = co_await resume();
  co_return resumed ? std::nullopt : std::optional(AttemptOutcome::kFailed);
}

std::optional<AttemptOutcome> Attempt::handle(const ports::TokenChunk& chunk) {
  const rollout::GeneratedChunk generated{chunk.offset, chunk.token_count, chunk.text,
                                          chunk.version};
  context_.metrics.tokens_received.Increment(chunk.token_count);
  if (content_.add(generated)) {
    return AttemptOutcome::kDefective;
  }
  if (!order_.adopted) {  // an adopted stream may begin with old versions
    context_.engines.record_version(order_.engine.id, *chunk.version);
  }
  if (first_token_count_ == 0 && content_.token_count() > 0) {
    first_token_at_ = context_.now();
    first_token_count_ = content_.token_count();
  }
  return std::nullopt;
}

AttemptOutcome Attempt::handle(const ports::StreamEnd& end) {
  if (end.reason == ports::FinishReason::kCancelled) {
    return AttemptOutcome::kFailed;
  }
  return content_.finish(end.token_count) ? AttemptOutcome::kDefective : AttemptOutcome::kFinished;
}

asio::awaitable<bool> Attempt::resume() {
  const StepSettings& settings = context_.settings();
  for (std::uint32_t attempt = 1; attempt <= settings.resume_tries; ++attempt) {
    if (stop_ != Stop::kNone) {
      co_return false;
    }
    const auto engine = client();
    StreamResult resumed =
        co_await engine->resume(stream_id_, content_.token_count(), order_.deadline);
    if (resumed) {
      context_.metrics.streams_resumed.Increment();
      stream_ = std::move(*resumed);
      co_return true;
    }
    if (resumed.error().code == ErrorCode::kNotFound) {
      break;
    }
    const core::Duration pause =
        core::backoff_delay(settings.backoff, attempt - 1, context_.random);
    co_await runtime::sleep_for(pause);
  }
  context_.engines.record_refusal(order_.engine.id, std::nullopt);
  co_return false;
}

asio::awaitable<bool> Attempt::migrate(routing::Replica target) {
  ++migrations_;
  const auto source_engine = client();
  core::Result<ports::KvExport> exported = co_await source_engine->export_kv(stream_id_);
  if (!exported) {
    // Either not exported, or the response was lost; resuming shows which.
    context_.metrics.migrations_failed.Increment();
    co_return co_await resume();
  }
  // The engine may be ahead of the reader: continue where reading stopped.
  exported->token_count = content_.token_count();
  const routing::Replica source = order_.engine;
  StreamResult imported = co_await import_at(*exported, source, target);
  if (imported) {
    context_.metrics.streams_migrated.Increment();
    move_load(source.id, target.id);
    order_.engine = std::move(target);
    stream_ = std::move(*imported);
    co_return true;
  }
  context_.metrics.migrations_failed.Increment();
  if (may_be_running(imported.error().code)) {
    cancel_at(target);
  }
  StreamResult returned = co_await import_at(*exported, source, source);
  if (!returned) {
    co_return false;
  }
  stream_ = std::move(*returned);
  co_return true;
}

asio::awaitable<Attempt::StreamResult> Attempt::import_at(ports::KvExport exported,
                                                          routing::Replica from,
                                                          routing::Replica target) {
  const auto engine = context_.engines.client(target.address);
  co_return co_await engine->import_kv(std::move(exported), from.address, order_.deadline);
}

void Attempt::move_load(const core::ReplicaId& from, const core::ReplicaId& to) {
  context_.engines.stream_ended(from, routing::LoadSignal::kNeutral);
  context_.engines.stream_started(to);
}

void Attempt::interrupt() {
  if (stream_) {
    stream_->cancel();
  }
}

void Attempt::cancel() {
  if (stop_ == Stop::kNone) {
    stop_ = Stop::kCancel;
    interrupt();
  }
}

void Attempt::detach() {
  stop_ = Stop::kDetach;
  interrupt();
}

void Attempt::migrate_to(routing::Replica target) {
  if (stream_ && reading_ && !is_stopping() && !migration_target_) {
    migration_target_ = std::move(target);
    interrupt();
  }
}

void Attempt::raise_priority(std::int32_t by) {
  raised_ = true;
  context_.metrics.priority_raises.Increment();
  runtime::start(context_.dependencies.executor, "raise priority",
                 send_priority(client(), stream_id_, order_.request.priority + by,
                               context_.metrics.orders_failed));
}

void Attempt::cancel_at(const routing::Replica& replica) {
  runtime::start(context_.dependencies.executor, "cancel stream",
                 send_cancel(context_.engines.client(replica.address), stream_id_,
                             context_.metrics.orders_failed));
}

double Attempt::tokens_per_second() const {
  const double seconds = core::to_seconds(context_.now() - first_token_at_);
  const std::uint64_t since = content_.token_count() - first_token_count_;
  return first_token_count_ == 0 || since == 0 || seconds <= 0
             ? 0
             : static_cast<double>(since) / seconds;
}

}  // namespace stoneport::steps
