/// \file
/// Replicas in memory that make texts of a known form, with switches for what
/// replicas may do: cut, fall silent, run slow, refuse, fail, answer late orders.
/// Lives on one io_context.
#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "ports/replica_client.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::support {

class FakeReplicaClient : public ports::ReplicaClient {
 public:
  struct Replica {
    std::uint64_t version = 1;
    core::Duration event_gap = std::chrono::milliseconds(2);
    int cut_after = -1;       ///< events of one stream, then its connection breaks; -1 never
    bool silent = false;      ///< takes requests and never answers
    int refuse = 0;           ///< calls that it has not run
    int fail = 0;             ///< calls that it ran and failed
    bool impossible = false;  ///< says that requests can never be done
    bool gone = false;        ///< another one has the address
    bool ended = false;       ///< nothing listens at its address
    int lose_orders = 0;      ///< orders without an answer and without effect
    core::Duration first_event_time{};  ///< of a stream, instead of event_gap if it is longer
    core::Duration answer_time{};       ///< of a whole call that it runs
    int running_calls = 0;              ///< whole calls that it has now
    int answered_calls = 0;             ///< whole calls that it ran to their end, failed or not
    std::uint64_t order_count = 0;
    std::vector<std::uint64_t> orders;  ///< versions ordered
  };
  struct Start {
    std::string request;
    std::string replica;
    std::uint64_t resume_after = 0;
    std::chrono::steady_clock::time_point at = {};
  };
  struct Order {
    std::string replica;
    std::string holder;
    std::chrono::steady_clock::time_point at;
  };
  std::map<std::string, Replica> replicas;
  std::vector<Order> all_orders;  ///< in the order in which they came
  std::vector<Start> starts;
  std::vector<std::string> calls;             ///< replicas that got whole calls, in order
  std::vector<std::string> reports;           ///< replicas that were asked for theirs, in order
  std::uint64_t text_length = 5;              ///< events of a whole text
  std::map<std::string, int> running;         ///< streams now, by request
  int most_running_at_once = 0;               ///< of one request, ever
  std::map<std::string, std::string> bodies;  ///< by request id

  /// \return the data of event \p number of the text of \p request.
  static std::string event_data(const std::string& request, std::uint64_t number) {
    return request + "-" + std::to_string(number);
  }
  std::string whole_text(const std::string& request) const {
    std::string text;
    for (std::uint64_t number = 1; number <= text_length; ++number) {
      text += (number > 1 ? "\n" : "") + event_data(request, number);
    }
    return text;
  }

  /// \return the most texts that were begun at \p replica in any second.
  std::size_t most_starts_in_a_second(const std::string& replica) const {
    std::size_t most = 0;
    for (const Start& first : starts) {
      const auto counts = [&](const Start& start) {
        return start.replica == replica && start.at >= first.at &&
               start.at <= first.at + std::chrono::seconds(1);
      };
      most = std::max(
          most, static_cast<std::size_t>(std::count_if(starts.begin(), starts.end(), counts)));
    }
    return most;
  }

  boost::asio::awaitable<ports::CallResult<ports::ReplicaAnswer>> call(
      ports::ReplicaTarget target, ports::ReplicaCall call) override {
    const RunningCall running_call(replicas[target.id.value()]);
    calls.push_back(target.id.value());
    const std::optional<ports::CallFailure> failure = co_await meet(target, call);
    if (failure) {
      co_return *failure;
    }
    const std::optional<ports::CallFailure> lateness =
        co_await take_time(replicas[target.id.value()].answer_time, call);
    if (lateness) {
      co_return *lateness;
    }
    ++replicas[target.id.value()].answered_calls;
    ports::ReplicaAnswer answer;
    answer.response.head.status = take(replicas[target.id.value()].fail) ? 500 : 200;
    answer.signature = "signed-" + call.request_id;
    answer.response.body = "answer to " + call.request_id;
    co_return answer;
  }

  boost::asio::awaitable<ports::CallResult<ports::StreamAnswer>> open_stream(
      ports::ReplicaTarget target, ports::ReplicaCall call) override {
    starts.push_back({call.request_id, target.id.value(), call.resume_after.value_or(0),
                      std::chrono::steady_clock::now()});
    const std::optional<ports::CallFailure> failure = co_await meet(target, call);
    if (failure) {
      co_return *failure;
    }
    Replica& replica = replicas[target.id.value()];
    ports::StreamAnswer answer;
    const bool fails = take(replica.fail);
    if (fails || replica.impossible) {
      answer.rejection.emplace();
      answer.rejection->response.head.status = fails ? 500 : 422;
      co_return answer;
    }
    answer.stream = std::make_unique<Stream>(*this, target.id.value(), call.request_id,
                                             call.resume_after.value_or(0));
    co_return answer;
  }

  boost::asio::awaitable<core::Result<ports::ReplicaReport>> report(
      ports::ReplicaTarget target) override {
    reports.push_back(target.id.value());
    co_await runtime::sleep_for(std::chrono::milliseconds(1));
    const Replica& replica = replicas[target.id.value()];
    ports::ReplicaReport report;
    report.order_count = replica.order_count;
    report.versions[core::ModelName("model")] = core::WeightVersion(replica.version);
    co_return report;
  }

  boost::asio::awaitable<ports::OrderOutcome> order(ports::ReplicaTarget target,
                                                    ports::WeightOrder order) override {
    co_await runtime::sleep_for(std::chrono::milliseconds(1));
    Replica& replica = replicas[target.id.value()];
    all_orders.push_back({target.id.value(), order.holder, std::chrono::steady_clock::now()});
    if (take(replica.lose_orders)) {
      co_return ports::OrderOutcome::kNoAnswer;
    }
    if (order.expected_order_count != replica.order_count) {
      co_return ports::OrderOutcome::kConflict;
    }
    ++replica.order_count;
    replica.orders.push_back(order.version.value());
    replica.version = order.version.value();
    co_return ports::OrderOutcome::kAccepted;
  }

  boost::asio::awaitable<bool> refuses_connections(ports::ReplicaTarget target) override {
    co_await runtime::sleep_for(std::chrono::milliseconds(1));
    co_return replicas[target.id.value()].ended;
  }

  void forget(const core::Address& address) override { (void)address; }
  bool keeps_connection(const core::Address& address) const override {
    (void)address;
    return false;
  }

 private:
  /// As the client over the network does, calls and streams that were cut end with a failure.
  static bool is_cut(const boost::asio::cancellation_state& state) {
    return state.cancelled() != boost::asio::cancellation_type::none;
  }

  class Stream : public ports::TokenStream {
   public:
    Stream(FakeReplicaClient& owner, std::string replica, std::string request, std::uint64_t made)
        : owner_(owner),
          replica_(std::move(replica)),
          request_(std::move(request)),
          made_(made),
          version_(owner.replicas[replica_].version) {
      const int now = ++owner_.running[request_];
      owner_.most_running_at_once = std::max(owner_.most_running_at_once, now);
    }
    ~Stream() override { --owner_.running[request_]; }
    const http::ResponseHead& head() const override { return head_; }
    std::optional<core::WeightVersion> version() const override {
      return core::WeightVersion(version_);
    }
    boost::asio::awaitable<core::Result<std::optional<ports::TokenEvent>>> next() override {
      const Replica& replica = owner_.replicas[replica_];
      const core::Duration before = sent_ == 0 ? replica.first_event_time : core::Duration(0);
      co_await runtime::sleep_for(std::max(replica.event_gap, before));
      while (replica.silent && !is_cut(co_await boost::asio::this_coro::cancellation_state)) {
        co_await runtime::sleep_for(std::chrono::milliseconds(5));
      }
      if (is_cut(co_await boost::asio::this_coro::cancellation_state)) {
        co_return core::make_error(core::ErrorCode::kCancelled, "the stream was cut");
      }
      if (replica.cut_after >= 0 && sent_ >= replica.cut_after) {
        co_return core::make_error(core::ErrorCode::kTruncated, "cut");
      }
      if (made_ >= owner_.text_length) {
        co_return std::optional<ports::TokenEvent>();
      }
      ++sent_;
      ports::TokenEvent event;
      event.number = ++made_;
      event.data = event_data(request_, made_);
      event.wire_text = "id: " + std::to_string(made_) + "\ndata: " + event.data + "\n\n";
      if (replica.version != version_) {
        version_ = replica.version;
        event.version = core::WeightVersion(version_);
      }
      co_return std::optional<ports::TokenEvent>(std::move(event));
    }
    bool can_detect_truncation() const override { return true; }
    void cancel() override {}

   private:
    FakeReplicaClient& owner_;
    std::string replica_;
    std::string request_;
    std::uint64_t made_;
    std::uint64_t version_;
    int sent_ = 0;
    http::ResponseHead head_;
  };

  /// Counts a whole call while it lives.
  class RunningCall {
   public:
    explicit RunningCall(Replica& replica) : replica_(replica) { ++replica_.running_calls; }
    ~RunningCall() { --replica_.running_calls; }
    RunningCall(const RunningCall&) = delete;
    RunningCall& operator=(const RunningCall&) = delete;

   private:
    Replica& replica_;
  };

  /// \return a failure when \p call is out of time before its answer is due, or is cut.
  static boost::asio::awaitable<std::optional<ports::CallFailure>> take_time(
      core::Duration answer_time, const ports::ReplicaCall& call) {
    if (answer_time > core::Duration(0)) {
      co_await runtime::sleep_for(std::min(answer_time, call.time_left));
    }
    const bool was_cut = is_cut(co_await boost::asio::this_coro::cancellation_state);
    if (!was_cut && answer_time <= call.time_left) {
      co_return std::nullopt;
    }
    ports::CallFailure failure;
    failure.reason = was_cut ? "cut" : "no answer in time";
    failure.unreachable = !was_cut;
    co_return failure;
  }

  static bool take(int& left) {
    if (left <= 0) {
      return false;
    }
    --left;
    return true;
  }

  /// What a call meets before a replica works on it.
  boost::asio::awaitable<std::optional<ports::CallFailure>> meet(ports::ReplicaTarget target,
                                                                 ports::ReplicaCall call) {
    bodies[call.request_id] = call.body.text();
    co_await runtime::sleep_for(std::chrono::milliseconds(1));
    Replica& replica = replicas[target.id.value()];
    ports::CallFailure failure;
    failure.reason = "as the test wants it";
    if (replica.silent) {
      co_await runtime::sleep_for(call.time_left);
      failure.unreachable = true;
      co_return failure;
    }
    if (replica.gone) {
      failure.kind = ports::CallFailureKind::kGone;
      co_return failure;
    }
    if (take(replica.refuse)) {
      failure.kind = ports::CallFailureKind::kNotRun;
      co_return failure;
    }
    co_return std::nullopt;
  }
};

}  // namespace stoneport::support
