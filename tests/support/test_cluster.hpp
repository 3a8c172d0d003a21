/// \file
/// One emulator and several daemons as real processes, for system tests. Every
/// cluster has loopback addresses of its own, so that two do not meet.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "support/child_process.hpp"
#include "support/http_caller.hpp"
#include "support/loopback_range.hpp"

namespace stoneport::tests {

struct ClusterOptions {
  std::size_t daemons = 3;
  double time_scale = 20;
  double median_tokens = 300;
  std::uint32_t engines_per_zone = 2;
};

/// Polls \p condition until it holds; fails the test after two minutes.
void wait_until(const std::string& what, const std::function<bool()>& condition);

/// Prints one line about a proof, which the test run collects.
void report_guarantee(const std::string& statement, const std::string& faults,
                      std::uint64_t violations);

class TestCluster {
 public:
  /// Starts everything and waits until all daemons are ready and have met.
  explicit TestCluster(ClusterOptions options = {});
  ~TestCluster();

  // Daemons, counted from 0. All of them have a trainer listener.
  core::Address caller(std::size_t daemon) const { return address_of(daemon, 7000); }
  core::Address trainer(std::size_t daemon) const { return address_of(daemon, 7001); }
  core::Address admin(std::size_t daemon) const { return address_of(daemon, 7002); }
  core::Address peer(std::size_t daemon) const { return address_of(daemon, 7003); }
  core::Address gossip(std::size_t daemon) const { return address_of(daemon, 7004); }
  core::Address emulator_control() const { return platform(20000); }
  void start_daemon(std::size_t daemon);
  void signal_daemon(std::size_t daemon, int signal_number);
  /// Kills the process and waits for its end.
  void kill_daemon(std::size_t daemon);
  /// \return the exit status once the process has ended.
  int wait_for_daemon(std::size_t daemon);
  bool daemon_running(std::size_t daemon) { return daemons_[daemon]->running(); }
  void wait_until_ready(std::size_t daemon);
  std::uint64_t revision_of(std::size_t daemon);
  /// \return the value of \p series in the daemon's metrics, zero when it has none.
  double metric_of(std::size_t daemon, const std::string& series);
  /// Waits until each of \p daemons has \p revision in force.
  void wait_until_in_force(std::uint64_t revision, const std::vector<std::size_t>& daemons);

  // Operators.
  /// Runs stoneportctl against \p daemon. \return its exit status.
  int control(std::size_t daemon, const std::vector<std::string>& arguments);
  /// Publishes the example documents and waits until they are in force.
  void publish_examples();
  /// Writes \p text to a file of this cluster. \return its path.
  std::string write_file(const std::string& name, const std::string& text);

  // The emulator.
  core::Address control_address() const { return platform(20000); }
  nlohmann::json emulator_get(const std::string& target);
  void emulator_send(const std::string& method, const std::string& target,
                     const nlohmann::json& body = nlohmann::json::object());
  void set_fault(const std::string& party, const nlohmann::json& switches);
  void clear_fault(const std::string& party);
  /// Starts the trainer on its event against \p daemon.
  void run_trainer(std::size_t daemon, const nlohmann::json& changes);
  nlohmann::json trainer_report();
  void point_trainer_at(std::size_t daemon);
  void wait_for_samples(std::uint64_t count);
  /// Waits for the end of the trainer's run. \return its report.
  nlohmann::json wait_for_trainer();

  HttpCaller& http() { return http_; }
  const std::string& folder() const { return folder_; }
  static std::string binary(const std::string& name);

 private:
  core::Address address_of(std::size_t daemon, std::uint16_t port) const;
  core::Address platform(std::uint16_t port) const { return {range_.prefix() + "1", port}; }
  std::string emulator_settings() const;
  void start_emulator();

  ClusterOptions options_;
  LoopbackRange range_;  ///< addresses of everything in this cluster
  std::string folder_;
  HttpCaller http_;
  std::unique_ptr<ChildProcess> emulator_;
  std::vector<std::unique_ptr<ChildProcess>> daemons_;
};

}  // namespace stoneport::tests
