#include "support/test_cluster.hpp"

#include <cppunit/TestAssert.h>
#include <signal.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace stoneport::tests {
namespace {

constexpr std::chrono::milliseconds kPollInterval(50);
constexpr int kMostPolls = 2400;
constexpr std::uint16_t kControlPort = 20000;
constexpr std::uint16_t kFirstPlatformPort = 20001;
constexpr std::uint16_t kGossipPort = 7004;
const char* const kTrainer = "trainer";
const std::vector<std::string> kZones = {"bole-hall", "kaliti-hall", "sululta-hall"};

std::string quoted(const core::Address& address) {
  return "\"" + to_string(address) + "\"";
}

}  // namespace

void wait_until(const std::string& what, const std::function<bool()>& condition) {
  for (int poll = 0; poll < kMostPolls; ++poll) {
    if (condition()) {
      return;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  CPPUNIT_FAIL("gave up waiting until " + what);
}

void report_guarantee(const std::string& statement, const std::string& faults,
                      std::uint64_t violations) {
  std::cout << "\nguarantee: " << statement << " | faults: " << faults
            << " | violations: " << violations << std::endl;
}

TestCluster::TestCluster(ClusterOptions options) : options_(options), daemons_(options.daemons) {
  folder_ =
      (std::filesystem::temp_directory_path() / ("stoneport-" + range_.prefix() + "x")).string();
  std::filesystem::remove_all(folder_);
  std::filesystem::create_directories(folder_);
  start_emulator();
  for (std::size_t daemon = 0; daemon < options_.daemons; ++daemon) {
    start_daemon(daemon);
  }
  for (std::size_t daemon = 0; daemon < options_.daemons; ++daemon) {
    wait_until_ready(daemon);
  }
  wait_until("the members have met", [this] {
    const auto members = http_.get(admin(0), "/v1/operator/members").document();
    return members.is_object() && members["members"].size() == options_.daemons;
  });
}

TestCluster::~TestCluster() {
  daemons_.clear();
  emulator_.reset();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

std::string TestCluster::binary(const std::string& name) {
  const char* folder = std::getenv("STONEPORT_BINARIES");
  return std::string(folder != nullptr ? folder : "build/release") + "/" + name;
}

core::Address TestCluster::address_of(std::size_t daemon, std::uint16_t port) const {
  return {range_.prefix() + std::to_string(10 + daemon), port};
}

std::string TestCluster::write_file(const std::string& name, const std::string& text) {
  const std::string path = folder_ + "/" + name;
  std::ofstream(path) << text;
  return path;
}

std::string TestCluster::emulator_settings() const {
  std::ostringstream out;
  const std::string ip = "ip = \"" + range_.prefix() + "1\"\n";
  out << "time_scale = " << options_.time_scale << ".0\n"
      << "weight_bytes_per_second = 20_000_000_000\n"
      << "[listeners]\n"
      << ip << "control = 20000\ntable_service = 20001\nobject_store = 20002\n"
      << "weight_store = 20003\nmachine_list = 20004\nscoring_service = 20005\n"
      << "[engine_defaults]\nmax_running = 32\nstep_base_ms = 20.0\nstep_per_sequence_ms = 0.2\n"
      << "switch_duration_ms = 2000.0\n[engine_defaults.lengths]\nmedian_tokens = "
      << options_.median_tokens << "\ndeviation_of_log = 0.9\n"
      << "[[policies]]\nname = \"proposal-policy\"\nversion = 1\nsize_bytes = 4_000_000_000\n";
  for (std::size_t zone = 0; zone < kZones.size(); ++zone) {
    const std::string place = "zone = \"" + kZones[zone] + "\"\nregion = \"addis\"\n" + ip;
    out << "[[engines]]\nmodel = \"proposal\"\npolicy = \"proposal-policy\"\n"
        << place << "first_port = " << 21000 + 10 * zone
        << "\ncount = " << options_.engines_per_zone << "\n"
        << "[[services]]\nservice = \"materials\"\n"
        << place << "first_port = " << 22000 + zone << "\n[[services]]\nservice = \"topups\"\n"
        << place << "first_port = " << 22010 + zone << "\n";
  }
  for (std::size_t daemon = 0; daemon < options_.daemons; ++daemon) {
    const core::Address gossip = address_of(daemon, kGossipPort);
    out << "[[nodes]]\nid = \"node-" << daemon << "\"\nzone = \"" << kZones[daemon % kZones.size()]
        << "\"\nregion = \"addis\"\nip = \"" << gossip.ip << "\"\nport = " << gossip.port << "\n";
  }
  const core::Address served_by = trainer(0);
  out << "[[trainers]]\nname = \"" << kTrainer << "\"\nip = \"" << served_by.ip
      << "\"\nport = " << served_by.port << "\n";
  return out.str();
}

void TestCluster::start_emulator() {
  const std::string settings = write_file("emulator.toml", emulator_settings());
  emulator_ = std::make_unique<ChildProcess>(
      std::vector<std::string>{binary("stoneport-emulator"), "--config", settings},
      folder_ + "/emulator.log");
  wait_until("the emulator answers",
             [this] { return http_.get(platform(kControlPort), "/control/engines").ok(); });
}

void TestCluster::start_daemon(std::size_t daemon) {
  std::ostringstream settings;
  settings << "node = \"node-" << daemon << "\"\nzone = \"" << kZones[daemon % kZones.size()]
           << "\"\nregion = \"addis\"\n"
           << "caller_listener = " << quoted(caller(daemon)) << "\n"
           << "trainer_listener = " << quoted(trainer(daemon)) << "\n"
           << "admin_listener = " << quoted(admin(daemon)) << "\n"
           << "peer_listener = " << quoted(address_of(daemon, 7003)) << "\n"
           << "gossip_listener = " << quoted(address_of(daemon, kGossipPort)) << "\n";
  std::uint16_t port = kFirstPlatformPort;
  for (const char* service :
       {"table_service", "object_store", "weight_store", "machine_list", "scoring_service"}) {
    settings << service << " = " << quoted(platform(port++)) << "\n";
  }
  const std::string name = "node-" + std::to_string(daemon);
  const std::string path = write_file(name + ".toml", settings.str());
  daemons_[daemon] = std::make_unique<ChildProcess>(
      std::vector<std::string>{binary("stoneportd"), "--config", path},
      folder_ + "/" + name + ".log");
}

void TestCluster::signal_daemon(std::size_t daemon, int signal_number) {
  daemons_[daemon]->send_signal(signal_number);
}

void TestCluster::kill_daemon(std::size_t daemon) {
  signal_daemon(daemon, SIGKILL);
  wait_for_daemon(daemon);
}

int TestCluster::wait_for_daemon(std::size_t daemon) {
  return daemons_[daemon]->wait();
}

void TestCluster::wait_until_ready(std::size_t daemon) {
  wait_until("daemon " + std::to_string(daemon) + " is ready",
             [&] { return http_.get(admin(daemon), "/readyz").ok(); });
}

double TestCluster::metric_of(std::size_t daemon, const std::string& series) {
  std::istringstream lines(http_.get(admin(daemon), "/metrics").body);
  const std::string start = series + " ";
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with(start)) {
      return std::stod(line.substr(start.size()));
    }
  }
  return 0;
}

std::uint64_t TestCluster::revision_of(std::size_t daemon) {
  const auto status = http_.get(admin(daemon), "/v1/operator/status").document();
  return status.is_object() ? status.value("configuration_revision", std::uint64_t{0}) : 0;
}

void TestCluster::wait_until_in_force(std::uint64_t revision,
                                      const std::vector<std::size_t>& daemons) {
  wait_until("revision " + std::to_string(revision) + " is in force", [&] {
    for (const std::size_t daemon : daemons) {
      if (revision_of(daemon) < revision) {
        return false;
      }
    }
    return true;
  });
}

int TestCluster::control(std::size_t daemon, const std::vector<std::string>& arguments) {
  std::vector<std::string> command = {binary("stoneportctl"), "--server", to_string(admin(daemon))};
  command.insert(command.end(), arguments.begin(), arguments.end());
  return ChildProcess(command, folder_ + "/control.log").wait();
}

void TestCluster::publish_examples() {
  CPPUNIT_ASSERT_EQUAL(0, control(0, {"template", "publish", "examples/compound-proposals.toml",
                                      "examples/materials.toml", "examples/topups.toml"}));
  CPPUNIT_ASSERT_EQUAL(
      0, control(0, {"parameters", "publish", "--wait", "examples/compounds.toml",
                     "examples/abay-materials.toml", "examples/prepaid-topups.toml"}));
}

nlohmann::json TestCluster::emulator_get(const std::string& target) {
  const HttpAnswer answer = http_.get(platform(kControlPort), target);
  CPPUNIT_ASSERT_MESSAGE(target + ": " + answer.body + answer.failure, answer.ok());
  return answer.document();
}

void TestCluster::emulator_send(const std::string& method, const std::string& target,
                                const nlohmann::json& body) {
  const HttpAnswer answer = http_.send(platform(kControlPort), method, target, body);
  CPPUNIT_ASSERT_MESSAGE(target + ": " + answer.body + answer.failure, answer.ok());
}

void TestCluster::set_fault(const std::string& party, const nlohmann::json& switches) {
  emulator_send("PUT", "/control/faults/" + party, switches);
}

void TestCluster::clear_fault(const std::string& party) {
  emulator_send("DELETE", "/control/faults/" + party);
}

void TestCluster::run_trainer(std::size_t daemon, const nlohmann::json& changes) {
  point_trainer_at(daemon);
  nlohmann::json run = {{"event", "compounds"}, {"policy", "proposal-policy"}, {"steps", 1},
                        {"prompts", 16},        {"samples_per_prompt", 8},     {"age_bound", 1}};
  run.update(changes);
  emulator_send("POST", std::string("/control/trainers/") + kTrainer + "/run", run);
}

nlohmann::json TestCluster::trainer_report() {
  return emulator_get(std::string("/control/trainers/") + kTrainer);
}

void TestCluster::point_trainer_at(std::size_t daemon) {
  const core::Address address = trainer(daemon);
  emulator_send("PUT", std::string("/control/trainers/") + kTrainer + "/daemon",
                {{"ip", address.ip}, {"port", address.port}});
}

void TestCluster::wait_for_samples(std::uint64_t count) {
  wait_until(std::to_string(count) + " samples are held",
             [&] { return trainer_report()["samples_delivered"].get<std::uint64_t>() >= count; });
}

nlohmann::json TestCluster::wait_for_trainer() {
  wait_until("the trainer's run is over", [&] { return trainer_report()["state"] != "running"; });
  return trainer_report();
}

}  // namespace stoneport::tests
