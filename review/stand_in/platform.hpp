/// \file
/// The users' platform as a stand-in: a range of loopback addresses, the store, and machines that
/// run the daemon as separate processes with settings like those of the small deployments.
#pragma once

#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <filesystem>
#include <map>
#include <memory>

#include "replica.hpp"
#include "store.hpp"

namespace review {

/// Thrown when the case cannot run here.
struct CannotRun : std::runtime_error {
  using std::runtime_error::runtime_error;
};

inline constexpr const char* kHost = "users.example";

/// One machine: its settings file and the daemon's process.
class Machine {
 public:
  Machine(std::string program, std::string settings_path, std::string log_path, std::string name,
          Record& record)
      : program_(std::move(program)),
        settings_path_(std::move(settings_path)),
        log_path_(std::move(log_path)),
        name_(std::move(name)),
        record_(record) {}
  ~Machine() { kill(); }

  void start() {
    const pid_t child = fork();
    if (child < 0) {
      throw CannotRun("cannot start a process");
    }
    if (child == 0) {
      // No process outlives the thread that started it, and so the test.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log = open(log_path_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(log, STDOUT_FILENO);
      dup2(log, STDERR_FILENO);
      setenv("STONEPORT_SETTINGS", settings_path_.c_str(), 1);
      execl(program_.c_str(), program_.c_str(), static_cast<char*>(nullptr));
      _exit(127);
    }
    process_ = child;
    record_.line(name_ + " started");
  }
  /// \return whether the process runs; if it has ended since the last call, records how.
  bool is_running() {
    if (process_ <= 0) {
      return false;
    }
    int status = 0;
    if (waitpid(process_, &status, WNOHANG) == 0) {
      return true;
    }
    note_end(status);
    return false;
  }
  void signal(int number) {
    if (process_ > 0) {
      record_.line(name_ + " gets signal " + std::to_string(number));
      ::kill(process_, number);
    }
  }
  /// Kills the process, if it still runs, and waits for its end.
  void kill() {
    if (is_running()) {
      record_.line("the test kills " + name_);
      ::kill(process_, SIGKILL);
      int status = 0;
      waitpid(process_, &status, 0);
      note_end(status);
    }
  }
  /// \return the signal that ended the process last; 0 if it exited or runs.
  int ended_by_signal() const { return ended_by_signal_; }
  const std::string& name() const { return name_; }

 private:
  void note_end(int status) {
    process_ = 0;
    ended_by_signal_ = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
    record_.line(name_ + " ended " +
                 (WIFSIGNALED(status) ? "by signal " + std::to_string(WTERMSIG(status))
                                      : "with status " + std::to_string(WEXITSTATUS(status))));
  }

  std::string program_;
  std::string settings_path_;
  std::string log_path_;
  std::string name_;
  Record& record_;
  pid_t process_ = 0;
  int ended_by_signal_ = 0;
};

class Platform {
 public:
  /// \param program path of the daemon
  Platform(std::string program, std::size_t machines, Record& record)
      : record_(record), prefix_(free_range()) {
    char folder[] = "/tmp/stoneport-review-XXXXXX";
    if (mkdtemp(folder) == nullptr) {
      throw CannotRun("no temporary folder");
    }
    folder_ = folder;
    if (access(program.c_str(), X_OK) != 0) {
      throw CannotRun("the daemon is not built: " + program);
    }
    store_ = std::make_unique<Store>(store_address());
    for (std::size_t index = 0; index < machines; ++index) {
      const std::string name = "front-" + std::to_string(index);
      const std::string base = folder_ + "/" + name;
      std::ofstream(base + ".json") << settings(index, machines).dump(1);
      machines_.push_back(
          std::make_unique<Machine>(program, base + ".json", base + ".log", name, record_));
    }
  }
  ~Platform() {
    machines_.clear();
    replicas_.clear();
    store_.reset();
    if (std::getenv("KEEP_LOGS") == nullptr) {
      std::filesystem::remove_all(folder_);
    } else {
      record_.line("logs are kept in " + folder_);
    }
  }

  Store& store() { return *store_; }
  Machine& machine(std::size_t index) { return *machines_[index]; }
  Address front(std::size_t machine) const { return {machine_ip(machine), 8161}; }
  Address ready(std::size_t machine) const { return {machine_ip(machine), 8167}; }
  Address directory(std::size_t machine) const { return {machine_ip(machine), 8164}; }

  Address replica_address(std::size_t index) const {
    return {prefix_ + "1", static_cast<std::uint16_t>(21000 + index)};
  }
  /// \param work how long one request takes
  Replica& add_replica(const std::string& service, std::function<Milliseconds()> work,
                       std::size_t slots = 6) {
    const std::size_t index = replicas_.size();
    ReplicaOptions options;
    options.id = "i-" + service + "-" + std::to_string(index);
    options.service = service;
    options.address = replica_address(index);
    options.zone = "bole-hall";
    options.slots = slots;
    replicas_.push_back(std::make_unique<Replica>(std::move(options), record_, std::move(work)));
    Replica& replica = *replicas_.back();
    store_->put("servers", replica.options().id, replica.row());
    return replica;
  }
  /// Writes the configuration as the operator does.
  void configure(std::uint64_t version, const std::vector<nlohmann::json>& routes,
                 const std::vector<nlohmann::json>& services) {
    const nlohmann::json configuration = {{"version", version},
                                          {"routes", routes},
                                          {"services", services},
                                          {"limits",
                                           {{"headerBytes", 16384},
                                            {"bodyBytes", 33554432},
                                            {"headerTimeoutMs", 3000},
                                            {"idleTimeoutMs", 15000}}}};
    store_->put("op", "config", configuration.dump());
    record_.line("the operator writes configuration " + std::to_string(version));
  }
  static nlohmann::json route(const std::string& name, const std::string& kind,
                              const std::string& service, int timeout_ms, int attempts) {
    return {{"name", name},  {"host", kHost},           {"pathPrefix", "/" + name + "/"},
            {"kind", kind},  {"timeoutMs", timeout_ms}, {"targetLatencyMs", 150},
            {"priority", 2}, {"service", service},      {"maxAttempts", attempts}};
  }
  static nlohmann::json service(const std::string& name) {
    return {{"name", name},
            {"healthPath", "/health"},
            {"connectionLimit", 110},
            {"protocol", "h1"},
            {"tls", false}};
  }
  bool is_ready(std::size_t machine) const {
    const auto connection = Connection::open(ready(machine), Milliseconds(500));
    if (!connection || !connection->write("GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n")) {
      return false;
    }
    Message answer;
    const End end = connection->read_message(answer, Clock::now() + Milliseconds(500));
    return end == End::kComplete && answer.status() == 200;
  }
  /// Starts all machines and waits until they are ready.
  void start_all() {
    for (const auto& machine : machines_) {
      machine->start();
    }
    for (std::size_t index = 0; index < machines_.size(); ++index) {
      const Clock::time_point until = Clock::now() + std::chrono::seconds(15);
      while (!is_ready(index)) {
        if (Clock::now() >= until) {
          throw CannotRun(machines_[index]->name() + " does not become ready");
        }
        std::this_thread::sleep_for(Milliseconds(50));
      }
    }
    record_.line("all machines are ready");
  }
  const std::string& folder() const { return folder_; }

 private:
  /// \return the first three parts of a range of loopback addresses that nobody uses.
  static std::string free_range() {
    for (int attempt = 0; attempt < 2000; ++attempt) {
      const int number = (getpid() * 7 + attempt) % 24000;
      const std::string prefix =
          "127." + std::to_string(64 + number / 200) + "." + std::to_string(1 + number % 200) + ".";
      const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const sockaddr_in raw = to_sockaddr({prefix + "254", 20999});
      // Held until this process ends, so that no other run takes the range.
      if (bind(descriptor, reinterpret_cast<const sockaddr*>(&raw), sizeof(raw)) == 0) {
        return prefix;
      }
      ::close(descriptor);
    }
    throw CannotRun("no range of loopback addresses is free");
  }
  Address store_address() const { return {prefix_ + "1", 20900}; }
  std::string machine_ip(std::size_t index) const { return prefix_ + std::to_string(10 + index); }

  nlohmann::json settings(std::size_t index, std::size_t machines) const {
    const std::string ip = machine_ip(index);
    nlohmann::json seeds = nlohmann::json::array();
    for (std::size_t seed = 0; seed < std::min<std::size_t>(machines, 3); ++seed) {
      seeds.push_back(machine_ip(seed) + ":8166");
    }
    return {
        {"nodeName", "front-" + std::to_string(index)},
        {"role", "daemon"},
        {"machineClass", "front"},
        {"serves", {"front", "control", "directory"}},
        {"ipAddress", ip},
        {"zone", "bole-hall"},
        {"region", "addis"},
        {"zones", {{"bole-hall", "addis"}, {"kaliti-hall", "addis"}, {"sululta-hall", "addis"}}},
        {"listen",
         {{"front", ip + ":8161"},
          {"ready", ip + ":8167"},
          {"control", ip + ":8166"},
          {"directory", ip + ":8164"}}},
        {"internalPorts", {7720, 7735}},
        {"seeds", seeds},
        {"firstStart", true},
        {"inTolerance", false},
        {"limits",
         {{"cpuShare", 0.5},
          {"cores", 1},
          {"memoryMb", 270},
          {"fileDescriptors", 8200},
          {"linkMbps", 1000.0},
          {"diskMb", 0}}},
        {"dataDirectory", nullptr},
        {"discovery", "platform"},
        {"entry", "directory"},
        {"heartbeatMs", 1200},
        {"contracts",
         {"base", "drain", "config", "cost", "recover", "samples", "stream", "engine", "batch",
          "platform"}},
        {"tolerate", {{"machines", 1}, {"zones", 0}, {"regions", 0}}},
        {"bounds",
         {{"seedLagS", 3},
          {"reuseAfterS", 2},
          {"contactMs", 3000},
          {"acknowledgeMs", 4000},
          {"catchUpS", 4.3},
          {"drainMs", 2000},
          {"graceS", 8},
          {"lossSlackMs", 200},
          {"configurationMs", 2000},
          {"rollbackSlackMs", 250},
          {"outerMs", 5000},
          {"recoveryS", 12},
          {"passMs", 120},
          {"retryAfterS", 0},
          {"finishS", 10},
          {"statusS", 120},
          {"cancelMs", 3000},
          {"settleMs", 1000},
          {"quotaOverage", 0.1},
          {"fencingRequired", false},
          {"leaseMs", 3000},
          {"thawSlackMs", 300},
          {"ttl_max_s", 5}}},
        {"platform",
         {{"address", store_address().text()},
          {"form", "table"},
          {"writes_per_s", 800},
          {"reads_per_s", 2000},
          {"tx_ms", 3.0},
          {"part_writes_per_s", 300},
          {"row_bytes", 65536},
          {"across", true},
          {"historyS", 20},
          {"blob_bytes", 8388608},
          {"blob_ms", 25.0},
          {"blob_mb_per_s", 80.0}}}};
  }

  Record& record_;
  std::string prefix_;
  std::string folder_;
  std::unique_ptr<Store> store_;
  std::vector<std::unique_ptr<Replica>> replicas_;
  std::vector<std::unique_ptr<Machine>> machines_;
};

/// Runs a case. \return the status for the shell: 0 if the rule held, 1 if it was broken, 2 if the
/// case could not run.
inline int run_case(int argument_count, char** arguments,
                    const std::function<bool(const std::string& program, bool has_trouble,
                                             Record& record)>& holds) {
  if (argument_count != 3) {
    std::fprintf(stderr, "usage: %s DAEMON RECORD\n", arguments[0]);
    return 2;
  }
  ::signal(SIGPIPE, SIG_IGN);
  Record record(arguments[2]);
  const char* const trouble = std::getenv("TROUBLE");
  const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
  record.line(has_trouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
  try {
    const bool rule_holds = holds(arguments[1], has_trouble, record);
    record.line(rule_holds ? "result: the rule held" : "result: the rule was broken");
    return rule_holds ? 0 : 1;
  } catch (const std::exception& failure) {
    record.line(std::string("result: the case could not run: ") + failure.what());
    return 2;
  }
}

}  // namespace review
