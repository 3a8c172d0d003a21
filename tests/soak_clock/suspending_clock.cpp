/// \file
/// Makes a pause of a process (SIGSTOP to SIGCONT) look like a machine that was suspended: the
/// steady clock stands still meanwhile, the clock since boot and the time of day do not. Loaded
/// into the daemons of some soaks.
#include <signal.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>

namespace {

constexpr std::int64_t kNanoseconds = 1'000'000'000;

std::atomic<std::int64_t> last_reading{0};  ///< of the true steady clock, in ns
std::atomic<std::int64_t> suspended{0};     ///< ns that the steady clock lacks

std::int64_t true_steady_time() {
  timespec now{};
  syscall(SYS_clock_gettime, CLOCK_MONOTONIC, &now);
  return now.tv_sec * kNanoseconds + now.tv_nsec;
}

void on_continue(int) {
  const std::int64_t now = true_steady_time();
  suspended += now - last_reading.exchange(now);
}

__attribute__((constructor)) void begin() {
  last_reading = true_steady_time();
  struct sigaction action {};
  action.sa_handler = on_continue;
  action.sa_flags = SA_RESTART;
  sigaction(SIGCONT, &action, nullptr);
}

}  // namespace

/// Stands before the C library's.
extern "C" __attribute__((visibility("default"))) int clock_gettime(clockid_t clock,
                                                                    timespec* now) noexcept {
  if (clock != CLOCK_MONOTONIC) {
    return static_cast<int>(syscall(SYS_clock_gettime, clock, now));
  }
  const std::int64_t true_now = true_steady_time();
  last_reading = true_now;
  const std::int64_t told = true_now - suspended;
  now->tv_sec = told / kNanoseconds;
  now->tv_nsec = told % kNanoseconds;
  return 0;
}
