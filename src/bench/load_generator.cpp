#include "bench/load_generator.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <thread>

#include "bench/answer_check.hpp"
#include "core/metrics.hpp"
#include "http/client.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::bench {

namespace {

using boost::asio::awaitable;

constexpr unsigned kStatusOk = 200;
constexpr std::size_t kMostExamples = 10;

/// One slice of one thread's part: where it goes and how much of it there is.
struct Slice {
  bool direct = false;
  std::uint64_t count = 0;
};

LoadOutcome outcome_of(const http::ResponseHead& head, bool direct, LoadResult& result) {
  if (direct) {
    return LoadOutcome::kCompleted;
  }
  const auto header = head.headers.find("Stoneport-Outcome");
  if (header == "completed") {
    return LoadOutcome::kCompleted;
  }
  if (header == "not-run") {
    return LoadOutcome::kNotRun;
  }
  if (header != "unknown") {
    ++result.outcome_missing;
  }
  return LoadOutcome::kUnknown;
}

/// Runs one thread's slices, one after another, on its own io_context.
class LoadThread {
 public:
  LoadThread(const LoadSettings& settings, std::uint32_t index)
      : settings_(settings),
        plan_(settings.mix, settings.id_prefix + "-" + std::to_string(index),
              settings.seed * 1000 + index),
        client_(context_.get_executor(), "load", metrics_) {}

  /// \return what the slice counted.
  LoadResult run(const Slice& slice) {
    result_ = LoadResult{};
    slice_ = slice;
    started_ = 0;
    ended_ = 0;
    const std::uint32_t workers =
        std::max<std::uint32_t>(1, settings_.concurrency / settings_.threads);
    slice_start_ = time_.now();
    context_.restart();
    for (std::uint32_t worker = 0; worker < workers; ++worker) {
      boost::asio::co_spawn(context_, work(), boost::asio::detached);
    }
    while (running_workers() && context_.run_one() > 0) {
    }
    result_.seconds = core::to_seconds(time_.now() - slice_start_);
    return std::move(result_);
  }

 private:
  bool running_workers() const { return ended_ < slice_.count; }

  awaitable<void> work() {
    while (started_ < slice_.count) {
      const std::uint64_t number = started_++;
      co_await wait_for_turn(number);
      const LoadRequest request = plan_.next();
      co_await send(request, number);
      ++ended_;
    }
  }

  awaitable<void> wait_for_turn(std::uint64_t number) {
    if (settings_.requests_per_second <= 0) {
      co_return;
    }
    const double rate = settings_.requests_per_second / settings_.threads;
    const core::MonotonicTime planned =
        slice_start_ + core::from_seconds(static_cast<double>(number) / rate);
    const core::Duration ahead = planned - time_.now();
    if (ahead > core::Duration::zero()) {
      co_await runtime::sleep_for(ahead);
    }
    const core::Duration late = time_.now() - planned;
    result_.late_start_ms.add(core::to_seconds(late) * 1000);
  }

  awaitable<void> send(const LoadRequest& request, std::uint64_t number) {
    http::Request message = make_message(request);
    const core::Address target =
        slice_.direct ? *settings_.direct : settings_.targets[number % settings_.targets.size()];
    const core::MonotonicTime sent_at = time_.now();
    http::SendOptions options;
    options.deadline = sent_at + settings_.deadline;
    options.fresh_connection = false;
    ++result_.sent;
    const auto answer = co_await client_.fetch(target, std::move(message), options);
    if (!answer) {
      count_client_error(request, answer.error());
      co_return;
    }
    count_answer(request, *answer, time_.now() - sent_at);
  }

  http::Request make_message(const LoadRequest& request) const {
    http::Request message;
    const bool top_up = request.kind == LoadKind::kTopUp;
    const std::string& service = top_up ? settings_.top_up_service : settings_.lookup_service;
    message.head.method = request.kind == LoadKind::kLookup ? "GET" : "POST";
    message.head.target = slice_.direct ? request.path : "/services/" + service + request.path;
    message.head.headers.set("X-Request-Id", request.request_id);
    message.head.headers.set("Stoneport-Tenant", settings_.tenant);
    if (top_up) {
      message.head.headers.set("Idempotency-Key", request.idempotency_key);
    }
    if (!request.body.empty()) {
      const bool echo = request.kind == LoadKind::kEcho;
      message.head.headers.set("Content-Type",
                               echo ? "application/octet-stream" : "application/json");
      message.body = request.body;
    }
    return message;
  }

  void count_client_error(const LoadRequest& request, const http::ClientError& error) {
    const bool sent = error.progress == http::RequestProgress::kMaybeSent;
    ++result_.by_client_error[std::string(core::to_string(error.error.code))];
    count_outcome(request, sent ? LoadOutcome::kUnknown : LoadOutcome::kNotRun);
  }

  void count_answer(const LoadRequest& request, const http::Response& answer,
                    core::Duration latency) {
    ++result_.by_status[answer.head.status];
    const LoadOutcome outcome = outcome_of(answer.head, slice_.direct, result_);
    count_outcome(request, outcome);
    if (outcome != LoadOutcome::kCompleted) {
      return;
    }
    result_.latency_ms.add(core::to_seconds(latency) * 1000);
    if (answer.head.status == kStatusOk) {
      check_body(request, answer.body);
    }
  }

  void check_body(const LoadRequest& request, const std::string& body) {
    const std::string difference = describe_wrong_answer(request, body);
    if (difference.empty()) {
      return;
    }
    ++result_.wrong_answers;
    if (result_.wrong_answer_examples.size() < kMostExamples) {
      result_.wrong_answer_examples.push_back(request.request_id + ": " + difference);
    }
  }

  void count_outcome(const LoadRequest& request, LoadOutcome outcome) {
    const bool listed = request.kind == LoadKind::kTopUp && !slice_.direct;
    NonRepeatableIds& ids = result_.non_repeatable;
    if (outcome == LoadOutcome::kCompleted) {
      ++result_.completed;
    } else if (outcome == LoadOutcome::kNotRun) {
      ++result_.not_run;
    } else {
      ++result_.unknown;
    }
    if (!listed) {
      return;
    }
    if (outcome == LoadOutcome::kCompleted) {
      ids.completed.push_back(request.idempotency_key);
    } else if (outcome == LoadOutcome::kNotRun) {
      ids.not_run.push_back(request.idempotency_key);
    } else {
      ids.unknown.push_back(request.idempotency_key);
    }
  }

  const LoadSettings& settings_;
  LoadPlan plan_;
  core::SystemTimeSource time_;
  core::Metrics metrics_;
  boost::asio::io_context context_{1};
  http::Client client_;
  Slice slice_;
  LoadResult result_;
  core::MonotonicTime slice_start_{};
  std::uint64_t started_ = 0;
  std::uint64_t ended_ = 0;
};

std::uint64_t part(std::uint64_t total, std::uint64_t parts, std::uint64_t index) {
  return total * (index + 1) / parts - total * index / parts;
}

/// Runs one slice on every thread at once and adds up the counts.
LoadResult run_slice(std::vector<std::unique_ptr<LoadThread>>& threads, bool direct,
                     std::uint64_t count) {
  std::vector<LoadResult> parts(threads.size());
  std::vector<std::thread> runners;
  for (std::size_t index = 0; index < threads.size(); ++index) {
    const Slice slice{direct, part(count, threads.size(), index)};
    runners.emplace_back(
        [&parts, &threads, index, slice] { parts[index] = threads[index]->run(slice); });
  }
  LoadResult total;
  for (std::size_t index = 0; index < threads.size(); ++index) {
    runners[index].join();
    total.add(parts[index]);
    total.seconds = std::max(total.seconds, parts[index].seconds);
  }
  return total;
}

void add_slice(LoadResult& total, const LoadResult& slice) {
  total.add(slice);
  total.seconds += slice.seconds;
}

}  // namespace

LoadReport run_load(const LoadSettings& settings) {
  std::vector<std::unique_ptr<LoadThread>> threads;
  for (std::uint32_t index = 0; index < settings.threads; ++index) {
    threads.push_back(std::make_unique<LoadThread>(settings, index));
  }
  const std::uint32_t slices = settings.direct ? settings.slices : 1;
  LoadReport report;
  for (std::uint32_t slice = 0; slice < slices; ++slice) {
    const std::uint64_t count = part(settings.count, slices, slice);
    if (settings.direct) {
      add_slice(report.direct, run_slice(threads, true, count));
    }
    add_slice(report.through, run_slice(threads, false, count));
  }
  return report;
}

}  // namespace stoneport::bench
