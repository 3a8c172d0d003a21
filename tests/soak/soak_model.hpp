/// \file
/// What the soak knows to be true: jobs that were accepted, results that were read,
/// requests that must run once. Plain code; every check returns what is broken.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "platform_support/stand_in_replica.hpp"

namespace stoneport::tests {

struct SoakJob {
  std::size_t items = 0;
  bool accepted = false;             ///< a 202 was read
  bool ended = false;                ///< an end was sent
  std::vector<nlohmann::json> seen;  ///< by position
  std::set<std::string> listed;      ///< item ids
  bool is_whole() const { return listed.size() == items; }
};

class SoakModel {
 public:
  std::map<std::string, SoakJob> jobs;
  std::vector<std::string> violations;

  void violate(const std::string& what) { violations.push_back(what); }

  /// Takes a page of \p job that was read from position \p from.
  void take_page(const std::string& id, std::uint64_t from, const nlohmann::json& page);
  /// A read of an accepted job was answered with \p status.
  void take_read_status(const std::string& id, unsigned status);
  /// One request that must run at most once got this answer.
  void take_once(const std::string& id, unsigned status) { once_[id] = status; }
  /// A request came with a key of \p tenant.
  void take_tenant(const std::string& id, const std::string& tenant) { tenants_[id] = tenant; }
  /// Checks the replicas' ledger against what clients were told.
  void check_ledger(const StandInReplica::Ledger& ledger);

 private:
  void take_result(const std::string& id, std::uint64_t position, const nlohmann::json& result);
  /// \return the tenant that a run should name: its request's, or that of its item's job.
  std::string tenant_of(const std::string& request) const;
  void check_tenant(const ReplicaRun& run);
  std::map<std::string, std::string> tenants_;  ///< by request
  std::map<std::string, unsigned> once_;        ///< status by request; 0 for no answer
};

}  // namespace stoneport::tests
