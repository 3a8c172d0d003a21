#include "platform_support/stand_in_replica.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <nlohmann/json.hpp>

#include "core/hash.hpp"
#include "core/numbers.hpp"
#include "http/router.hpp"
#include "platform/names.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::tests {
namespace asio = boost::asio;
namespace {
constexpr std::uint64_t kShortestText = 4;
constexpr std::uint64_t kTextSpread = 30;
constexpr core::Duration kDarkness = std::chrono::seconds(30);

std::string header(const http::RequestHead& request, std::string_view name) {
  return std::string(request.headers.find(name).value_or(""));
}
}  // namespace

StandInReplica::StandInReplica(asio::any_io_executor executor, std::string id, std::string service,
                               bool is_model, Ledger& ledger, Arrivals& arrivals,
                               core::Metrics& metrics)
    : id_(std::move(id)),
      service_(std::move(service)),
      is_model_(is_model),
      ledger_(ledger),
      arrivals_(arrivals),
      executor_(std::move(executor)),
      metrics_(metrics) {
  if (is_model_) {
    versions["model"] = 1;
  }
}

core::Result<void> StandInReplica::listen(const core::Address& address) {
  address_ = address;
  server_ = std::make_unique<http::Server>(executor_, "stand-in replica", http::ServerLimits(),
                                           *this, metrics_);
  return server_->listen(address);
}

std::string StandInReplica::life_id() const {
  return life_ == 1 ? id_ : id_ + "." + std::to_string(life_);
}

std::vector<std::string> StandInReplica::take_lapsed() {
  const auto now = std::chrono::steady_clock::now();
  std::vector<std::string> lapsed;
  std::erase_if(ended_lives_, [&](const EndedLife& life) {
    const bool has_lapsed = now >= life.at + kEntryLapse;
    if (has_lapsed) {
      lapsed.push_back(life.id);
    }
    return has_lapsed;
  });
  return lapsed;
}

std::uint64_t StandInReplica::unix_milliseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

void StandInReplica::crash(const std::string& body) {
  if (ended_) {
    return;
  }
  ended_ = true;
  const auto now = std::chrono::steady_clock::now();
  crashes.push_back({now, life_id(), body});
  if (!keeps_name) {  // otherwise the next life's entry takes the place of this one's
    ended_lives_.push_back({life_id(), now});
  }
  server_->abort();
  if (faults.listener_lag > std::chrono::milliseconds(0)) {
    linger();
  }
  runtime::start(executor_, "stand-in restart", restart(this));
}

void StandInReplica::linger() {
  // Opened here and not by the coroutine, which starts later: nobody is refused in between.
  const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address_.ip), address_.port);
  auto listener = std::make_shared<asio::ip::tcp::acceptor>(executor_, endpoint);
  const auto close_after = [](std::shared_ptr<asio::ip::tcp::acceptor> open,
                              core::Duration lag) -> asio::awaitable<void> {
    co_await runtime::sleep_for(lag);
    open->close();
  };
  runtime::start(executor_, "stand-in listener",
                 close_after(std::move(listener), faults.listener_lag));
}

asio::awaitable<void> StandInReplica::restart(StandInReplica* self) {
  co_await runtime::sleep_for(self->faults.restart);
  ++self->life_;
  self->born_ = unix_milliseconds();
  self->ended_ = false;
  self->orders_ = 0;
  self->listen(self->address_).value();
}

std::string StandInReplica::entry() const {
  nlohmann::json models = nlohmann::json::array();
  for (const auto& [model, version] : versions) {
    models.push_back(
        {{"name", model}, {"version", version}, {"adapters", nlohmann::json::array()}});
  }
  nlohmann::json entry = {{"service", service_},
                          {"address", core::to_string(address_)},
                          {"zone", zone},
                          {"version", "v1"},
                          {"slots", 8},
                          {"coldRemainingMs", is_cold() ? cold_length_.count() : 0},
                          {"state", draining ? "draining" : "ready"},
                          {"models", models}};
  if (keeps_name) {
    entry["born"] = born_;
  }
  return entry.dump();
}

void StandInReplica::turn_cold(std::chrono::milliseconds length) {
  cold_length_ = length;
  cold_until_ = std::chrono::steady_clock::now() + length;
}

std::string StandInReplica::event_data(const std::string& request, std::uint64_t number) {
  return request + "." + std::to_string(core::hash64(request, number) % 100000);
}
std::uint64_t StandInReplica::text_length(const std::string& request) {
  return kShortestText + core::hash64(request, 0) % kTextSpread;
}
std::string StandInReplica::whole_text(const std::string& request) {
  std::string text;
  for (std::uint64_t number = 1; number <= text_length(request); ++number) {
    text += (number > 1 ? "\n" : "") + event_data(request, number);
  }
  return text;
}
std::string StandInReplica::signature(const std::string& request) {
  return "stamp." + request;
}

bool StandInReplica::take(int& left) {
  if (left <= 0) {
    return false;
  }
  --left;
  return true;
}

http::Response StandInReplica::report() const {
  nlohmann::json models = nlohmann::json::array();
  for (const auto& [model, version] : versions) {
    models.push_back({{"name", model}, {"version", version}});
  }
  nlohmann::json report = {{"models", models}, {"busy", false}, {"sequence", orders_}};
  if (keeps_name) {
    report["born"] = born_;
  }
  return http::json_response(200, report.dump());
}

http::Response StandInReplica::order(const std::string& body) {
  const nlohmann::json order = nlohmann::json::parse(body, nullptr, false);
  if (order.is_discarded() || !order.contains("holder") || !order.contains("fence")) {
    return http::json_response(400, "{}");
  }
  if (order.value("expectedCount", orders_) != orders_) {
    return http::json_response(409, "{}");
  }
  ++orders_;
  order_holders.push_back(order["holder"]);
  versions[order["model"]] = order["version"];
  return http::json_response(202, "{}");
}

asio::awaitable<void> StandInReplica::handle(const http::RequestHead& request,
                                             http::BodySource& body,
                                             http::ResponseWriter& response) {
  const core::Result<std::string> whole = co_await http::read_whole(body, 32u << 20);
  if (!whole || faults.down || ended_) {
    co_return;
  }
  const std::string path(http::path_of(request.target));
  if (path == platform::kReportPath) {
    co_await response.send(report());
    co_return;
  }
  if (path == platform::kOrderPath) {
    const bool is_lost = take(faults.lost_orders);
    http::Response answer = order(*whole);
    if (!is_lost) {
      co_await response.send(std::move(answer));
    }
    co_return;
  }
  const std::string request_id = header(request, platform::kRequestIdHeader);
  const std::string expected = header(request, platform::kExpectInstanceHeader);
  http::Response refusal;
  refusal.head.headers.add(std::string(platform::kRequestIdHeader), request_id);
  if (!expected.empty() && expected != listed_id()) {
    refusal.head.status = 421;
    co_await response.send(std::move(refusal));
    co_return;
  }
  arrivals_.push_back({std::chrono::steady_clock::now(), life_id(), zone, request_id, is_cold()});
  if (take(faults.not_run)) {
    refusal.head.status = 503;
    refusal.head.headers.add(std::string(platform::kNotRunHeader), "1");
    co_await response.send(std::move(refusal));
    co_return;
  }
  const auto resume_after =
      core::parse_number<std::uint64_t>(header(request, platform::kLastEventIdHeader)).value_or(0);
  ledger_.push_back({request_id, life_id(), service_, path, *whole, resume_after,
                     header(request, platform::kTenantHeader),
                     request.headers.find(platform::kAuthorizationHeader).has_value()});
  if (whole->starts_with(kCrashingBody) && !faults.bears_crashing_bodies) {
    co_await runtime::sleep_for(faults.work / 2);
    crash(*whole);
    co_return;
  }
  if (faults.dark) {
    co_await runtime::sleep_for(kDarkness);
    co_return;
  }
  if (take(faults.server_errors)) {
    refusal.head.status = 500;
    co_await response.send(std::move(refusal));
    co_return;
  }
  if (is_model_) {
    co_await answer_stream(request_id, resume_after, response);
  } else {
    co_await answer_whole(request_id, response);
  }
}

asio::awaitable<void> StandInReplica::answer_whole(const std::string& request_id,
                                                   http::ResponseWriter& response) {
  co_await runtime::sleep_for(faults.work);
  if (take(faults.cut_answers)) {
    co_return;
  }
  http::Response answer;
  answer.head.headers.add(std::string(platform::kRequestIdHeader), request_id);
  answer.head.headers.add(std::string(platform::kStampHeader), signature(request_id));
  answer.body = "answer to " + request_id;
  if (answer.body.size() < faults.answer_bytes) {
    answer.body.resize(faults.answer_bytes, '.');
  }
  if (!faults.chunked) {
    co_await response.send(std::move(answer));
  } else if (co_await response.start(std::move(answer.head), std::nullopt)) {
    co_await response.write(answer.body);
    co_await response.finish();
  }
}

asio::awaitable<void> StandInReplica::answer_stream(const std::string& request_id,
                                                    std::uint64_t resume_after,
                                                    http::ResponseWriter& response) {
  std::uint64_t version = versions["model"];
  http::ResponseHead head;
  head.headers.add("Content-Type", "text/event-stream");
  head.headers.add(std::string(platform::kRequestIdHeader), request_id);
  head.headers.add(std::string(platform::kStampHeader), signature(request_id));
  head.headers.add(std::string(platform::kVersionsHeader), std::to_string(version));
  if (!co_await response.start(std::move(head), std::nullopt)) {
    co_return;
  }
  int made = 0;
  for (std::uint64_t number = resume_after + 1; number <= text_length(request_id); ++number) {
    co_await runtime::sleep_for(faults.event_gap);
    while (faults.dark && !response.client_gone()) {
      co_await runtime::sleep_for(std::chrono::milliseconds(50));
    }
    const bool is_cut = faults.cut_after_events >= 0 && made >= faults.cut_after_events;
    std::string event;
    if (versions["model"] != version) {
      version = versions["model"];
      event += std::string(platform::kVersionsEventField) + ": " + std::to_string(version) + "\n";
    }
    event += "id: " + std::to_string(number) + "\ndata: " + event_data(request_id, number) + "\n\n";
    if (is_cut) {
      // Breaks off in the middle of an event.
      co_await response.write(event.substr(0, event.size() / 2));
      co_return;
    }
    const core::Result<void> written = co_await response.write(event);
    if (!written) {
      co_return;
    }
    ++made;
  }
  co_await response.finish();
}

}  // namespace stoneport::tests
