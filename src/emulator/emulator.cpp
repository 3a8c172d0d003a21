#include "emulator/emulator.hpp"

#include "emulator/control_interface.hpp"
#include "emulator/http_answers.hpp"

namespace stoneport::emulator {
namespace {

namespace asio = boost::asio;
using nlohmann::json;

json address_json(const core::Address& address) {
  return {{"ip", address.ip}, {"port", address.port}};
}

/// \return the first id of the form base-N that is free.
template <class Map>
std::string free_id(const Map& taken, const std::string& base) {
  std::size_t number = 1;
  while (taken.contains(base + "-" + std::to_string(number))) {
    ++number;
  }
  return base + "-" + std::to_string(number);
}

std::uint16_t port_of(std::uint16_t first, std::uint32_t index) {
  return first == 0 ? 0 : static_cast<std::uint16_t>(first + index);
}

/// Retention is meant in real time; the models count in model time.
EngineSettings with_real_retention(EngineSettings settings, double scale) {
  const auto scaled = [scale](core::Duration length) {
    return core::from_seconds(core::to_seconds(length) * scale);
  };
  settings.finished_retention = scaled(settings.finished_retention);
  settings.export_retention = scaled(settings.export_retention);
  return settings;
}

}  // namespace

Emulator::Emulator(EmulatorSettings settings)
    : settings_(std::move(settings)),
      clock_(settings_.time_scale),
      weights_(settings_.weight_bytes_per_second) {
  build();
}

Emulator::~Emulator() {
  stop();
}

void Emulator::build() {
  const asio::any_io_executor control = control_loop_.executor();
  for (std::uint32_t index = 0; index < settings_.engine_threads; ++index) {
    const std::string name = "traffic-" + std::to_string(index);
    traffic_loops_.push_back(std::make_unique<runtime::EventLoopThread>(name));
  }
  for (const PolicySettings& policy : settings_.policies) {
    weights_.publish(policy.name, policy.version, policy.size_bytes);
  }
  table_ = std::make_unique<TableListener>(control, metrics_);
  table_->faults().requests_per_second = settings_.table_requests_per_second;
  objects_ = std::make_unique<ObjectListener>(control, metrics_);
  objects_->faults().requests_per_second = settings_.object_requests_per_second;
  weight_listener_ = std::make_unique<WeightListener>(control, metrics_, weights_);
  scoring_ = std::make_unique<ScoringListener>(control, metrics_);
  machine_list_ = std::make_unique<FaultyListener>(control, "machine_list", metrics_);
  for (const EngineGroup& group : settings_.engines) {
    build_engines(group);
  }
  for (const ServiceGroup& group : settings_.services) {
    build_services(group);
  }
  for (const TrainerSettings& trainer : settings_.trainers) {
    const core::Address daemon{trainer.ip, trainer.port};
    trainers_[trainer.name] = std::make_unique<TrainerDriver>(control, trainer.name, daemon,
                                                              weights_, truth_, clock_, metrics_);
  }
  for (const RelaySettings& relay : settings_.relays) {
    const core::Address target{relay.target_ip, relay.target_port};
    relays_[relay.name] =
        relay.protocol == "udp" ? make_udp_relay(control, target) : make_tcp_relay(control, target);
  }
  control_ = std::make_unique<ControlInterface>(*this);
}

void Emulator::build_engines(const EngineGroup& group) {
  EngineSettings engine = group.engine.value_or(settings_.engine_defaults);
  engine.model = group.model;
  engine.policy = group.policy;
  engine.initial_version = group.initial_version;
  engine = with_real_retention(std::move(engine), settings_.time_scale);
  const EngineWorld world{clock_,   weights_,       truth_,
                          metrics_, settings_.seed, settings_.flush_tokens};
  for (std::uint32_t index = 0; index < group.count; ++index) {
    const std::string id = free_id(engines_, group.model.value() + "-" + group.zone);
    engines_[id] =
        std::make_unique<EngineListener>(next_traffic_loop(), core::ReplicaId(id), engine, world);
    const core::Address address{group.ip, port_of(group.first_port, index)};
    places_[id] = {address,
                   {id, "engine", group.model.value(), group.ip, 0, group.zone, group.region}};
  }
}

void Emulator::build_services(const ServiceGroup& group) {
  auto& ledger = ledgers_[group.service];
  if (!ledger) {
    ledger = std::make_unique<ServiceLedger>();
  }
  for (std::uint32_t index = 0; index < group.count; ++index) {
    const std::string id = free_id(replicas_, group.service + "-" + group.zone);
    ReplicaIdentity identity{id, group.service, group.delay};
    replicas_[id] = std::make_unique<ServiceReplica>(next_traffic_loop(), std::move(identity),
                                                     *ledger, metrics_);
    const core::Address address{group.ip, port_of(group.first_port, index)};
    places_[id] = {address, {id, "service", group.service, group.ip, 0, group.zone, group.region}};
  }
}

asio::any_io_executor Emulator::next_traffic_loop() {
  return traffic_loops_[next_loop_++ % traffic_loops_.size()]->executor();
}

core::Result<void> Emulator::start() {
  const core::Result<void> listening = listen_all();
  if (!listening) {
    return listening;
  }
  fill_catalog();
  for (const auto& [id, engine] : engines_) {
    engine->run();
  }
  control_loop_.run();
  for (const auto& loop : traffic_loops_) {
    loop->run();
  }
  return {};
}

core::Result<void> Emulator::listen_all() {
  core::Result<void> listening = listen_platform();
  for (const auto& [id, engine] : engines_) {
    listening = listening ? engine->listen(places_.at(id).address) : listening;
  }
  for (const auto& [id, replica] : replicas_) {
    listening = listening ? replica->listen(places_.at(id).address) : listening;
  }
  for (const RelaySettings& relay : settings_.relays) {
    const core::Address address{relay.ip, relay.port};
    listening = listening ? relays_.at(relay.name)->listen(address) : listening;
  }
  return listening;
}

core::Result<void> Emulator::listen_platform() {
  const ListenerPorts& ports = settings_.listeners;
  const std::vector<std::pair<FaultyListener*, std::uint16_t>> listeners = {
      {table_.get(), ports.table_service},          {objects_.get(), ports.object_store},
      {weight_listener_.get(), ports.weight_store}, {machine_list_.get(), ports.machine_list},
      {scoring_.get(), ports.scoring_service},      {&control_->listener(), ports.control}};
  for (const auto& [listener, port] : listeners) {
    const core::Result<void> listening = listener->listen({ports.ip, port});
    if (!listening) {
      return listening;
    }
  }
  return {};
}

void Emulator::fill_catalog() {
  const core::MonotonicTime now = time_.now();
  for (auto& [id, place] : places_) {
    const auto engine = engines_.find(id);
    const bool is_engine = engine != engines_.end();
    place.address = is_engine ? engine->second->address() : replicas_.at(id)->address();
    place.entry.port = place.address.port;
    catalog_.put(place.entry, now);
  }
  for (MachineEntry node : settings_.nodes) {
    node.role = "node";
    catalog_.put(std::move(node), now);
  }
}

void Emulator::stop() {
  for (const auto& loop : traffic_loops_) {
    loop->stop();
  }
  control_loop_.stop();
}

core::Address Emulator::control_address() const {
  return control_->listener().address();
}

json Emulator::ports() const {
  json all = {{"control", address_json(control_address())},
              {"table_service", address_json(table_->address())},
              {"object_store", address_json(objects_->address())},
              {"weight_store", address_json(weight_listener_->address())},
              {"machine_list", address_json(machine_list_->address())},
              {"scoring_service", address_json(scoring_->address())},
              {"engines", json::object()},
              {"services", json::object()},
              {"relays", json::object()}};
  for (const auto& [id, engine] : engines_) {
    all["engines"][id] = address_json(engine->address());
  }
  for (const auto& [id, replica] : replicas_) {
    all["services"][id] = address_json(replica->address());
  }
  for (const auto& [name, relay] : relays_) {
    all["relays"][name] = address_json(relay->address());
  }
  return all;
}

}  // namespace stoneport::emulator
