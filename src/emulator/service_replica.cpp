#include "emulator/service_replica.hpp"

#include <algorithm>

#include "core/hash.hpp"
#include "emulator/http_answers.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::emulator {
namespace {

namespace asio = boost::asio;

constexpr std::size_t kDefaultItemBytes = 256;
constexpr std::size_t kLargestItemBytes = std::size_t{256} << 20;
constexpr std::size_t kPieceBytes = std::size_t{64} << 10;

/// \return the key that names the request over all its attempts.
std::string request_id(const http::RequestHead& request) {
  const auto key = request.headers.find("Idempotency-Key");
  if (key) {
    return std::string(*key);
  }
  return std::string(request.headers.find("X-Request-Id").value_or(""));
}

}  // namespace

std::string item_body(const std::string& id, std::size_t size) {
  const std::string line = "item " + id + " " + std::to_string(core::hash64(id)) + "\n";
  std::string body;
  body.reserve(size + line.size());
  while (body.size() < size) {
    body += line;
  }
  body.resize(size);
  return body;
}

ServiceReplica::ServiceReplica(asio::any_io_executor executor, ReplicaIdentity identity,
                               ServiceLedger& ledger, core::Metrics& metrics)
    : FaultyListener(std::move(executor), "service", metrics),
      identity_(std::move(identity)),
      ledger_(ledger) {
  add_routes();
}

void ServiceReplica::leave() {
  leave_watch_.begin(time_.now());
}

core::Result<void> ServiceReplica::restart() {
  if (up()) {
    return {};
  }
  ++incarnation_;
  leave_watch_ = LeaveWatch{};
  return come_up();
}

nlohmann::json ServiceReplica::truth_json() const {
  return {{"id", identity_.id},
          {"service", identity_.service},
          {"ip", address().ip},
          {"port", address().port},
          {"up", up()},
          {"incarnation", incarnation_},
          {"runs", runs_},
          {"leaving", leave_watch_.leaving()},
          {"work_while_leaving", leave_watch_.work()},
          {"last_work_after_leave_ms", core::to_seconds(leave_watch_.last_work_after()) * 1000}};
}

void ServiceReplica::add_routes() {
  router().add_streaming(
      "GET", "/items/{id}",
      [this](const http::RequestHead& request, const http::PathParameters& parameters,
             http::BodySource&,
             http::ResponseWriter& response) { return get_item(request, parameters, response); });
  router().add_streaming(
      "POST", "/echo",
      [this](const http::RequestHead& request, const http::PathParameters&, http::BodySource& body,
             http::ResponseWriter& response) { return echo(request, body, response); });
  router().add("POST", "/topups",
               [this](http::RoutedRequest request) { return top_up(std::move(request)); });
  router().add("GET", "/balances/{id}",
               [this](http::RoutedRequest request) { return balance(std::move(request)); });
}

asio::awaitable<std::uint64_t> ServiceReplica::run_once(const http::RequestHead& request,
                                                        bool repeatable) {
  leave_watch_.note_work(time_.now());
  ++runs_;
  const std::uint64_t runs = ledger_.count_run(request_id(request), repeatable);
  if (identity_.delay > core::Duration::zero()) {
    co_await runtime::sleep_for(identity_.delay);
  }
  co_return runs;
}

asio::awaitable<void> ServiceReplica::get_item(const http::RequestHead& request,
                                               const http::PathParameters& parameters,
                                               http::ResponseWriter& response) {
  const std::string id = parameters.at("id");
  const std::size_t size =
      number_or(http::query_parameter(request.target, "size"), kDefaultItemBytes);
  const bool chunked = http::query_parameter(request.target, "chunked") == "1";
  co_await run_once(request, true);
  const std::string body = item_body(id, std::min(size, kLargestItemBytes));
  http::ResponseHead head;
  head.headers.set("Content-Type", "text/plain");
  head.headers.set("X-Replica", identity_.id);
  std::optional<std::uint64_t> length;
  if (!chunked) {
    length = body.size();
  }
  core::Result<void> sent = co_await response.start(std::move(head), length);
  for (std::size_t begin = 0; sent && begin < body.size(); begin += kPieceBytes) {
    const std::string_view piece = std::string_view(body).substr(begin, kPieceBytes);
    sent = co_await response.write(piece);
  }
  if (sent) {
    co_await response.finish();
  }
}

asio::awaitable<http::Response> ServiceReplica::top_up(http::RoutedRequest request) {
  const std::uint64_t runs = co_await run_once(request.head, false);
  const nlohmann::json answer = {{"request", request_id(request.head)},
                                 {"run", runs},
                                 {"replica", identity_.id},
                                 {"body_hash", std::to_string(core::hash64(request.body))}};
  co_return json_answer(200, answer);
}

asio::awaitable<http::Response> ServiceReplica::balance(http::RoutedRequest request) {
  co_await run_once(request.head, true);
  const std::string id = request.parameters.at("id");
  constexpr std::uint64_t kLargestBalance = 100'000;
  const nlohmann::json answer = {
      {"account", id}, {"balance", core::hash64(id) % kLargestBalance}, {"replica", identity_.id}};
  co_return json_answer(200, answer);
}

asio::awaitable<void> ServiceReplica::echo(const http::RequestHead& request, http::BodySource& body,
                                           http::ResponseWriter& response) {
  co_await run_once(request, true);
  // The first piece is read before the response begins: a client may wait with
  // its body for "100 Continue", which cannot come after the response's head.
  core::Result<std::optional<std::string>> piece = co_await body.next();
  http::ResponseHead head;
  const auto content_type = request.headers.find("Content-Type");
  head.headers.set("Content-Type", std::string(content_type.value_or("application/octet-stream")));
  head.headers.set("X-Replica", identity_.id);
  core::Result<void> sent = co_await response.start(std::move(head), std::nullopt);
  while (sent && piece && *piece) {
    sent = co_await response.write(**piece);
    piece = co_await body.next();
  }
  if (sent && piece) {
    co_await response.finish();
  }
}

}  // namespace stoneport::emulator
