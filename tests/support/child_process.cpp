#include "support/child_process.hpp"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include <fstream>
#include <stdexcept>
#include <string_view>

extern char** environ;

namespace stoneport::tests {
namespace {

int exit_status_of(int wait_status) {
  return WIFEXITED(wait_status) ? WEXITSTATUS(wait_status) : 128 + WTERMSIG(wait_status);
}

}  // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& arguments, const std::string& log_path,
                           const std::vector<std::string>& variables) {
  std::vector<char*> raw_arguments;
  for (const std::string& argument : arguments) {
    raw_arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  raw_arguments.push_back(nullptr);
  std::vector<char*> raw_variables;
  for (char** variable = environ; *variable != nullptr; ++variable) {
    raw_variables.push_back(*variable);
  }
  for (const std::string& variable : variables) {
    raw_variables.push_back(const_cast<char*>(variable.c_str()));
  }
  raw_variables.push_back(nullptr);

  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, 1, log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                   0644);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  // A listener of the test's own that a child holds too would go on accepting once the test has
  // closed it.
  posix_spawn_file_actions_addclosefrom_np(&actions, 3);
  const int failure = posix_spawn(&process_id_, raw_arguments[0], &actions, nullptr,
                                  raw_arguments.data(), raw_variables.data());
  posix_spawn_file_actions_destroy(&actions);
  if (failure != 0) {
    throw std::runtime_error("cannot start " + arguments.front());
  }
}

ChildProcess::~ChildProcess() {
  if (running()) {
    send_signal(SIGKILL);
    wait();
  }
}

void ChildProcess::send_signal(int signal_number) {
  if (!ended_) {
    kill(process_id_, signal_number);
  }
}

int ChildProcess::wait() {
  if (!ended_) {
    waitpid(process_id_, &status_, 0);
    ended_ = true;
  }
  return exit_status_of(status_);
}

bool ChildProcess::running() {
  if (!ended_ && waitpid(process_id_, &status_, WNOHANG) == process_id_) {
    ended_ = true;
  }
  return !ended_;
}

std::uint64_t ChildProcess::peak_memory() const {
  constexpr std::string_view kField = "VmHWM:";
  constexpr std::uint64_t kKilobyte = 1024;
  std::ifstream status("/proc/" + std::to_string(process_id_) + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with(kField)) {
      return std::stoull(line.substr(kField.size())) * kKilobyte;
    }
  }
  throw std::runtime_error("the memory of a process that has ended was asked for");
}

}  // namespace stoneport::tests
