/// \file
/// Determines which versions of which models the replicas should load, from the versions named by
/// trainers and from the open jobs. Used from the coordinator's thread, for one term.
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

  /// All arguments must outlive this.
  WantedWeights(NamedVersions named, const ingress::RouteTableHolder& routes,
                const ingress::ReplicaDirectory& directory)
      : named_(std::move(named)), routes_(routes), directory_(directory) {}

  /// Updates the demand for a job's model: the tokens of a typical job, and the number of texts
  /// generated concurrently.
  /// \param open all open jobs, including \p job
  void note_job(const Job& job, const std::vector<OpenJobPointer>& open);
  /// \return an entry for each model with a named version or a previous job, if any replica serves
  /// it.
  weights::WantedVersions wanted(const std::vector<OpenJobPointer>& open) const;

 private:
  /// \return the service whose replicas serve \p model; nothing if there is none.
  std::optional<core::ServiceName> service_of(const core::ModelName& model) const;

  NamedVersions named_;
  const ingress::RouteTableHolder& routes_;
  const ingress::ReplicaDirectory& directory_;
  std::map<core::ModelName, double> demand_;
  std::map<core::ModelName, double> texts_;
};

}  // namespace stoneport::jobs
