/// \file
/// Thread that runs its own io_context.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace stoneport::runtime {

/// Owns an io_context and the thread that runs it. The context exists from construction, so that
/// components can be created on it before run() starts the thread.
class EventLoopThread {
 public:
  explicit EventLoopThread(std::string name);
  ~EventLoopThread();
  EventLoopThread(const EventLoopThread&) = delete;
  EventLoopThread& operator=(const EventLoopThread&) = delete;

  boost::asio::any_io_executor executor() { return context_.get_executor(); }
  void run();
  /// Stops the loop and joins the thread. May be called more than once.
  void stop();

 private:
  std::string name_;
  boost::asio::io_context context_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  std::thread thread_;
};

}  // namespace stoneport::runtime
