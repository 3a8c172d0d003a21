/// \file
/// The replica pools of one traffic thread, by service and by model, following
/// the routing table that the control thread publishes.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <unordered_map>

#include "config/configuration.hpp"
#include "http/client.hpp"
#include "routing/replica_pool.hpp"
#include "runtime/snapshot.hpp"

namespace stoneport::filters {

using RoutingView = std::shared_ptr<runtime::SnapshotView<routing::RoutingTable>>;

struct ReplicaPoolOptions {
  core::NodeId node;
  core::ZoneName zone;
  core::RegionName region;
  std::size_t subset_size = 16;
  std::uint64_t seed = 0;
};

class ReplicaPools {
 public:
  /// \param client loses its kept connections to replicas that go out of use
  ReplicaPools(ReplicaPoolOptions options, RoutingView view, http::Client& client)
      : options_(std::move(options)), view_(std::move(view)), client_(client) {}

  /// \return the pool of the template's service, up to date; its address is stable.
  routing::ReplicaPool& of_service(const config::ServiceTemplate& service);
  routing::ReplicaPool& of_model(const core::ModelName& model);
  /// \return whether the newest routing table names \p model.
  bool knows_model(const core::ModelName& model) const;
  /// \return whether the newest routing table may be used for new work.
  bool current(core::MonotonicTime now) const { return now <= view_->get()->current_until; }
  /// Waits for a table that is current, for a short time.
  /// \return kUnavailable with a time to try again when none came.
  boost::asio::awaitable<core::Result<void>> wait_until_current(const core::TimeSource& time);

 private:
  template <class Name>
  using Pools = std::unordered_map<Name, std::unique_ptr<routing::ReplicaPool>>;
  template <class Name>
  routing::ReplicaPool& updated(
      Pools<Name>& pools, const Name& name,
      std::map<Name, std::vector<routing::Replica>> routing::RoutingTable::*replicas);
  std::unique_ptr<routing::ReplicaPool> make_pool();

  ReplicaPoolOptions options_;
  RoutingView view_;
  http::Client& client_;
  std::uint64_t pools_made_ = 0;
  Pools<core::ServiceName> services_;
  Pools<core::ModelName> models_;
};

}  // namespace stoneport::filters
