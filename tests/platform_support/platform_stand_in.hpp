/// \file
/// The users' platform as the project's own stand-in: a store of rows, replicas and
/// an operator, on one event loop, and real processes of the daemon beside it. Each
/// process reaches the store through a relay of its own, which tests cut and stall.
#pragma once

#include <future>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "emulator/relay.hpp"
#include "http/router.hpp"
#include "platform_support/stand_in_cloud.hpp"
#include "platform_support/stand_in_replica.hpp"
#include "runtime/event_loop_thread.hpp"
#include "support/child_process.hpp"
#include "support/fake_record_store.hpp"
#include "support/http_caller.hpp"
#include "support/loopback_range.hpp"

namespace stoneport::tests {

struct StoreSwitches {
  bool refuse = false;   ///< 503: nothing is done
  bool silent = false;   ///< takes calls, does nothing, answers nothing
  int lose_answers = 0;  ///< transactions that are done and not answered
  core::Duration delay{};
};

/// The store's calls over HTTP.
class StandInStore : public http::RequestHandler {
 public:
  StandInStore(boost::asio::any_io_executor executor, core::Metrics& metrics);
  core::Result<void> listen(const core::Address& address) { return server_.listen(address); }
  boost::asio::awaitable<void> handle(const http::RequestHead& request, http::BodySource& body,
                                      http::ResponseWriter& response) override;
  /// Writes a row as the operator or a replica does; no value removes it.
  void put(const std::string& table, const std::string& key, std::optional<std::string> value);
  support::FakeRecordStore& rows() { return rows_; }

  StoreSwitches switches;

 private:
  boost::asio::awaitable<http::Response> transact(const std::string& body);
  boost::asio::awaitable<http::Response> read(const std::string& target);
  boost::asio::awaitable<http::Response> feed(const std::string& target);

  support::FakeRecordStore rows_;
  http::Server server_;
};

/// The way of one process to the store, which may turn that process away alone.
class StoreDoor : public http::RequestHandler {
 public:
  StoreDoor(boost::asio::any_io_executor executor, StandInStore& store, core::Metrics& metrics)
      : store_(store), server_(executor, "store door", http::ServerLimits(), *this, metrics) {}
  core::Result<void> listen(const core::Address& address) { return server_.listen(address); }
  boost::asio::awaitable<void> handle(const http::RequestHead& request, http::BodySource& body,
                                      http::ResponseWriter& response) override;

  unsigned refusal = 0;  ///< status of every answer, 503 or 429; 0 when it serves

 private:
  StandInStore& store_;
  http::Server server_;
};

class PlatformStandIn {
 public:
  /// How long the replicas are cold that come back, and what they bear then, by the
  /// configuration; and how far it may be exceeded, by the settings.
  static constexpr std::chrono::seconds kColdStart{3};
  static constexpr double kColdPerSecond = 4;
  static constexpr double kColdOverage = 1.5;
  static constexpr double kColdSlack = 5;
  /// An evacuation is in force this long after it was written.
  static constexpr std::chrono::milliseconds kEvacuation{5000};

  struct Options {
    std::size_t processes = 3;
    std::size_t models = 3;
    std::size_t plain = 2;
    /// Keys by tenant; without any, requests need no key.
    std::map<std::string, std::vector<std::string>> tenants = {};
    /// Processes and replicas are spread over "zone-a" and so on in turn.
    std::size_t zones = 1;
    /// A pause of a process is a suspension of its machine: its steady clock stands still.
    bool suspends = false;
    std::uint64_t memory_mb = 0;  ///< of a machine, as its settings state it; 0: they do not
  };
  /// Starts everything and waits until all processes are ready.
  PlatformStandIn();
  explicit PlatformStandIn(Options options);
  ~PlatformStandIn();

  /// Runs \p action on the event loop and waits for it.
  template <class Action>
  auto on_loop(Action action) {
    // Asio would take a bare packaged_task for a completion token of its own kind.
    const auto task = std::make_shared<std::packaged_task<decltype(action())()>>(std::move(action));
    auto result = task->get_future();
    boost::asio::post(loop_.executor(), [task] { (*task)(); });
    return result.get();
  }

  core::Address front(std::size_t process) const { return address(process, 0); }
  core::Address ready(std::size_t process) const { return address(process, 1); }
  core::Address directory(std::size_t process) const { return address(process, 2); }
  core::Address metrics_page(std::size_t process) const;
  void start(std::size_t process);
  void send_signal(std::size_t process, int signal_number);
  /// Kills the process and waits for its end.
  void kill(std::size_t process);
  int wait(std::size_t process) { return processes_[process]->wait(); }
  bool running(std::size_t process) { return processes_[process]->running(); }
  std::uint64_t peak_memory(std::size_t process) const {
    return processes_[process]->peak_memory();
  }
  bool is_ready(std::size_t process);
  void wait_until_ready(std::size_t process);
  /// \return the process that holds the coordinator's term; nothing when none does.
  std::optional<std::size_t> coordinator();
  void set_link(std::size_t process, const emulator::RelaySwitches& switches);
  /// The store answers that process with \p status and does nothing; 0 ends it.
  void refuse_at_store(std::size_t process, unsigned status);

  /// Puts a configuration: routes "/safe/", "/once/", "/stream/", "/resume/",
  /// "/jobs/" and "/score/" of host "users.example", and \p more.
  void configure(std::uint64_t version, const nlohmann::json& more = nlohmann::json::array());
  /// Puts a configuration in which \p tenants hold those keys.
  void configure_tenants(std::uint64_t version,
                         std::map<std::string, std::vector<std::string>> tenants);
  /// Requests and calls for jobs carry this key from now on; none when it is empty.
  void use_key(std::string key) { key_ = std::move(key); }
  StandInCloud& cloud() { return *cloud_; }
  void name_version(std::uint64_t version);
  StandInStore& store() { return *store_; }
  StandInReplica& replica(const std::string& id) { return *replicas_.at(id); }
  std::vector<std::string> replica_ids() const;
  StandInReplica::Ledger ledger();
  StandInReplica::Arrivals arrivals();
  /// \return the ends of all replicas under crashing requests, in order of time.
  std::vector<ReplicaCrash> crashes();
  std::string zone_name(std::size_t index) const;
  /// Wants the replicas of \p zone to get nothing more, or takes that back.
  void evacuate(const std::string& zone, bool is_wanted);
  /// Ends the replicas of \p zone, or has them back, cold.
  void set_zone_down(const std::string& zone, bool is_down);

  /// One request of a client.
  HttpAnswer request(std::size_t process, const std::string& method, const std::string& target,
                     const std::string& id, const std::string& body = "",
                     const http::HeaderMap& more = {});
  /// \return the body of a job with \p items items.
  static std::string job_body(const std::string& job, std::size_t items,
                              std::uint64_t oldest_version = 1);
  static std::string item_id(const std::string& job, std::size_t index);
  HttpAnswer submit(std::size_t process, const std::string& job, std::size_t items);
  HttpAnswer read(std::size_t process, const std::string& job, std::uint64_t from);
  HttpAnswer end(std::size_t process, const std::string& job);
  /// \return whether all \p items of \p job were listed within \p limit.
  bool wait_whole(std::size_t process, const std::string& job, std::size_t items,
                  core::Duration limit = std::chrono::seconds(20));

  HttpCaller& http() { return http_; }
  const std::string& folder() const { return folder_; }

 private:
  core::Address address(std::size_t process, std::uint16_t offset) const;
  void add_replica(const std::string& id, const std::string& service, bool is_model);
  void write_settings(std::size_t process) const;
  static boost::asio::awaitable<void> beat(PlatformStandIn* self);

  Options options_;
  LoopbackRange range_;  ///< addresses of everything in this stand-in
  std::string folder_;
  core::Metrics metrics_;
  runtime::EventLoopThread loop_{"stand-in"};
  std::unique_ptr<StandInStore> store_;
  std::unique_ptr<StandInCloud> cloud_;
  std::string key_;
  std::map<std::string, std::unique_ptr<StandInReplica>> replicas_;
  std::vector<std::unique_ptr<StoreDoor>> doors_;  ///< one a process
  std::vector<std::unique_ptr<emulator::Relay>> relays_;
  StandInReplica::Ledger ledger_;
  StandInReplica::Arrivals arrivals_;
  std::vector<std::unique_ptr<ChildProcess>> processes_;
  HttpCaller http_;
  bool stopped_ = false;
};

}  // namespace stoneport::tests
