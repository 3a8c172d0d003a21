#include <boost/asio/bind_cancellation_slot.hpp>

#include "http/server_connection.hpp"

namespace stoneport::http {
namespace asio = boost::asio;
namespace {
constexpr std::size_t kReadBytes = 4096;
}  // namespace

ClientWatch::ClientWatch(std::shared_ptr<ServerSocket> io, prometheus::Counter& clients_gone)
    : io_(std::move(io)), clients_gone_(clients_gone) {}

void ClientWatch::start() {
  if (!active_) {
    active_ = true;
    ++generation_;
    wait();
  }
}

void ClientWatch::stop() {
  callback_ = nullptr;
  if (active_) {
    active_ = false;
    ++generation_;
    stop_signal_.emit(asio::cancellation_type::terminal);
  }
}

void ClientWatch::wait() {
  auto on_end = [self = shared_from_this(),
                 generation = generation_](const boost::system::error_code& error) {
    self->on_readable(generation, error);
  };
  io_->socket.async_wait(asio::ip::tcp::socket::wait_read,
                         asio::bind_cancellation_slot(stop_signal_.slot(), std::move(on_end)));
}

void ClientWatch::on_readable(std::uint64_t generation, const boost::system::error_code& error) {
  if (error || generation != generation_) {
    return;
  }
  const std::size_t room = io_->buffer.max_size() - io_->buffer.size();
  if (room == 0) {
    return;  // a close behind that many pipelined bytes shows when they are read
  }
  boost::system::error_code failure;
  const auto space = io_->buffer.prepare(std::min(room, kReadBytes));
  const std::size_t size = io_->socket.read_some(space, failure);
  io_->buffer.commit(size);
  if (failure && failure != asio::error::would_block) {
    mark_gone();
    return;
  }
  wait();
}

void ClientWatch::mark_gone() {
  if (gone_) {
    return;
  }
  gone_ = true;
  clients_gone_.Increment();
  if (callback_) {
    std::exchange(callback_, nullptr)();
  }
}

void ClientWatch::set_callback(std::function<void()> callback) {
  if (gone_ && callback) {
    callback();
    return;
  }
  callback_ = std::move(callback);
}

}  // namespace stoneport::http
