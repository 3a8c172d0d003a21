#include "jobs/wanted_weights.hpp"

#include <algorithm>

namespace stoneport::jobs {
namespace {

/// Weight of the newest job in a model's moving average.
constexpr double kDemandWeight = 0.3;
/// Fraction of the maximum of concurrent texts that is kept when another job opens; a pause of some
/// steps changes it little.
constexpr double kTextsKept = 0.95;

double tokens_of(const Job& job) {
  double tokens = 0;
  for (const JobItem& item : job.items) {
    tokens += static_cast<double>(std::max(item.expected_tokens, std::uint64_t{1}));
  }
  return tokens;
}

}  // namespace

void WantedWeights::note_job(const Job& job, const std::vector<OpenJobPointer>& open) {
  double texts = 0;
  for (const OpenJobPointer& one : open) {
    texts += one->job.model == job.model ? static_cast<double>(one->job.items.size()) : 0;
  }
  double& most = texts_[job.model];
  most = std::max(texts, most * kTextsKept);
  const double tokens = tokens_of(job);
  double& demand = demand_[job.model];
  demand = demand == 0 ? tokens : demand + kDemandWeight * (tokens - demand);
}

std::optional<core::ServiceName> WantedWeights::service_of(const core::ModelName& model) const {
  const std::shared_ptr<const ingress::RouteTable> table = routes_.current();
  if (!table) {
    return std::nullopt;
  }
  for (const ingress::Route& route : table->routes()) {
    if (route.kind != ingress::RouteKind::kRollout) {
      continue;
    }
    for (const ingress::RouteTarget& target : route.targets) {
      for (const ingress::ReplicaPointer& replica : directory_.of_service(target.service)) {
        if (replica->record.versions.contains(model)) {
          return target.service;
        }
      }
    }
  }
  return std::nullopt;
}

weights::WantedVersions WantedWeights::wanted(const std::vector<OpenJobPointer>& open) const {
  std::map<core::ModelName, core::WeightVersion> named = named_();
  for (const auto& [model, demand] : demand_) {
    named.try_emplace(model, ingress::kFirstVersion);
  }
  weights::WantedVersions wanted;
  for (const auto& [model, version] : named) {
    const std::optional<core::ServiceName> service = service_of(model);
    if (!service) {
      continue;
    }
    weights::WantedVersion entry;
    entry.service = *service;
    entry.version = version;
    // Future steps accept the version before the newest one.
    entry.oldest_allowed = core::WeightVersion(version.value() > 1 ? version.value() - 1 : 1);
    for (const OpenJobPointer& job : open) {
      if (job->job.model == model) {
        entry.oldest_allowed = std::max(entry.oldest_allowed, job->job.oldest_version);
      }
    }
    const auto demand = demand_.find(model);
    entry.demand = demand == demand_.end() ? 0 : demand->second;
    const auto texts = texts_.find(model);
    entry.peak_concurrency = texts == texts_.end() ? 0 : texts->second;
    wanted[model] = entry;
  }
  return wanted;
}

}  // namespace stoneport::jobs
