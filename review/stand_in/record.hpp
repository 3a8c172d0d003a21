/// \file
/// The record of one run: a line for each event, with the milliseconds since the run began.
/// Thread-safe.
#pragma once

#include <chrono>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

class Record {
 public:
  explicit Record(const std::string& path) : file_(path), began_(Clock::now()) {}

  void line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    char stamp[32];
    std::snprintf(stamp, sizeof(stamp), "%9.1f ms  ", elapsed_ms());
    file_ << stamp << text << "\n" << std::flush;
  }
  double elapsed_ms() const {
    return std::chrono::duration<double, std::milli>(Clock::now() - began_).count();
  }
  bool is_open() const { return file_.is_open(); }

 private:
  std::mutex mutex_;
  std::ofstream file_;
  Clock::time_point began_;
};

}  // namespace review
