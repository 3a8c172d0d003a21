#include "filters/outcome_filter.hpp"

#include "filters/caller_headers.hpp"

namespace stoneport::filters {
namespace asio = boost::asio;
namespace {

/// Mean time after which a refused caller is told to come back, where no queue
/// tells more.
constexpr double kUsualRetryAfterSeconds = 1;

/// Puts the outcome on the head of a back end's answer.
class CompletedWriter : public http::ResponseWriter {
 public:
  explicit CompletedWriter(http::ResponseWriter& inner) : inner_(inner) {}

  asio::awaitable<core::Result<void>> start(http::ResponseHead head,
                                            std::optional<std::uint64_t> content_length) override {
    mark(head);
    return inner_.start(std::move(head), content_length);
  }
  asio::awaitable<core::Result<void>> write(std::string_view piece) override {
    return inner_.write(piece);
  }
  asio::awaitable<core::Result<void>> finish() override { return inner_.finish(); }
  asio::awaitable<core::Result<void>> send(http::Response message) override {
    mark(message.head);
    return inner_.send(std::move(message));
  }
  bool started() const override { return inner_.started(); }
  bool client_gone() const override { return inner_.client_gone(); }
  void when_client_gone(std::function<void()> callback) override {
    inner_.when_client_gone(std::move(callback));
  }

 private:
  static void mark(http::ResponseHead& head) {
    head.headers.set(kOutcomeHeader, std::string(to_string(OutcomeKind::kCompleted)));
  }
  http::ResponseWriter& inner_;
};

}  // namespace

asio::awaitable<Outcome> OutcomeFilter::handle(RequestContext& request, FilterChain rest) {
  http::ResponseWriter& response = *request.response;
  CompletedWriter writer(response);
  request.response = &writer;
  Outcome outcome = co_await rest.proceed(request);
  request.response = &response;
  count(outcome);
  if (auto* refusal = std::get_if<Refused>(&outcome)) {
    outcome = co_await refuse(request, std::move(*refusal));
  }
  co_return outcome;
}

asio::awaitable<Outcome> OutcomeFilter::refuse(const RequestContext& request, Refused refusal) {
  set_retry_after(request, refusal);
  const unsigned status = refusal.status.value_or(http::status_for(refusal.error.code));
  http::Response message = http::error_response(status, refusal.error);
  message.head.headers.set(kOutcomeHeader, std::string(to_string(refusal.kind)));
  core::Result<void> sent = co_await request.response->send(std::move(message));
  if (!sent) {
    co_return caller_left(refusal.kind);
  }
  co_return refusal;
}

/// A request that did not run may always come back. One that may have run may
/// only where a repeat does no harm.
void OutcomeFilter::set_retry_after(const RequestContext& request, Refused& refusal) {
  const bool may_repeat = refusal.kind == OutcomeKind::kNotRun || request.repeatable ||
                          request.caller.idempotency_key.has_value();
  if (!may_repeat) {
    refusal.error.retry_after.reset();
  } else if (!refusal.error.retry_after) {
    const double jitter = 0.5 + random_.fraction();
    refusal.error.retry_after = core::from_seconds(kUsualRetryAfterSeconds * jitter);
  }
}

void OutcomeFilter::count(const Outcome& outcome) {
  if (std::holds_alternative<Responded>(outcome)) {
    metrics_.completed.Increment();
  } else if (const auto* refused = std::get_if<Refused>(&outcome)) {
    (refused->kind == OutcomeKind::kNotRun ? metrics_.not_run : metrics_.unknown).Increment();
  } else {
    const bool caller_gone = std::get<Aborted>(outcome).caller_gone;
    (caller_gone ? metrics_.callers_gone : metrics_.aborted).Increment();
  }
}

}  // namespace stoneport::filters
