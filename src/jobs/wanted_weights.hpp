/// \file
/// Which versions of which models the replicas should have, from what trainers have
/// named and from the open jobs. Belongs to the coordinator's thread, for one term.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "ingress/replica_directory.hpp"
#include "jobs/open_job.hpp"
#include "weights/weight_loader.hpp"

namespace stoneport::jobs {

class WantedWeights {
 public:
  using NamedVersions = std::function<std::map<core::ModelName, core::WeightVersion>()>;

  /// All outlive it.
  WantedWeights(NamedVersions named, const ingress::RouteTableHolder& routes,
                const ingress::ReplicaDirectory& directory)
      : named_(std::move(named)), routes_(routes), directory_(directory) {}

  /// Learns the demand for a job's model: the tokens of a usual job, and the texts that are
  /// made at once.
  /// \param open all open jobs, with \p job
  void note_job(const Job& job, const std::vector<OpenJobPointer>& open);
  /// \return an entry for each model that was named a version or has had a job, if any
  /// replica has it.
  weights::WantedVersions wanted(const std::vector<OpenJobPointer>& open) const;

 private:
  /// \return the service whose replicas have \p model; nothing when there is none.
  std::optional<core::ServiceName> service_of(const core::ModelName& model) const;

  NamedVersions named_;
  const ingress::RouteTableHolder& routes_;
  const ingress::ReplicaDirectory& directory_;
  std::map<core::ModelName, double> demand_;
  std::map<core::ModelName, double> texts_;
};

}  // namespace stoneport::jobs
