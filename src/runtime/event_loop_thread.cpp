#include "runtime/event_loop_thread.hpp"

#include <pthread.h>

namespace stoneport::runtime {

EventLoopThread::EventLoopThread(std::string name)
    : name_(std::move(name)), work_(boost::asio::make_work_guard(context_)) {}

EventLoopThread::~EventLoopThread() {
  stop();
}

void EventLoopThread::run() {
  thread_ = std::thread([this] {
    pthread_setname_np(pthread_self(), name_.substr(0, 15).c_str());
    context_.run();
  });
}

void EventLoopThread::stop() {
  context_.stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

}  // namespace stoneport::runtime
