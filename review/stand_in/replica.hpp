/// \file
/// One replica of a service as a stand-in: whole answers within its slots, reports and health. A
/// test may take over single requests, byte by byte. Thread-safe.
#pragma once

#include <condition_variable>
#include <nlohmann/json.hpp>

#include "http.hpp"

namespace review {

struct ReplicaOptions {
  std::string id;
  std::string service;
  Address address;
  std::string zone;
  std::size_t slots = 6;
  std::size_t queue = 4;  ///< requests that wait for a slot; beyond them it answers 503
};

class Replica {
 public:
  using Headers = std::vector<std::pair<std::string, std::string>>;
  /// Takes over the request whose head was read. \return whether it did; the connection is closed
  /// afterwards unless \p keep is set.
  using Takeover = std::function<bool(Connection&, const Message& head, bool& keep)>;

  Replica(ReplicaOptions options, Record& record, std::function<Milliseconds()> work)
      : options_(std::move(options)),
        record_(record),
        work_(std::move(work)),
        server_(options_.address, [this](Connection& connection) { serve(connection); }) {}
  ~Replica() { stop(); }

  void stop() {
    {
      const std::lock_guard lock(mutex_);
      stopped_ = true;
    }
    changed_.notify_all();
    server_.stop();
  }
  void take_over(Takeover takeover) { takeover_ = std::move(takeover); }
  const ReplicaOptions& options() const { return options_; }

  /// Its row in the store.
  std::string row() const {
    return nlohmann::json({{"service", options_.service},
                           {"address", options_.address.text()},
                           {"zone", options_.zone},
                           {"version", "v1"},
                           {"slots", options_.slots},
                           {"state", "ready"},
                           {"coldRemainingMs", 0},
                           {"sequence", 0}})
        .dump();
  }
  /// \return the headers that each of its answers to \p request carries.
  Headers answer_headers(const Message& request) const {
    const std::string id = request.header("Request-Id");
    return {{"Request-Id", id}, {"Response-Stamp", "stamp-" + options_.id + "-" + id}};
  }
  /// Called with the id of a request when the replica begins to work on it.
  std::function<void(const std::string& request_id)> on_run;
  /// Called with the id of a request when its whole answer was handed to the connection.
  std::function<void(const std::string& request_id)> on_answered;

 private:
  void serve(Connection& connection) {
    bool keep = true;
    while (keep && !server_.stopped()) {
      Message request;
      const auto until = Clock::now() + std::chrono::minutes(10);
      if (connection.read_head(request, until) != End::kComplete) {
        return;
      }
      const std::string path = request.target().substr(0, request.target().find('?'));
      if (path.starts_with("/-/") || path == "/health") {
        keep = connection.read_body(request, until) == End::kComplete &&
               connection.write(own_answer(path));
        continue;
      }
      const std::string expected = request.header("Expect-Instance");
      if (!expected.empty() && expected != options_.id) {
        keep = connection.read_body(request, until) == End::kComplete &&
               connection.write(response_text(421, "", {{"Replica-Id", options_.id}}));
        continue;
      }
      bool kept_by_takeover = false;
      if (takeover_ && takeover_(connection, request, kept_by_takeover)) {
        keep = kept_by_takeover;
        continue;
      }
      if (connection.read_body(request, until) != End::kComplete) {
        return;
      }
      keep = run(connection, request);
    }
  }
  std::string own_answer(const std::string& path) const {
    if (path == "/-/report") {
      return response_text(200, R"({"models":[],"busy":false,"sequence":0})", {});
    }
    return response_text(path == "/health" ? 200 : 404, "", {{"Replica-Id", options_.id}});
  }
  /// Works on the request once a slot is free. \return whether the connection can be kept.
  bool run(Connection& connection, const Message& request) {
    const std::string id = request.header("Request-Id");
    {
      std::unique_lock lock(mutex_);
      if (running_ + waiting_ >= options_.slots + options_.queue) {
        lock.unlock();
        record_.line("replica " + options_.id + " is full: " + id + " not run");
        return connection.write(response_text(503, "", {{"Request-Id", id}, {"Not-Run", "1"}}));
      }
      ++waiting_;
      changed_.wait(lock, [this] { return running_ < options_.slots || stopped_; });
      --waiting_;
      ++running_;
    }
    record_.line("replica " + options_.id + " runs " + id);
    if (on_run) {
      on_run(id);
    }
    // It drops a request whose connection closes.
    const bool is_dropped = connection.wait(Clock::now() + work_()) == End::kComplete;
    {
      const std::lock_guard lock(mutex_);
      --running_;
    }
    changed_.notify_all();
    if (is_dropped) {
      record_.line("replica " + options_.id + " drops " + id + ": its connection closed");
      return false;
    }
    const bool is_written =
        connection.write(response_text(200, "answer to " + id, answer_headers(request)));
    if (is_written && on_answered) {
      on_answered(id);
    }
    return is_written;
  }

  ReplicaOptions options_;
  Record& record_;
  std::function<Milliseconds()> work_;
  Takeover takeover_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::size_t running_ = 0;
  std::size_t waiting_ = 0;
  bool stopped_ = false;
  Server server_;
};

}  // namespace review
