/// \file
/// A small blocking HTTP/1.1 layer for the stand-ins: connections, messages and a server with one
/// thread a connection. It does only what the tests need; it gives them control of every byte.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <cstring>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "record.hpp"

namespace review {

struct Address {
  std::string ip;
  std::uint16_t port = 0;

  std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in to_sockaddr(const Address& address) {
  sockaddr_in raw{};
  raw.sin_family = AF_INET;
  raw.sin_port = htons(address.port);
  if (inet_pton(AF_INET, address.ip.c_str(), &raw.sin_addr) != 1) {
    throw std::runtime_error("not an address: " + address.ip);
  }
  return raw;
}

struct Message {
  std::string start_line;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  std::string header(std::string_view name) const {
    for (const auto& [key, value] : headers) {
      const bool is_equal =
          key.size() == name.size() && strncasecmp(key.data(), name.data(), name.size()) == 0;
      if (is_equal) {
        return value;
      }
    }
    return {};
  }
  /// \return the status of a response; 0 if the start line has none.
  int status() const {
    const std::size_t space = start_line.find(' ');
    return space == std::string::npos ? 0 : std::atoi(start_line.c_str() + space + 1);
  }
  std::string method() const { return start_line.substr(0, start_line.find(' ')); }
  /// \return path and query of a request.
  std::string target() const {
    const std::size_t first = start_line.find(' ');
    const std::size_t second = start_line.find(' ', first + 1);
    return first == std::string::npos ? "" : start_line.substr(first + 1, second - first - 1);
  }
  std::size_t content_length() const {
    const std::string text = header("Content-Length");
    return text.empty() ? 0 : std::strtoull(text.c_str(), nullptr, 10);
  }
};

/// How a read or an exchange ended.
enum class End { kComplete, kClosed, kReset, kTimedOut };

inline const char* to_string(End end) {
  switch (end) {
    case End::kComplete:
      return "complete";
    case End::kClosed:
      return "closed";
    case End::kReset:
      return "reset";
    case End::kTimedOut:
      return "timed out";
  }
  return "unknown";
}

/// One TCP connection with a read buffer. Owns the descriptor.
class Connection {
 public:
  explicit Connection(int descriptor) : descriptor_(descriptor) {
    const int on = 1;
    setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~Connection() { close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// \return null if no connection came up in time.
  static std::unique_ptr<Connection> open(const Address& address, Milliseconds limit) {
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in raw = to_sockaddr(address);
    fcntl(descriptor, F_SETFL, O_NONBLOCK);
    const int begun = connect(descriptor, reinterpret_cast<const sockaddr*>(&raw), sizeof(raw));
    if (begun != 0 && errno == EINPROGRESS) {
      pollfd wait{descriptor, POLLOUT, 0};
      poll(&wait, 1, static_cast<int>(limit.count()));
    }
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
    sockaddr_in peer{};
    socklen_t peer_size = sizeof(peer);
    const bool is_up =
        error == 0 && getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &peer_size) == 0;
    if (!is_up) {
      ::close(descriptor);
      return nullptr;
    }
    fcntl(descriptor, F_SETFL, 0);
    return std::make_unique<Connection>(descriptor);
  }

  int descriptor() const { return descriptor_; }
  void close() {
    if (descriptor_ >= 0) {
      ::close(std::exchange(descriptor_, -1));
    }
  }
  void shutdown() { ::shutdown(descriptor_, SHUT_RDWR); }

  bool write(std::string_view bytes) {
    while (!bytes.empty()) {
      const ssize_t size = send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (size <= 0) {
        return false;
      }
      bytes.remove_prefix(static_cast<std::size_t>(size));
    }
    return true;
  }
  /// Waits until bytes arrive or the peer closes. \return kComplete if there is something to read.
  End wait(Clock::time_point until) {
    const auto left = std::chrono::duration_cast<Milliseconds>(until - Clock::now());
    pollfd wait{descriptor_, POLLIN, 0};
    const int ready = poll(&wait, 1, static_cast<int>(std::max<long>(left.count(), 0)));
    return ready > 0 ? End::kComplete : End::kTimedOut;
  }
  /// Reads more bytes into the buffer.
  End fill(Clock::time_point until) {
    const End waited = wait(until);
    if (waited != End::kComplete) {
      return waited;
    }
    char bytes[16384];
    const ssize_t size = recv(descriptor_, bytes, sizeof(bytes), 0);
    if (size < 0) {
      return End::kReset;
    }
    if (size == 0) {
      return End::kClosed;
    }
    buffer_.append(bytes, static_cast<std::size_t>(size));
    return End::kComplete;
  }
  bool has_bytes() const { return !buffer_.empty(); }
  std::string take(std::size_t most) {
    std::string bytes = buffer_.substr(0, most);
    buffer_.erase(0, bytes.size());
    return bytes;
  }

  /// Reads start line and headers.
  End read_head(Message& message, Clock::time_point until) {
    std::size_t end = buffer_.find("\r\n\r\n");
    while (end == std::string::npos) {
      const End filled = fill(until);
      if (filled != End::kComplete) {
        return filled;
      }
      end = buffer_.find("\r\n\r\n");
    }
    const std::string head = take(end + 4);
    std::size_t start = head.find("\r\n");
    message.start_line = head.substr(0, start);
    start += 2;
    while (start + 2 < head.size()) {
      const std::size_t line_end = head.find("\r\n", start);
      const std::string line = head.substr(start, line_end - start);
      const std::size_t colon = line.find(':');
      if (colon != std::string::npos) {
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        message.headers.emplace_back(line.substr(0, colon),
                                     value == std::string::npos ? "" : line.substr(value));
      }
      start = line_end + 2;
    }
    return End::kComplete;
  }
  /// Reads a body with Content-Length or in chunks.
  End read_body(Message& message, Clock::time_point until) {
    if (strcasecmp(message.header("Transfer-Encoding").c_str(), "chunked") != 0) {
      return read_exactly(message.content_length(), message.body, until);
    }
    while (true) {
      std::string line;
      End end = read_line(line, until);
      if (end != End::kComplete) {
        return end;
      }
      const std::size_t size = std::strtoull(line.c_str(), nullptr, 16);
      end = read_exactly(size, message.body, until);
      if (end == End::kComplete) {
        end = read_line(line, until);
      }
      if (end != End::kComplete || size == 0) {
        return end;
      }
    }
  }
  End read_message(Message& message, Clock::time_point until) {
    const End head = read_head(message, until);
    return head == End::kComplete ? read_body(message, until) : head;
  }

 private:
  End read_exactly(std::size_t size, std::string& into, Clock::time_point until) {
    while (buffer_.size() < size) {
      const End filled = fill(until);
      if (filled != End::kComplete) {
        return filled;
      }
    }
    into += take(size);
    return End::kComplete;
  }
  End read_line(std::string& line, Clock::time_point until) {
    while (buffer_.find("\r\n") == std::string::npos) {
      const End filled = fill(until);
      if (filled != End::kComplete) {
        return filled;
      }
    }
    line = take(buffer_.find("\r\n"));
    take(2);
    return End::kComplete;
  }

  int descriptor_;
  std::string buffer_;
};

inline std::string response_text(int status, const std::string& body,
                                 const std::vector<std::pair<std::string, std::string>>& headers) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Listens on an address and serves each connection on a thread of its own.
class Server {
 public:
  using Handler = std::function<void(Connection&)>;

  Server(const Address& address, Handler handler) : handler_(std::move(handler)) {
    descriptor_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in raw = to_sockaddr(address);
    if (bind(descriptor_, reinterpret_cast<const sockaddr*>(&raw), sizeof(raw)) != 0 ||
        listen(descriptor_, 512) != 0) {
      throw std::runtime_error("cannot listen on " + address.text());
    }
    accepting_ = std::thread([this] { accept_loop(); });
  }
  ~Server() { stop(); }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Closes the listener and all connections, and waits for their threads.
  void stop() {
    if (stopped_.exchange(true)) {
      return;
    }
    ::shutdown(descriptor_, SHUT_RDWR);
    accepting_.join();
    ::close(descriptor_);
    {
      const std::lock_guard lock(mutex_);
      for (Connection* connection : open_) {
        connection->shutdown();
      }
    }
    for (std::thread& thread : threads_) {
      thread.join();
    }
  }
  bool stopped() const { return stopped_; }

 private:
  void accept_loop() {
    while (!stopped_) {
      const int accepted = accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        continue;
      }
      threads_.emplace_back([this, accepted] {
        Connection connection(accepted);
        note(connection, true);
        handler_(connection);
        note(connection, false);
      });
    }
  }
  void note(Connection& connection, bool is_open) {
    const std::lock_guard lock(mutex_);
    if (is_open) {
      open_.insert(&connection);
    } else {
      open_.erase(&connection);
    }
    if (is_open && stopped_) {
      connection.shutdown();
    }
  }

  Handler handler_;
  int descriptor_ = -1;
  std::atomic<bool> stopped_ = false;
  std::thread accepting_;
  std::vector<std::thread> threads_;  ///< used by the accepting thread, then by stop()
  std::mutex mutex_;
  std::set<Connection*> open_;
};

}  // namespace review
