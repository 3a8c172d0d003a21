/// \file
/// A back end on a raw socket that breaks off where a test says, and counts what
/// reached it. Runs on the test's own thread.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "contract/http_fixture.hpp"

namespace stoneport::caller_test {
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

enum class Fault {
  kNone,               ///< answers whole: "{method} {target} [{body}]"
  kCloseUnread,        ///< resets when bytes have come, without reading them
  kCloseInHead,        ///< resets after the first bytes of the request's head
  kCloseInBody,        ///< resets after the request's head
  kCloseAfterRequest,  ///< runs the request, then resets without an answer
  kCutHead,            ///< runs it, closes within the answer's head
  kCutSizedBody,       ///< runs it, closes within a body of known length
  kCutChunkedBody,     ///< runs it, closes before the last chunk
  kSilent,             ///< runs it and never answers
  kNotRun,             ///< 503 that says the request was not run
  kUnavailable,        ///< plain 503
  kTooManyRequests,    ///< plain 429
  kZeroStatus,         ///< runs it, answers with status 000
  kLargeStatus,        ///< runs it, answers with status 600
  kBlankInName,        ///< runs it, answers with a blank at the end of a field's name
  kControlInName,      ///< runs it, answers with a control byte in a field's name
};

class FaultyBackEnd {
 public:
  explicit FaultyBackEnd(asio::io_context& context)
      : acceptor_(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {
    port_ = acceptor_.local_endpoint().port();
    asio::co_spawn(context, accept(), asio::detached);
  }

  core::Address address() const { return {"127.0.0.1", port_}; }
  /// Connections are refused from now on.
  void refuse() { acceptor_.close(); }
  /// Applies to the requests to come, one after the other; then kNone.
  void plan(std::vector<Fault> faults) { faults_.assign(faults.begin(), faults.end()); }

  int connections = 0;
  int runs = 0;     ///< requests that arrived whole and were run
  int cut_off = 0;  ///< connections closed by the other side while a request waited
  std::map<std::string, int> runs_of_body;
  std::string last_head;
  std::string extra_headers;  ///< on whole answers
  std::string extra_body;     ///< after whole answers

 private:
  Fault next_fault() {
    if (faults_.empty()) {
      return Fault::kNone;
    }
    const Fault fault = faults_.front();
    faults_.pop_front();
    return fault;
  }

  asio::awaitable<void> accept() {
    while (true) {
      auto [error, socket] = co_await acceptor_.async_accept(http_test::kTuple);
      if (error) {
        co_return;
      }
      ++connections;
      asio::co_spawn(acceptor_.get_executor(), serve(std::move(socket)), asio::detached);
    }
  }

  asio::awaitable<void> serve(tcp::socket socket) {
    std::string input;
    bool goes_on = true;
    while (goes_on) {
      co_await socket.async_wait(tcp::socket::wait_read, http_test::kTuple);
      boost::system::error_code error;
      if (input.empty() && socket.available(error) == 0) {
        co_return;
      }
      goes_on = co_await serve_one(socket, input, next_fault());
    }
  }

  asio::awaitable<bool> serve_one(tcp::socket& socket, std::string& input, Fault fault) {
    if (fault == Fault::kCloseUnread) {
      http_test::reset(socket);
      co_return false;
    }
    std::string mark = fault == Fault::kCloseInHead ? " " : kBlank;
    const bool has_head = co_await http_test::read_until(socket, input, std::move(mark));
    if (!has_head || fault == Fault::kCloseInHead || fault == Fault::kCloseInBody) {
      http_test::reset(socket);
      co_return false;
    }
    std::string body;
    const bool is_whole = co_await read_body(socket, input, body);
    if (!is_whole) {
      co_return false;
    }
    if (fault != Fault::kNotRun) {
      ++runs;
      ++runs_of_body[body];
    }
    co_return co_await answer(socket, fault, body);
  }

  asio::awaitable<bool> read_body(tcp::socket& socket, std::string& input, std::string& body) {
    const std::size_t head_end = input.find(kBlank) + 4;
    last_head = input.substr(0, head_end);
    input.erase(0, head_end);
    if (last_head.find("Transfer-Encoding: chunked") != std::string::npos) {
      std::string mark = "\r\n0\r\n\r\n";
      const bool has_end = co_await http_test::read_until(socket, input, std::move(mark));
      body = "chunked";
      input.clear();
      co_return has_end;
    }
    const std::size_t length = content_length();
    while (input.size() < length) {
      std::array<char, 65536> buffer;
      auto [error, size] = co_await socket.async_read_some(asio::buffer(buffer), http_test::kTuple);
      input.append(buffer.data(), size);
      if (error) {
        co_return false;
      }
    }
    body = input.substr(0, length);
    input.erase(0, length);
    co_return true;
  }

  std::size_t content_length() const {
    const std::string name = "Content-Length: ";
    const std::size_t found = last_head.find(name);
    return found == std::string::npos ? 0 : std::stoul(last_head.substr(found + name.size()));
  }

  asio::awaitable<bool> answer(tcp::socket& socket, Fault fault, std::string body) {
    switch (fault) {
      case Fault::kCloseAfterRequest:
        http_test::reset(socket);
        co_return false;
      case Fault::kSilent: {
        char byte = 0;
        co_await socket.async_read_some(asio::buffer(&byte, 1), http_test::kTuple);
        ++cut_off;
        co_return false;
      }
      default: {
        std::string text = text_of_answer(fault, body);
        co_await http_test::write_raw(socket, std::move(text));
        const bool is_cut = fault == Fault::kCutHead || fault == Fault::kCutSizedBody ||
                            fault == Fault::kCutChunkedBody;
        co_return !is_cut;
      }
    }
  }

  std::string text_of_answer(Fault fault, const std::string& body) const {
    const std::string start = last_head.substr(0, last_head.find(" HTTP/1.1"));
    switch (fault) {
      case Fault::kCutHead:
        return "HTTP/1.1 200 OK\r\nContent-Le";
      case Fault::kCutSizedBody:
        return "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nshort";
      case Fault::kCutChunkedBody:
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n";
      case Fault::kNotRun:
        return response("503 Service Unavailable", "Stoneport-Not-Run: true\r\nRetry-After: 7\r\n",
                        "full");
      case Fault::kUnavailable:
        return response("503 Service Unavailable", "Retry-After: 7\r\n", "busy");
      case Fault::kTooManyRequests:
        return response("429 Too Many Requests", "", "busy");
      case Fault::kZeroStatus:
        return response("000 OK", "", "broken");
      case Fault::kLargeStatus:
        return response("600 OK", "", "broken");
      case Fault::kBlankInName:
        return response("200 OK", "X-Name : x\r\n", "broken");
      case Fault::kControlInName:
        return response("200 OK", "X\x01Name: x\r\n", "broken");
      default:
        return response("200 OK", extra_headers,
                        start + " [" + (body.size() > 100 ? "long" : body) + "]" + extra_body);
    }
  }

  std::string response(const std::string& status, const std::string& headers,
                       const std::string& text) const {
    const std::string length = std::to_string(text.size());
    const bool is_head = last_head.starts_with("HEAD ");
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + length + "\r\n" + headers + "\r\n" +
           (is_head ? "" : text);
  }

  static constexpr const char* kBlank = "\r\n\r\n";
  tcp::acceptor acceptor_;
  std::uint16_t port_ = 0;
  std::deque<Fault> faults_;
};

}  // namespace stoneport::caller_test
