#include "emulator/settings.hpp"

#include <toml++/toml.h>

#include <boost/asio/ip/address.hpp>
#include <fstream>
#include <set>
#include <sstream>

namespace stoneport::emulator {

template <class Visitor>
void visit_fields(Visitor& visitor, ListenerPorts& ports) {
  visitor("ip", ports.ip);
  visitor("control", ports.control);
  visitor("table_service", ports.table_service);
  visitor("object_store", ports.object_store);
  visitor("weight_store", ports.weight_store);
  visitor("machine_list", ports.machine_list);
  visitor("scoring_service", ports.scoring_service);
}

template <class Visitor>
void visit_fields(Visitor& visitor, PolicySettings& policy) {
  visitor("name", policy.name);
  visitor("version", policy.version);
  visitor("size_bytes", policy.size_bytes);
}

template <class Visitor>
void visit_fields(Visitor& visitor, EngineGroup& group) {
  visitor("model", group.model);
  visitor("policy", group.policy);
  visitor("zone", group.zone);
  visitor("region", group.region);
  visitor("ip", group.ip);
  visitor("first_port", group.first_port);
  visitor("count", group.count);
  visitor("initial_version", group.initial_version);
  visitor("engine", group.engine);
}

template <class Visitor>
void visit_fields(Visitor& visitor, ServiceGroup& group) {
  visitor("service", group.service);
  visitor("zone", group.zone);
  visitor("region", group.region);
  visitor("ip", group.ip);
  visitor("first_port", group.first_port);
  visitor("count", group.count);
  visitor("delay_ms", group.delay);
}

template <class Visitor>
void visit_fields(Visitor& visitor, TrainerSettings& trainer) {
  visitor("name", trainer.name);
  visitor("ip", trainer.ip);
  visitor("port", trainer.port);
}

template <class Visitor>
void visit_fields(Visitor& visitor, RelaySettings& relay) {
  visitor("name", relay.name);
  visitor("protocol", relay.protocol);
  visitor("ip", relay.ip);
  visitor("port", relay.port);
  visitor("target_ip", relay.target_ip);
  visitor("target_port", relay.target_port);
}

template <class Visitor>
void visit_fields(Visitor& visitor, EmulatorSettings& settings) {
  visitor("time_scale", settings.time_scale);
  visitor("seed", settings.seed);
  visitor("engine_threads", settings.engine_threads);
  visitor("flush_tokens", settings.flush_tokens);
  visitor("weight_bytes_per_second", settings.weight_bytes_per_second);
  visitor("table_requests_per_second", settings.table_requests_per_second);
  visitor("object_requests_per_second", settings.object_requests_per_second);
  visitor("log_level", settings.log_level);
  visitor("listeners", settings.listeners);
  visitor("engine_defaults", settings.engine_defaults);
  visitor("policies", settings.policies);
  visitor("engines", settings.engines);
  visitor("services", settings.services);
  visitor("nodes", settings.nodes);
  visitor("trainers", settings.trainers);
  visitor("relays", settings.relays);
}

namespace {

/// Collects what is wrong with settings whose types are right.
class SettingsCheck {
 public:
  void require(bool holds, const std::string& message) {
    if (!holds) {
      text_ += text_.empty() ? message : "; " + message;
    }
  }
  void require_ip(const std::string& ip, const std::string& path) {
    boost::system::error_code error;
    boost::asio::ip::make_address(ip, error);
    require(!error, path + ": not an IP number: " + ip);
  }
  void require_new(const std::string& name, const std::string& path) {
    require(!name.empty(), path + ": missing");
    require(name.empty() || names_.insert(path + "=" + name).second,
            path + ": given twice: " + name);
  }
  core::Result<void> result() const {
    return text_.empty() ? core::Result<void>{}
                         : core::make_error(core::ErrorCode::kInvalidArgument, text_);
  }

 private:
  std::string text_;
  std::set<std::string> names_;
};

void check_engine(SettingsCheck& check, const EngineSettings& engine, const std::string& path) {
  check.require(engine.max_running > 0, path + ".max_running: expected above 0");
  check.require(engine.tokens_per_step > 0, path + ".tokens_per_step: expected above 0");
  check.require(engine.prefix_cache_blocks > 0, path + ".prefix_cache_blocks: expected above 0");
  check.require(engine.step_base > core::Duration::zero(), path + ".step_base_ms: above 0");
  check.require(engine.kv_transfer_bytes_per_second > 0,
                path + ".kv_transfer_bytes_per_second: expected above 0");
  check.require(engine.lengths.median_tokens >= 1, path + ".lengths.median_tokens: 1 or more");
}

void check_groups(SettingsCheck& check, const EmulatorSettings& settings) {
  for (const EngineGroup& group : settings.engines) {
    check.require(!group.model.empty(), "engines.model: missing");
    check.require(!group.policy.empty(), "engines.policy: missing");
    check.require(!group.zone.empty(), "engines.zone: missing");
    check.require_ip(group.ip, "engines.ip");
    if (group.engine) {
      check_engine(check, *group.engine, "engines.engine");
    }
  }
  for (const ServiceGroup& group : settings.services) {
    check.require(!group.service.empty(), "services.service: missing");
    check.require(!group.zone.empty(), "services.zone: missing");
    check.require_ip(group.ip, "services.ip");
  }
}

core::Result<void> check_settings(const EmulatorSettings& settings) {
  SettingsCheck check;
  check.require(settings.time_scale > 0, "time_scale: expected above 0");
  check.require(settings.engine_threads > 0, "engine_threads: expected above 0");
  check.require(settings.weight_bytes_per_second > 0, "weight_bytes_per_second: above 0");
  check.require_ip(settings.listeners.ip, "listeners.ip");
  check_engine(check, settings.engine_defaults, "engine_defaults");
  check_groups(check, settings);
  for (const PolicySettings& policy : settings.policies) {
    check.require(!policy.name.empty(), "policies.name: missing");
  }
  for (const MachineEntry& node : settings.nodes) {
    check.require_new(node.id, "nodes.id");
    check.require_ip(node.ip, "nodes.ip");
  }
  for (const TrainerSettings& trainer : settings.trainers) {
    check.require_new(trainer.name, "trainers.name");
    check.require_ip(trainer.ip, "trainers.ip");
  }
  for (const RelaySettings& relay : settings.relays) {
    check.require_new(relay.name, "relays.name");
    check.require_ip(relay.ip, "relays.ip");
    check.require_ip(relay.target_ip, "relays.target_ip");
    const bool known = relay.protocol == "tcp" || relay.protocol == "udp";
    check.require(known, "relays.protocol: expected tcp or udp");
  }
  return check.result();
}

}  // namespace

core::Result<EmulatorSettings> parse_settings(const std::string& toml_text) {
  std::ostringstream json_text;
  try {
    const toml::table table = toml::parse(toml_text);
    json_text << toml::json_formatter(table);
  } catch (const toml::parse_error& error) {
    return core::make_error(core::ErrorCode::kInvalidArgument,
                            "line " + std::to_string(error.source().begin.line) + ": " +
                                std::string(error.description()));
  }
  const auto settings = parse_json<EmulatorSettings>(json_text.str());
  if (!settings) {
    return settings;
  }
  const auto valid = check_settings(*settings);
  return valid ? settings : core::Result<EmulatorSettings>(valid.error());
}

core::Result<EmulatorSettings> load_settings(const std::string& file) {
  std::ifstream in(file);
  if (!in) {
    return core::make_error(core::ErrorCode::kNotFound, "cannot read " + file);
  }
  std::ostringstream text;
  text << in.rdbuf();
  return parse_settings(text.str());
}

}  // namespace stoneport::emulator
