/// \file
/// One replica of a model as a stand-in: token streams that may be resumed, reports, and crashes
/// after which it starts again as a new incarnation. Thread-safe.
#pragma once

#include <nlohmann/json.hpp>

#include "http.hpp"
#include "store.hpp"

namespace review {

inline constexpr const char* kModel = "daka510000";

struct ModelReplicaOptions {
  std::string name;
  std::string service;
  Address address;
  std::string zone;
  std::size_t slots = 8;
  std::uint64_t events = 40;  ///< of each text
  Milliseconds event_gap{30};
};

/// What the replicas of one test have worked on.
class RunLedger {
 public:
  void begin(const std::string& item) {
    const std::lock_guard lock(mutex_);
    ++running_[item];
    ++starts_;
    last_seen_[item] = Clock::now();
  }
  void end(const std::string& item) {
    const std::lock_guard lock(mutex_);
    --running_[item];
    last_seen_[item] = Clock::now();
  }
  void finish(const std::string& item) {
    const std::lock_guard lock(mutex_);
    finished_.insert(item);
  }
  bool is_finished(const std::string& item) const {
    const std::lock_guard lock(mutex_);
    return finished_.contains(item);
  }
  /// \return how long no replica has had \p item since \p steady_since; nothing if none ever had
  /// it.
  std::optional<Milliseconds> time_at_no_replica(const std::string& item,
                                                 Clock::time_point steady_since) const {
    const std::lock_guard lock(mutex_);
    const auto seen = last_seen_.find(item);
    if (seen == last_seen_.end()) {
      return std::nullopt;
    }
    const bool is_running = running_.at(item) > 0;
    const Clock::time_point since = std::max(seen->second, steady_since);
    return is_running ? Milliseconds(0)
                      : std::chrono::duration_cast<Milliseconds>(Clock::now() - since);
  }
  /// \return how many texts run now.
  std::size_t running() const {
    const std::lock_guard lock(mutex_);
    std::size_t count = 0;
    for (const auto& [item, runs] : running_) {
      count += static_cast<std::size_t>(runs);
    }
    return count;
  }

 private:
  mutable std::mutex mutex_;
  std::map<std::string, int> running_;
  std::map<std::string, Clock::time_point> last_seen_;
  std::set<std::string> finished_;
  std::size_t starts_ = 0;
};

class ModelReplica {
 public:
  ModelReplica(ModelReplicaOptions options, Store& store, RunLedger& ledger, Record& record)
      : options_(std::move(options)), store_(store), ledger_(ledger), record_(record) {
    start();
  }
  ~ModelReplica() {
    if (server_) {
      server_->stop();
    }
  }

  /// Ends the replica with all its connections. Its row stays, as a crashing replica says nothing.
  void crash() {
    record_.line("replica " + id_ + " crashes");
    server_->stop();
    server_.reset();
    ended_.push_back({id_, Clock::now()});
  }
  /// Starts it again as a new incarnation with a new id.
  void start() {
    id_ = "i-" + options_.name + "-" + std::to_string(++lives_);
    server_ = std::make_unique<Server>(options_.address,
                                       [this](Connection& connection) { serve(connection); });
    store_.put("servers", id_, row());
    record_.line("replica " + id_ + " starts");
  }
  /// Removes the rows of lives that have been silent for three heartbeats.
  void drop_lapsed(Milliseconds heartbeat) {
    std::erase_if(ended_, [&](const std::pair<std::string, Clock::time_point>& life) {
      const bool has_lapsed = Clock::now() - life.second >= 3 * heartbeat;
      if (has_lapsed) {
        store_.put("servers", life.first, std::nullopt);
      }
      return has_lapsed;
    });
  }
  static std::string event_data(const std::string& item, std::uint64_t number) {
    return item + "." + std::to_string(number);
  }

 private:
  std::string row() const {
    return nlohmann::json(
               {{"service", options_.service},
                {"address", options_.address.text()},
                {"zone", options_.zone},
                {"version", "v1"},
                {"slots", options_.slots},
                {"state", "ready"},
                {"coldRemainingMs", 0},
                {"stage", "both"},
                {"models",
                 nlohmann::json::array(
                     {{{"name", kModel}, {"version", 1}, {"adapters", nlohmann::json::array()}}})},
                {"sequence", 0}})
        .dump();
  }
  void serve(Connection& connection) {
    const std::string id = id_;
    while (true) {
      Message request;
      const End end = connection.read_message(request, Clock::now() + std::chrono::minutes(10));
      if (end != End::kComplete) {
        return;
      }
      const std::string path = request.target().substr(0, request.target().find('?'));
      const std::string expected = request.header("Expect-Instance");
      bool keep = false;
      if (!expected.empty() && expected != id) {
        keep = connection.write(response_text(421, "", {{"Replica-Id", id}}));
      } else if (path == "/-/report") {
        const nlohmann::json report = {
            {"stage", "both"},
            {"models", nlohmann::json::array({{{"name", kModel}, {"version", 1}}})},
            {"busy", false},
            {"sequence", 0}};
        keep = connection.write(
            response_text(200, report.dump(), {{"Content-Type", "application/json"}}));
      } else if (path == "/health") {
        keep = connection.write(response_text(200, "", {{"Replica-Id", id}}));
      } else {
        keep = run(connection, request, id);
      }
      if (!keep) {
        return;
      }
    }
  }
  /// Writes the events of a text. \return whether the connection can be kept.
  bool run(Connection& connection, const Message& request, const std::string& id) {
    const std::string item = request.header("Request-Id");
    const std::uint64_t after = std::strtoull(request.header("Last-Event-Id").c_str(), nullptr, 10);
    record_.line("replica " + id + " runs " + item + " from event " + std::to_string(after + 1));
    ledger_.begin(item);
    bool is_written = connection.write(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: " + item +
        "\r\nResponse-Stamp: stamp-" + item +
        "\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (std::uint64_t number = after + 1; is_written && number <= options_.events; ++number) {
      // A closed connection ends the run.
      if (connection.wait(Clock::now() + options_.event_gap) == End::kComplete) {
        is_written = false;
        break;
      }
      const std::string event =
          "id: " + std::to_string(number) + "\ndata: " + event_data(item, number) + "\n\n";
      char size[24];
      std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
      is_written = connection.write(size + event + "\r\n");
    }
    is_written = is_written && connection.write("0\r\n\r\n");
    if (is_written) {
      ledger_.finish(item);
    }
    ledger_.end(item);
    record_.line("replica " + id + (is_written ? " has finished " : " has dropped ") + item);
    return is_written;
  }

  ModelReplicaOptions options_;
  Store& store_;
  RunLedger& ledger_;
  Record& record_;
  std::string id_;
  std::size_t lives_ = 0;
  std::unique_ptr<Server> server_;
  std::vector<std::pair<std::string, Clock::time_point>> ended_;
};

}  // namespace review
