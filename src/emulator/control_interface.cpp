#include "emulator/control_interface.hpp"

#include "core/json_text.hpp"
#include "emulator/emulator.hpp"
#include "emulator/http_answers.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::emulator {
namespace {

namespace asio = boost::asio;
using nlohmann::json;

/// Runs \p function on another event loop and returns its value.
template <class Function>
asio::awaitable<std::invoke_result_t<Function>> on_loop(asio::any_io_executor executor,
                                                        Function function) {
  using Value = std::invoke_result_t<Function>;
  const auto task = [](Function inner) -> asio::awaitable<Value> { co_return inner(); };
  asio::awaitable<Value> running = task(std::move(function));
  co_return co_await runtime::run_on(std::move(executor), std::move(running));
}

struct TimeScaleBody {
  double time_scale = 1;
};
template <class Visitor>
void visit_fields(Visitor& visitor, TimeScaleBody& body) {
  visitor("time_scale", body.time_scale);
}

struct LedgerQuery {
  std::vector<std::string> ids;
};
template <class Visitor>
void visit_fields(Visitor& visitor, LedgerQuery& query) {
  visitor("ids", query.ids);
}

/// The switches of an engine: those of its listener and its own, in one object.
struct EngineSwitches {
  ListenerFaults listener;
  EngineFaults engine;
};
template <class Visitor>
void visit_fields(Visitor& visitor, EngineSwitches& switches) {
  visit_fields(visitor, switches.listener);
  visit_fields(visitor, switches.engine);
}

/// The switches of the machine list: those of its listener and its own.
struct MachineListSwitches {
  ListenerFaults listener;
  MachineListFaults list;
};
template <class Visitor>
void visit_fields(Visitor& visitor, MachineListSwitches& switches) {
  visit_fields(visitor, switches.listener);
  visit_fields(visitor, switches.list);
}

constexpr const char* kMachineList = "machine_list";

}  // namespace

ControlInterface::ControlInterface(Emulator& emulator)
    : emulator_(emulator),
      listener_(emulator.control_loop_.executor(), "control", emulator.metrics_) {
  add_fault_routes();
  add_back_end_routes();
  add_machine_routes();
  add_trainer_routes();
  add_relay_routes();
}

void ControlInterface::add_fault_routes() {
  http::Router& router = listener_.router();
  const std::string faults = "/control/faults/{party}";
  router.add("GET", faults, [this](http::RoutedRequest request) {
    return get_faults(request.parameters.at("party"));
  });
  router.add("PUT", faults, [this](http::RoutedRequest request) {
    return put_faults(request.parameters.at("party"), request.body);
  });
  router.add("DELETE", faults, [this](http::RoutedRequest request) {
    return reset_faults(request.parameters.at("party"));
  });
  router.add("GET", "/control/time_scale", at_once([this](const http::RoutedRequest&) {
               return json_answer(200, {{"time_scale", emulator_.clock_.scale()}});
             }));
  router.add("PUT", "/control/time_scale", at_once([this](const http::RoutedRequest& request) {
               const auto body = parse_json<TimeScaleBody>(request.body);
               if (!body || body->time_scale <= 0) {
                 return error_answer(invalid_argument("time_scale: expected above 0"));
               }
               emulator_.clock_.set_scale(body->time_scale);
               return empty_answer();
             }));
}

void ControlInterface::add_back_end_routes() {
  http::Router& router = listener_.router();
  router.add("GET", "/control/ports", at_once([this](const http::RoutedRequest&) {
               return json_answer(200, emulator_.ports());
             }));
  router.add("GET", "/control/engines", [this](http::RoutedRequest) { return get_engines(); });
  router.add("GET", "/control/services", [this](http::RoutedRequest) { return get_services(); });
  router.add("POST", "/control/back_ends/{id}/crash",
             [this](http::RoutedRequest request) { return crash(request.parameters.at("id")); });
  router.add("POST", "/control/back_ends/{id}/restart",
             [this](http::RoutedRequest request) { return restart(request.parameters.at("id")); });
  router.add("POST", "/control/back_ends/{id}/leave",
             [this](http::RoutedRequest request) { return leave(request.parameters.at("id")); });
  const std::string ledger = "/control/services/{service}/ledger";
  router.add("GET", ledger, at_once([this](const http::RoutedRequest& request) {
               const auto found = emulator_.ledgers_.find(request.parameters.at("service"));
               return found == emulator_.ledgers_.end()
                          ? not_found_answer("service")
                          : json_answer(200, write_json(found->second->summary()));
             }));
  router.add("POST", ledger + "/runs", at_once([this](const http::RoutedRequest& request) {
               const auto found = emulator_.ledgers_.find(request.parameters.at("service"));
               const auto query = parse_json<LedgerQuery>(request.body);
               if (found == emulator_.ledgers_.end()) {
                 return not_found_answer("service");
               }
               if (!query) {
                 return error_answer(query.error());
               }
               json runs = json::object();
               for (const std::string& id : query->ids) {
                 runs[id] = found->second->runs_of(id);
               }
               return json_answer(200, {{"runs", std::move(runs)}});
             }));
}

void ControlInterface::add_machine_routes() {
  http::Router& router = listener_.router();
  router.add("GET", "/control/machines",
             at_once([this](const http::RoutedRequest&) { return machines(false); }));
  router.add("PUT", "/control/machines/{id}",
             at_once([this](const http::RoutedRequest& request) { return put_machine(request); }));
  router.add("DELETE", "/control/machines/{id}",
             at_once([this](const http::RoutedRequest& request) {
               const std::string& id = request.parameters.at("id");
               const bool erased = emulator_.catalog_.erase(id, emulator_.time_.now());
               return erased ? empty_answer() : not_found_answer("machine");
             }));
  emulator_.machine_list_->router().add(
      "GET", "/v1/machines",
      at_once([this](const http::RoutedRequest&) { return machines(true); }));
}

FaultyListener* ControlInterface::find_listener(const std::string& party) {
  const std::map<std::string, FaultyListener*> platform = {
      {"table_service", emulator_.table_.get()},
      {"object_store", emulator_.objects_.get()},
      {"weight_store", emulator_.weight_listener_.get()},
      {"scoring_service", emulator_.scoring_.get()},
      {kMachineList, emulator_.machine_list_.get()}};
  const auto service = platform.find(party);
  if (service != platform.end()) {
    return service->second;
  }
  const auto engine = emulator_.engines_.find(party);
  if (engine != emulator_.engines_.end()) {
    return engine->second.get();
  }
  const auto replica = emulator_.replicas_.find(party);
  return replica == emulator_.replicas_.end() ? nullptr : replica->second.get();
}

ControlInterface::Answer ControlInterface::get_faults(std::string party) {
  FaultyListener* listener = find_listener(party);
  if (listener == nullptr) {
    co_return not_found_answer("party");
  }
  const auto engine = emulator_.engines_.find(party);
  const auto read = [&]() -> json {
    json switches = write_json(listener->faults());
    if (engine != emulator_.engines_.end()) {
      switches.update(write_json(engine->second->model().faults()));
    } else if (party == kMachineList) {
      switches.update(write_json(emulator_.catalog_.faults()));
    }
    return switches;
  };
  const json switches = co_await on_loop(listener->executor(), read);
  co_return json_answer(200, switches);
}

ControlInterface::Answer ControlInterface::put_faults(std::string party, std::string body) {
  FaultyListener* listener = find_listener(party);
  if (listener == nullptr) {
    co_return not_found_answer("party");
  }
  const auto engine = emulator_.engines_.find(party);
  if (engine != emulator_.engines_.end()) {
    co_return co_await put_engine_faults(*engine->second, std::move(body));
  }
  const json changes = core::parse_json(body).value_or(json());
  if (party == kMachineList) {
    MachineListSwitches switches{listener->faults(), emulator_.catalog_.faults()};
    const core::Result<void> read = read_json(changes, switches);
    if (read) {
      listener->faults() = switches.listener;
      emulator_.catalog_.set_faults(switches.list, emulator_.time_.now());
    }
    co_return outcome_answer(read);
  }
  const auto change = [&] { return read_json(changes, listener->faults()); };
  const core::Result<void> outcome = co_await on_loop(listener->executor(), change);
  co_return outcome_answer(outcome);
}

ControlInterface::Answer ControlInterface::put_engine_faults(EngineListener& engine,
                                                             std::string body) {
  const json changes = core::parse_json(body).value_or(json());
  const auto change = [&]() -> core::Result<void> {
    EngineSwitches switches{engine.faults(), engine.model().faults()};
    const core::Result<void> read = read_json(changes, switches);
    if (read) {
      engine.faults() = switches.listener;
      engine.set_engine_faults(switches.engine);
    }
    return read;
  };
  const core::Result<void> outcome = co_await on_loop(engine.executor(), change);
  co_return outcome_answer(outcome);
}

ControlInterface::Answer ControlInterface::reset_faults(std::string party) {
  FaultyListener* listener = find_listener(party);
  if (listener == nullptr) {
    co_return not_found_answer("party");
  }
  const auto engine = emulator_.engines_.find(party);
  const auto reset = [&] {
    listener->faults() = ListenerFaults{};
    if (engine != emulator_.engines_.end()) {
      engine->second->set_engine_faults(EngineFaults{});
    } else if (party == kMachineList) {
      emulator_.catalog_.set_faults(MachineListFaults{}, emulator_.time_.now());
    }
    return true;
  };
  co_await on_loop(listener->executor(), reset);
  co_return empty_answer();
}

ControlInterface::Answer ControlInterface::get_engines() {
  json engines = json::array();
  for (const auto& [id, engine] : emulator_.engines_) {
    EngineListener* listener = engine.get();
    const auto read = [listener] { return listener->truth_json(); };
    json truth = co_await on_loop(listener->executor(), read);
    engines.push_back(std::move(truth));
  }
  co_return json_answer(200, {{"engines", std::move(engines)}});
}

ControlInterface::Answer ControlInterface::get_services() {
  json replicas = json::array();
  for (const auto& [id, replica] : emulator_.replicas_) {
    ServiceReplica* listener = replica.get();
    const auto read = [listener] { return listener->truth_json(); };
    json truth = co_await on_loop(listener->executor(), read);
    replicas.push_back(std::move(truth));
  }
  co_return json_answer(200, {{"replicas", std::move(replicas)}});
}

ControlInterface::Answer ControlInterface::crash(std::string id) {
  FaultyListener* listener = find_listener(id);
  if (listener == nullptr) {
    co_return not_found_answer("back end");
  }
  const auto engine = emulator_.engines_.find(id);
  const auto down = [&] {
    engine != emulator_.engines_.end() ? engine->second->crash() : listener->go_down();
    return true;
  };
  co_await on_loop(listener->executor(), down);
  co_return empty_answer();
}

ControlInterface::Answer ControlInterface::restart(std::string id) {
  FaultyListener* listener = find_listener(id);
  if (listener == nullptr) {
    co_return not_found_answer("back end");
  }
  const auto engine = emulator_.engines_.find(id);
  const auto replica = emulator_.replicas_.find(id);
  const auto up = [&]() -> core::Result<std::uint64_t> {
    core::Result<void> listening;
    std::uint64_t incarnation = 0;
    if (engine != emulator_.engines_.end()) {
      listening = engine->second->restart();
      incarnation = engine->second->incarnation();
    } else if (replica != emulator_.replicas_.end()) {
      listening = replica->second->restart();
      incarnation = replica->second->incarnation();
    } else {
      listening = listener->come_up();
    }
    return listening ? core::Result<std::uint64_t>(incarnation) : listening.error();
  };
  const core::Result<std::uint64_t> incarnation = co_await on_loop(listener->executor(), up);
  if (!incarnation) {
    co_return error_answer(incarnation.error());
  }
  publish_entry(id, "live", *incarnation);
  co_return empty_answer();
}

ControlInterface::Answer ControlInterface::leave(std::string id) {
  FaultyListener* listener = find_listener(id);
  const auto engine = emulator_.engines_.find(id);
  const auto replica = emulator_.replicas_.find(id);
  const bool is_engine = engine != emulator_.engines_.end();
  if (!is_engine && replica == emulator_.replicas_.end()) {
    co_return not_found_answer("back end");
  }
  const auto begin = [&]() -> std::uint64_t {
    if (is_engine) {
      engine->second->leave();
      return engine->second->incarnation();
    }
    replica->second->leave();
    return replica->second->incarnation();
  };
  const std::uint64_t incarnation = co_await on_loop(listener->executor(), begin);
  publish_entry(id, "leaving", incarnation);
  co_return empty_answer();
}

void ControlInterface::publish_entry(const std::string& id, const std::string& state,
                                     std::uint64_t incarnation) {
  const auto place = emulator_.places_.find(id);
  if (place == emulator_.places_.end()) {
    return;
  }
  MachineEntry entry = place->second.entry;
  entry.state = state;
  entry.incarnation = incarnation;
  emulator_.catalog_.put(std::move(entry), emulator_.time_.now());
}

http::Response ControlInterface::machines(bool published) {
  MachineCatalog& catalog = emulator_.catalog_;
  const MachineCatalog::Entries& entries =
      published ? catalog.published(emulator_.time_.now()) : catalog.entries();
  json list = json::array();
  for (const auto& [id, entry] : entries) {
    list.push_back(write_json(entry));
  }
  return json_answer(200, {{"machines", std::move(list)}});
}

http::Response ControlInterface::put_machine(const http::RoutedRequest& request) {
  const std::string& id = request.parameters.at("id");
  const auto& entries = emulator_.catalog_.entries();
  const auto known = entries.find(id);
  MachineEntry entry = known == entries.end() ? MachineEntry{} : known->second;
  const json changes = core::parse_json(request.body).value_or(json());
  const core::Result<void> read = read_json(changes, entry);
  if (read) {
    entry.id = id;
    emulator_.catalog_.put(std::move(entry), emulator_.time_.now());
  }
  return outcome_answer(read);
}

}  // namespace stoneport::emulator
