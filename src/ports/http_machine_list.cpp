#include "ports/http_machine_list.hpp"

#include "ports/json_fields.hpp"

namespace stoneport::ports {
namespace {

/// Same limit as for names in gossip packets.
constexpr std::size_t kMaxIdBytes = 128;

std::string decode_id(const JsonFields& fields) {
  std::string id = fields.text("id");
  if (id.empty() || id.size() > kMaxIdBytes) {
    fields.reject("id", "expected 1 to 128 bytes");
  }
  return id;
}

MachineRole decode_role(const JsonFields& fields) {
  const std::string role = fields.text("role");
  if (role == "node") {
    return MachineRole::kNode;
  }
  if (role == "engine") {
    return MachineRole::kEngine;
  }
  if (role != "service") {
    fields.reject("role", "expected node, engine or service");
  }
  return MachineRole::kService;
}

MachineState decode_state(const JsonFields& fields) {
  const std::string state = fields.text("state");
  if (state != "live" && state != "leaving") {
    fields.reject("state", "expected live or leaving");
  }
  return state == "live" ? MachineState::kLive : MachineState::kLeaving;
}

std::uint16_t decode_port(const JsonFields& fields) {
  const std::uint64_t port = fields.unsigned64("port");
  if (port == 0 || port > std::numeric_limits<std::uint16_t>::max()) {
    fields.reject("port", "expected a port number");
    return 0;
  }
  return static_cast<std::uint16_t>(port);
}

Machine decode_machine(const JsonFields& fields) {
  Machine machine;
  machine.id = decode_id(fields);
  machine.role = decode_role(fields);
  machine.serves = fields.text("serves");
  machine.address = core::Address{fields.text("ip"), decode_port(fields)};
  machine.zone = core::ZoneName(fields.text("zone"));
  machine.region = core::RegionName(fields.text("region"));
  machine.incarnation = core::Incarnation(fields.unsigned64("incarnation"));
  machine.state = decode_state(fields);
  return machine;
}

core::Result<std::vector<Machine>> parse_machines(const std::string& body) {
  return decode_json(body, [](const JsonFields& fields) {
    std::vector<Machine> machines;
    for (const JsonFields& element : fields.objects("machines")) {
      machines.push_back(decode_machine(element));
    }
    return machines;
  });
}

}  // namespace

boost::asio::awaitable<core::Result<std::vector<Machine>>> HttpMachineList::list() {
  auto body = co_await endpoint_.get("/v1/machines");
  if (!body) {
    co_return body.error();
  }
  co_return parse_machines(*body);
}

}  // namespace stoneport::ports
