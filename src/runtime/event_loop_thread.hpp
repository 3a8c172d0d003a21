/// \file
/// A thread that runs one io_context of its own.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace stoneport::runtime {

/// One thread, one io_context. The context exists from construction, so that
/// components can be built on it before run() starts the thread.
class EventLoopThread {
 public:
  explicit EventLoopThread(std::string name);
  ~EventLoopThread();
  EventLoopThread(const EventLoopThread&) = delete;
  EventLoopThread& operator=(const EventLoopThread&) = delete;

  boost::asio::any_io_executor executor() { return context_.get_executor(); }
  void run();
  /// Stops the loop and joins the thread; safe to call twice.
  void stop();

 private:
  std::string name_;
  boost::asio::io_context context_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  std::thread thread_;
};

}  // namespace stoneport::runtime
