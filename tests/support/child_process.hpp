/// \file
/// A program started by a system test. Ends it when the test forgets to.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

namespace stoneport::tests {

class ChildProcess {
 public:
  /// Starts \p arguments[0] with its output appended to \p log_path.
  /// \param variables "NAME=value", beside those of this process
  ChildProcess(const std::vector<std::string>& arguments, const std::string& log_path,
               const std::vector<std::string>& variables = {});
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void send_signal(int signal_number);
  /// Waits for the end.
  /// \return the exit status, or 128 + the signal that ended it.
  int wait();
  /// \return whether the process has not ended yet.
  bool running();
  /// \return the most memory that it has had resident so far, in bytes.
  std::uint64_t peak_memory() const;

 private:
  pid_t process_id_ = -1;
  bool ended_ = false;
  int status_ = 0;
};

}  // namespace stoneport::tests
