#include "platform_support/raw_replica.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

#include "core/numbers.hpp"
#include "http/message.hpp"
#include "platform/names.hpp"

namespace stoneport::tests {
namespace asio = boost::asio;
using asio::ip::tcp;
namespace {

std::string value_of(const std::string& head, std::string_view name) {
  const std::string field = "\r\n" + std::string(name) + ": ";
  const std::size_t at = head.find(field);
  if (at == std::string::npos) {
    return "";
  }
  const std::size_t start = at + field.size();
  return head.substr(start, head.find('\r', start) - start);
}

RawReplica::Request parse_head(const std::string& head) {
  const std::size_t target = head.find(' ') + 1;
  RawReplica::Request request;
  request.target = head.substr(target, head.find(' ', target) - target);
  request.answer_fields =
      "Content-Type: text/event-stream\r\n" + std::string(platform::kRequestIdHeader) + ": " +
      value_of(head, platform::kRequestIdHeader) + "\r\n" + std::string(platform::kStampHeader) +
      ": stamp\r\n" + std::string(platform::kVersionsHeader) + ": 1\r\n";
  return request;
}

}  // namespace

RawReplica::RawReplica(Answer answer)
    : answer_(std::move(answer)),
      acceptor_(context_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
  accepting_ = std::thread([this] { accept(); });
}

RawReplica::~RawReplica() {
  stopped_ = true;
  boost::system::error_code ignored;
  tcp::socket waker(context_);
  waker.connect(acceptor_.local_endpoint(), ignored);
  accepting_.join();
  for (std::thread& call : calls_) {
    call.join();
  }
}

std::string RawReplica::entry(const std::string& service) const {
  nlohmann::json models = nlohmann::json::array();
  if (service == "models") {
    models.push_back({{"name", "model"}, {"version", 1}, {"adapters", nlohmann::json::array()}});
  }
  return nlohmann::json({{"service", service},
                         {"address", core::to_string(address())},
                         {"zone", "zone-a"},
                         {"version", "v1"},
                         {"slots", 8},
                         {"coldRemainingMs", 0},
                         {"state", "ready"},
                         {"models", models}})
      .dump();
}

void RawReplica::accept() {
  while (true) {
    tcp::socket socket(context_);
    acceptor_.accept(socket);
    if (stopped_) {
      return;
    }
    calls_.emplace_back(
        [this, call = std::make_shared<tcp::socket>(std::move(socket))] { serve(*call); });
  }
}

void RawReplica::serve(tcp::socket& socket) {
  std::string text;
  boost::system::error_code error;
  const std::size_t head_size =
      asio::read_until(socket, asio::dynamic_buffer(text), "\r\n\r\n", error);
  if (error) {
    return;
  }
  const std::string head = text.substr(0, head_size);
  const auto length = core::parse_number<std::size_t>(value_of(head, "Content-Length"));
  const std::size_t whole = head_size + length.value_or(0);
  // A socket that is closed with bytes unread resets its connection, which can destroy the answer.
  if (text.size() < whole) {
    asio::read(socket, asio::dynamic_buffer(text), asio::transfer_exactly(whole - text.size()),
               error);
  }
  const Request request = parse_head(head);
  ++requests_;
  if (http::path_of(request.target) == platform::kReportPath) {
    ++report_requests_;
  }
  answer_(socket, request);
}

}  // namespace stoneport::tests
