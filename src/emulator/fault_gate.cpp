#include "emulator/fault_gate.hpp"

#include <algorithm>

#include "emulator/http_answers.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::emulator {
namespace {

namespace asio = boost::asio;

constexpr core::Duration kHangPoll = std::chrono::milliseconds(20);
constexpr core::Duration kRefusalRetryAfter = std::chrono::milliseconds(500);

core::Error cut_by_switch() {
  return core::make_error(core::ErrorCode::kCancelled, "cut by a fault switch");
}

/// Refuses an answer when it begins, which is after the request took effect.
class LosingWriter : public http::ResponseWriter {
 public:
  asio::awaitable<core::Result<void>> start(http::ResponseHead,
                                            std::optional<std::uint64_t>) override {
    started_ = true;
    co_return cut_by_switch();
  }
  asio::awaitable<core::Result<void>> write(std::string_view) override {
    co_return cut_by_switch();
  }
  asio::awaitable<core::Result<void>> finish() override { co_return cut_by_switch(); }
  bool started() const override { return started_; }
  bool client_gone() const override { return false; }

 private:
  bool started_ = false;
};

/// Slows a response down and cuts it.
class FaultyWriter : public http::ResponseWriter {
 public:
  FaultyWriter(http::ResponseWriter& inner, ListenerFaults& faults)
      : inner_(inner), faults_(faults) {}

  asio::awaitable<core::Result<void>> start(http::ResponseHead head,
                                            std::optional<std::uint64_t> content_length) override {
    if (faults_.cut_bodies > 0) {
      --faults_.cut_bodies;
      const std::uint64_t last = content_length.value_or(faults_.cut_after_bytes + 1);
      bytes_left_ = std::min(faults_.cut_after_bytes, last > 0 ? last - 1 : 0);
    }
    co_return co_await inner_.start(std::move(head), content_length);
  }

  asio::awaitable<core::Result<void>> write(std::string_view piece) override {
    if (faults_.response_bytes_per_second > 0) {
      const double seconds = static_cast<double>(piece.size()) / faults_.response_bytes_per_second;
      co_await runtime::sleep_for(core::from_seconds(seconds));
    }
    if (!bytes_left_ || piece.size() <= *bytes_left_) {
      if (bytes_left_) {
        *bytes_left_ -= piece.size();
      }
      co_return co_await inner_.write(piece);
    }
    const std::string_view rest = piece.substr(0, *bytes_left_);
    bytes_left_ = 0;
    if (!rest.empty()) {
      co_await inner_.write(rest);
    }
    co_return cut_by_switch();
  }

  asio::awaitable<core::Result<void>> finish() override {
    if (bytes_left_) {
      co_return cut_by_switch();
    }
    co_return co_await inner_.finish();
  }

  bool started() const override { return inner_.started(); }
  bool client_gone() const override { return inner_.client_gone(); }

 private:
  http::ResponseWriter& inner_;
  ListenerFaults& faults_;
  std::optional<std::uint64_t> bytes_left_;
};

}  // namespace

asio::awaitable<void> FaultGate::handle(const http::RequestHead& request, http::BodySource& body,
                                        http::ResponseWriter& response) {
  const bool applies = http::path_of(request.target).starts_with(faults_.path_prefix);
  if (!applies) {
    co_await inner_.handle(request, body, response);
    co_return;
  }
  const Verdict verdict = co_await judge(request, response);
  if (verdict == Verdict::kPass) {
    FaultyWriter writer(response, faults_);
    co_await inner_.handle(request, body, writer);
  } else if (verdict == Verdict::kLoseAnswer) {
    LosingWriter writer;
    co_await inner_.handle(request, body, writer);
  }
}

asio::awaitable<FaultGate::Verdict> FaultGate::judge(const http::RequestHead& request,
                                                     http::ResponseWriter& response) {
  if (faults_.latency > core::Duration::zero()) {
    co_await runtime::sleep_for(faults_.latency);
  }
  if (faults_.hang) {
    while (faults_.hang && !response.client_gone()) {
      co_await runtime::sleep_for(kHangPoll);
    }
    co_return Verdict::kAnswered;
  }
  if (faults_.disconnect) {
    co_return Verdict::kAnswered;
  }
  if (faults_.refuse || faults_.refused_requests > 0) {
    faults_.refused_requests -= faults_.refused_requests > 0 ? 1 : 0;
    co_await refuse(core::ErrorCode::kUnavailable, kRefusalRetryAfter, response);
    co_return Verdict::kAnswered;
  }
  const auto wait = wait_by_rate_limit();
  if (wait) {
    co_await refuse(core::ErrorCode::kRateLimited, *wait, response);
    co_return Verdict::kAnswered;
  }
  const bool can_lose = request.method != "GET" || !faults_.only_writes_lose;
  if (faults_.lost_answers > 0 && can_lose) {
    --faults_.lost_answers;
    co_return Verdict::kLoseAnswer;
  }
  co_return Verdict::kPass;
}

std::optional<core::Duration> FaultGate::wait_by_rate_limit() {
  const double rate = faults_.requests_per_second;
  if (rate <= 0) {
    return std::nullopt;
  }
  const core::MonotonicTime now = clock_.now();
  if (!bucket_ || bucket_rate_ != rate) {
    bucket_.emplace(core::TokenBucketSettings{rate, rate}, now);
    bucket_rate_ = rate;
  }
  return bucket_->try_take(now, 0) ? std::nullopt : std::optional(bucket_->wait_for(now, 0));
}

asio::awaitable<void> FaultGate::refuse(core::ErrorCode code, core::Duration retry_after,
                                        http::ResponseWriter& response) {
  const core::Error error = core::make_error(code, "refused by a fault switch", retry_after);
  http::Response answer = error_answer(error);
  co_await http::respond(response, std::move(answer));
}

}  // namespace stoneport::emulator
