/// \file
/// Port to the platform's list of live and leaving machines. The list lags behind; it is a hint for
/// discovery and no evidence that a machine is alive.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <string>
#include <vector>

#include "core/error.hpp"
#include "core/identifiers.hpp"

namespace stoneport::ports {

enum class MachineRole { kNode, kEngine, kService };
enum class MachineState { kLive, kLeaving };

struct Machine {
  std::string id;  ///< NodeId or ReplicaId, depending on the role
  MachineRole role = MachineRole::kNode;
  std::string serves;     ///< model or service name; empty for a node
  core::Address address;  ///< HTTP for engines and services, gossip (UDP) for nodes
  core::ZoneName zone;
  core::RegionName region;
  core::Incarnation incarnation;
  MachineState state = MachineState::kLive;
};

class MachineList {
 public:
  virtual ~MachineList() = default;
  virtual boost::asio::awaitable<core::Result<std::vector<Machine>>> list() = 0;
};

}  // namespace stoneport::ports
