#include "weights/load_plan.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <unordered_set>

namespace stoneport::weights {
namespace {

bool is_newest(const ReplicaVersion& replica, const ModelNeed& need) {
  return replica.loading || replica.version >= need.wanted;
}

/// Candidate loads of one model in order of priority.
class ModelQueue {
 public:
  ModelQueue(const ModelNeed& need, const LoadPlanSettings& settings) : need_(need) {
    newest_wanted_ = static_cast<std::uint32_t>(
        std::ceil(settings.newest_share * static_cast<double>(need.replicas.size())));
    for (const ReplicaVersion& replica : need.replicas) {
      const bool has_newest = is_newest(replica, need);
      newest_ += has_newest ? 1 : 0;
      valid_ += has_newest || replica.version >= need.oldest_allowed ? 1 : 0;
      if (!has_newest && replica.available) {
        waiting_.push_back(&replica);
      }
    }
    // Oldest version first, then fewest running generations.
    std::stable_sort(waiting_.begin(), waiting_.end(),
                     [](const ReplicaVersion* left, const ReplicaVersion* right) {
                       return std::tie(left->version, left->running) <
                              std::tie(right->version, right->running);
                     });
  }

  const ModelNeed& need() const { return need_; }
  /// Measures how well the model is served now and after the next version is announced: the
  /// replicas whose version later jobs allow, plus those that have or load the newest one.
  std::uint32_t served() const { return valid_ + newest_; }

  /// \return the next replica to load that is not in \p taken, or null when no load is needed.
  const ReplicaVersion* next(const std::unordered_set<core::ReplicaId>& taken) {
    while (next_ < waiting_.size() && taken.contains(waiting_[next_]->id)) {
      ++next_;
    }
    if (next_ == waiting_.size()) {
      return nullptr;
    }
    const ReplicaVersion* replica = waiting_[next_];
    const bool is_due = is_too_old(*replica) || newest_ < newest_wanted_;
    return is_due ? replica : nullptr;
  }
  /// Records that the replica returned by next() will load.
  void take_next() {
    valid_ += is_too_old(*waiting_[next_]) ? 1 : 0;
    ++newest_;
    ++next_;
  }

 private:
  bool is_too_old(const ReplicaVersion& replica) const {
    return replica.version < need_.oldest_allowed;
  }

  const ModelNeed& need_;
  std::vector<const ReplicaVersion*> waiting_;
  std::size_t next_ = 0;  ///< index into waiting_
  std::uint32_t newest_wanted_ = 0;
  std::uint32_t newest_ = 0;
  std::uint32_t valid_ = 0;
};

/// \return the queue of the worst-served model that has a load to do, or null.
ModelQueue* next_queue(std::vector<ModelQueue>& queues,
                       const std::unordered_set<core::ReplicaId>& taken) {
  ModelQueue* next = nullptr;
  for (ModelQueue& queue : queues) {
    const bool is_worse = next == nullptr || queue.served() < next->served();
    if (is_worse && queue.next(taken) != nullptr) {
      next = &queue;
    }
  }
  return next;
}

}  // namespace

std::uint32_t max_concurrent_loads(std::size_t replicas, const LoadPlanSettings& settings) {
  const double share = std::round(settings.max_loading_share * static_cast<double>(replicas));
  return std::max(static_cast<std::uint32_t>(share), std::uint32_t{1});
}

std::vector<PlannedLoad> plan_loads(const std::vector<ModelNeed>& needs, std::uint32_t most_at_once,
                                    const LoadPlanSettings& settings) {
  std::uint32_t loading = 0;
  std::vector<ModelQueue> queues;
  for (const ModelNeed& need : needs) {
    for (const ReplicaVersion& replica : need.replicas) {
      loading += replica.loading ? 1 : 0;
    }
    queues.emplace_back(need, settings);
  }
  std::vector<PlannedLoad> planned;
  std::unordered_set<core::ReplicaId> taken;  // a replica loads one model at a time
  while (loading < most_at_once) {
    ModelQueue* queue = next_queue(queues, taken);
    if (queue == nullptr) {
      break;
    }
    const ReplicaVersion* replica = queue->next(taken);
    planned.push_back({queue->need().model, replica->id, queue->need().wanted});
    taken.insert(replica->id);
    queue->take_next();
    ++loading;
  }
  return planned;
}

}  // namespace stoneport::weights
