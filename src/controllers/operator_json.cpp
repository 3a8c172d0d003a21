#include "controllers/operator_json.hpp"

#include <nlohmann/json.hpp>

#include "core/json_text.hpp"

namespace stoneport::controllers {
namespace {

using Json = nlohmann::json;

std::string_view state_name(routing::ReplicaState state) {
  switch (state) {
    case routing::ReplicaState::kUsable:
      return "usable";
    case routing::ReplicaState::kSuspect:
      return "suspect";
    case routing::ReplicaState::kLeaving:
      return "leaving";
    case routing::ReplicaState::kDown:
      return "down";
  }
  return "unknown";
}

Json member_document(const wire::Member& member) {
  return {{"node", member.node.value()},
          {"incarnation", member.incarnation.value()},
          {"state", wire::to_string(member.state)},
          {"leaving", member.leaving},
          {"zone", member.zone.value()},
          {"region", member.region.value()},
          {"peer_address", core::to_string(member.peer_address)},
          {"configuration_revision", member.configuration_revision.value()}};
}

Json digest_document(const routing::ReplicaDigest& digest, core::MonotonicTime now) {
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - digest.taken_at);
  return {{"age_ms", age.count()},
          {"running", digest.running},
          {"waiting", digest.waiting},
          {"max_running", digest.max_running},
          {"tokens_per_second", digest.tokens_per_second},
          {"kv_used_ratio", digest.kv_used_ratio},
          {"version", digest.version.value()},
          {"swapping", digest.swapping},
          {"cached_prefixes", digest.cached_prefixes.size()}};
}

Json replica_document(const routing::Replica& replica, core::MonotonicTime now) {
  Json document = {{"replica", replica.id.value()},
                   {"address", core::to_string(replica.address)},
                   {"zone", replica.zone.value()},
                   {"region", replica.region.value()},
                   {"incarnation", replica.incarnation.value()},
                   {"state", state_name(replica.state)}};
  document["digest"] = replica.digest ? digest_document(*replica.digest, now) : Json();
  return document;
}

template <class Lists>
void add_replicas(const Lists& lists, std::string_view kind, core::MonotonicTime now,
                  Json& documents) {
  for (const auto& [name, replicas] : lists) {
    for (const routing::Replica& replica : replicas) {
      Json document = replica_document(replica, now);
      document["kind"] = kind;
      document["serves"] = name.value();
      documents.push_back(std::move(document));
    }
  }
}

/// The version is null for a replica without a report.
Json weight_document(const routing::Replica& replica) {
  Json document = {{"replica", replica.id.value()}, {"version", nullptr}, {"swapping", false}};
  if (replica.digest) {
    document["version"] = replica.digest->version.value();
    document["swapping"] = replica.digest->swapping;
  }
  return document;
}

}  // namespace

std::string members_json(const std::vector<wire::Member>& members) {
  Json documents = Json::array();
  for (const wire::Member& member : members) {
    documents.push_back(member_document(member));
  }
  return core::write_json({{"members", std::move(documents)}});
}

std::string replicas_json(const routing::RoutingTable& table, core::MonotonicTime now) {
  Json documents = Json::array();
  add_replicas(table.models, "engine", now, documents);
  add_replicas(table.services, "service", now, documents);
  return core::write_json({{"generation", table.generation}, {"replicas", std::move(documents)}});
}

std::string weights_json(const std::map<core::PolicyName, core::WeightVersion>& newest,
                         const std::multimap<core::PolicyName, core::ModelName>& models_of_policies,
                         const routing::RoutingTable& table) {
  Json policies = Json::array();
  for (const auto& [policy, version] : newest) {
    Json replicas = Json::array();
    const auto [first, last] = models_of_policies.equal_range(policy);
    for (auto entry = first; entry != last; ++entry) {
      const auto model = table.models.find(entry->second);
      if (model == table.models.end()) {
        continue;
      }
      for (const routing::Replica& replica : model->second) {
        replicas.push_back(weight_document(replica));
      }
    }
    policies.push_back({{"policy", policy.value()},
                        {"newest", version.value()},
                        {"replicas", std::move(replicas)}});
  }
  return core::write_json({{"policies", std::move(policies)}});
}

std::string status_json(const StatusSummary& status) {
  return core::write_json({{"node", status.self.node.value()},
                           {"zone", status.self.zone.value()},
                           {"region", status.self.region.value()},
                           {"state", wire::to_string(status.self.state)},
                           {"incarnation", status.self.incarnation.value()},
                           {"ready", status.ready},
                           {"configuration_revision", status.self.configuration_revision.value()},
                           {"members", status.members},
                           {"store", status.store}});
}

}  // namespace stoneport::controllers
