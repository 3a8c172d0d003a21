/// \file
/// The routes of ControlInterface for trainers and relays.
#include "core/json_text.hpp"
#include "emulator/control_interface.hpp"
#include "emulator/emulator.hpp"
#include "emulator/http_answers.hpp"

namespace stoneport::emulator {
namespace {

using nlohmann::json;

struct DaemonBody {
  std::string ip = "127.0.0.1";
  std::uint16_t port = 0;
};
template <class Visitor>
void visit_fields(Visitor& visitor, DaemonBody& body) {
  visitor("ip", body.ip);
  visitor("port", body.port);
}

}  // namespace

void ControlInterface::add_trainer_routes() {
  http::Router& router = listener_.router();
  const std::string trainer = "/control/trainers/{name}";
  /// A route that finds the trainer first.
  const auto with_trainer = [this](auto function) {
    return at_once([this, function](const http::RoutedRequest& request) {
      const auto found = emulator_.trainers_.find(request.parameters.at("name"));
      return found == emulator_.trainers_.end() ? not_found_answer("trainer")
                                                : function(*found->second, request);
    });
  };
  router.add("GET", trainer, with_trainer([](TrainerDriver& driver, const auto&) {
               return json_answer(200, write_json(driver.report()));
             }));
  router.add("POST", trainer + "/run",
             at_once([this](const http::RoutedRequest& r) { return start_trainer(r); }));
  router.add("POST", trainer + "/publish", with_trainer([](TrainerDriver& driver, const auto&) {
               driver.publish_soon();
               return empty_answer();
             }));
  router.add("POST", trainer + "/stop", with_trainer([](TrainerDriver& driver, const auto&) {
               driver.stop();
               return empty_answer();
             }));
  router.add("PUT", trainer + "/switches",
             with_trainer([](TrainerDriver& driver, const http::RoutedRequest& request) {
               TrainerSwitches switches = driver.switches();
               const json body = core::parse_json(request.body).value_or(json());
               const core::Result<void> read = read_json(body, switches);
               if (read) {
                 driver.set_switches(switches);
               }
               return outcome_answer(read);
             }));
  router.add("PUT", trainer + "/daemon",
             with_trainer([](TrainerDriver& driver, const http::RoutedRequest& request) {
               const auto body = parse_json<DaemonBody>(request.body);
               if (!body) {
                 return error_answer(body.error());
               }
               driver.set_daemon({body->ip, body->port});
               return empty_answer();
             }));
}

void ControlInterface::add_relay_routes() {
  http::Router& router = listener_.router();
  router.add("GET", "/control/relays", at_once([this](const http::RoutedRequest&) {
               json all = json::object();
               for (const auto& [name, relay] : emulator_.relays_) {
                 all[name] = {{"ip", relay->address().ip},
                              {"port", relay->address().port},
                              {"switches", write_json(relay->switches())},
                              {"totals", write_json(relay->totals())}};
               }
               return json_answer(200, {{"relays", std::move(all)}});
             }));
  router.add("PUT", "/control/relays/{name}",
             at_once([this](const http::RoutedRequest& request) { return put_relay(request); }));
}

http::Response ControlInterface::put_relay(const http::RoutedRequest& request) {
  const auto found = emulator_.relays_.find(request.parameters.at("name"));
  if (found == emulator_.relays_.end()) {
    return not_found_answer("relay");
  }
  RelaySwitches switches = found->second->switches();
  const json body = core::parse_json(request.body).value_or(json());
  const core::Result<void> read = read_json(body, switches);
  if (read) {
    found->second->set(switches);
  }
  return outcome_answer(read);
}

http::Response ControlInterface::start_trainer(const http::RoutedRequest& request) {
  const auto found = emulator_.trainers_.find(request.parameters.at("name"));
  if (found == emulator_.trainers_.end()) {
    return not_found_answer("trainer");
  }
  const auto run = parse_json<TrainerRun>(request.body);
  if (!run) {
    return error_answer(run.error());
  }
  if (run->event.empty() || run->policy.empty()) {
    return error_answer(invalid_argument("event and policy are needed"));
  }
  const core::Result<void> started = found->second->start(*run);
  return started ? json_answer(202, json::object()) : error_answer(started.error());
}

}  // namespace stoneport::emulator
