/// \file
/// Response bodies of the operator API.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/identifiers.hpp"
#include "routing/routing_table.hpp"
#include "wire/member.hpp"

namespace stoneport::controllers {

std::string members_json(const std::vector<wire::Member>& members);

/// \param now used to compute the age of the digests
std::string replicas_json(const routing::RoutingTable& table, core::MonotonicTime now);

/// \param models_of_policies the models that serve each policy
std::string weights_json(const std::map<core::PolicyName, core::WeightVersion>& newest,
                         const std::multimap<core::PolicyName, core::ModelName>& models_of_policies,
                         const routing::RoutingTable& table);

struct StatusSummary {
  wire::Member self;
  bool ready = false;
  std::size_t members = 0;  ///< alive, including self
  std::string store;
};
std::string status_json(const StatusSummary& status);

}  // namespace stoneport::controllers
