#include "weights/replica_assignment.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>

namespace stoneport::weights {
namespace {

/// Shortage of replicas above which a replica is moved from one model to another, so that small
/// changes in demand cause no loads.
constexpr double kTolerance = 0.75;
/// Demand assumed for a model whose demand is unknown.
constexpr double kUnknownDemand = 1;

double demand_of(const ModelNeed& need) {
  return need.demand > 0 ? need.demand : kUnknownDemand;
}

}  // namespace

/// One update, using indices in place of names. The first update of a term may assign every
/// replica. Candidates are therefore kept sorted: scanning all replicas for each assignment would
/// be quadratic in the size of the fleet.
class ReplicaAssignment::Round {
 public:
  Round(ReplicaAssignment& owner, const std::vector<ModelNeed>& needs)
      : owner_(owner), needs_(needs) {
    number_replicas();
    find_followers();
    set_targets();
  }

  void run() {
    // Each round gives one replica to one model and takes none from a model that lacks replicas.
    const std::size_t most_rounds = models_of_.size() * models_.size();
    for (std::size_t round = 0; round < most_rounds; ++round) {
      const auto shortest = std::max_element(
          models_.begin(), models_.end(),
          [](const Model& left, const Model& right) { return left.shortage() < right.shortage(); });
      if (shortest == models_.end() || !add_follower(*shortest)) {
        break;
      }
    }
    for (Model& model : models_) {
      drop_surplus(model);
    }
  }

 private:
  /// Number of models that a replica follows, its version (newest first), its running
  /// generations, and its position in need->replicas.
  using Rank = std::tuple<std::size_t, std::uint64_t, std::uint32_t, std::size_t>;
  struct Model {
    const ModelNeed* need = nullptr;
    std::vector<std::size_t> numbers;  ///< replica numbers, parallel to need->replicas
    /// Positions in need->replicas by replica number; empty until the candidates are ranked.
    std::vector<std::optional<std::size_t>> positions;
    std::set<Rank> candidates;  ///< replicas that do not follow the model
    std::vector<char> follows;  ///< by replica number
    std::size_t followers = 0;
    double target = 0;

    /// Returns how many followers the model lacks; negative when it has too many.
    double shortage() const { return target - static_cast<double>(followers); }
  };

  void number_replicas() {
    std::unordered_map<core::ReplicaId, std::size_t> numbers;
    for (const ModelNeed& need : needs_) {
      Model model;
      model.need = &need;
      for (const ReplicaVersion& replica : need.replicas) {
        model.numbers.push_back(numbers.try_emplace(replica.id, numbers.size()).first->second);
      }
      models_.push_back(std::move(model));
    }
    models_of_.assign(numbers.size(), 0);
  }

  /// Drops replicas that no longer exist and models that are no longer needed.
  void find_followers() {
    std::map<core::ModelName, std::unordered_set<core::ReplicaId>> kept;
    for (Model& model : models_) {
      model.follows.assign(models_of_.size(), 0);
      std::unordered_set<core::ReplicaId>& replicas = kept[model.need->model];
      for (std::size_t position = 0; position < model.numbers.size(); ++position) {
        const core::ReplicaId& id = model.need->replicas[position].id;
        if (owner_.follows(id, model.need->model)) {
          replicas.insert(id);
          set_follows(model, model.numbers[position], true);
        }
      }
    }
    owner_.followers_ = std::move(kept);
  }

  void set_targets() {
    double demand = 0;
    for (const Model& model : models_) {
      demand += demand_of(*model.need);
    }
    const auto replicas = static_cast<double>(models_of_.size());
    for (Model& model : models_) {
      const auto most = static_cast<double>(model.numbers.size());
      const double fewest = std::min(static_cast<double>(owner_.settings_.min_replicas), most);
      const double share =
          replicas * owner_.settings_.models_per_replica * demand_of(*model.need) / demand;
      model.target = std::clamp(std::min(share, largest_use(*model.need)), fewest, most);
    }
  }

  /// \return the number of replicas above which more would hardly shorten generation.
  double largest_use(const ModelNeed& need) const {
    if (need.peak_concurrency <= 0) {
      return static_cast<double>(need.replicas.size());
    }
    return std::ceil(owner_.settings_.slots_per_generation * need.peak_concurrency /
                     std::max(need.slots, 1.0));
  }

  /// Releases surplus followers that no other model took, oldest versions first. A model may have
  /// been given more than it can use while its concurrency was unknown.
  void drop_surplus(Model& model) {
    const double most = std::ceil(model.target * (1 + owner_.settings_.surplus_share)) + 1;
    if (static_cast<double>(model.followers) <= most) {
      return;
    }
    std::vector<std::size_t> positions;
    for (std::size_t position = 0; position < model.numbers.size(); ++position) {
      if (model.follows[model.numbers[position]] != 0) {
        positions.push_back(position);
      }
    }
    std::stable_sort(positions.begin(), positions.end(), [&](std::size_t left, std::size_t right) {
      return model.need->replicas[left].version < model.need->replicas[right].version;
    });
    const auto kept = static_cast<std::size_t>(std::ceil(model.target));
    for (std::size_t index = 0; index + kept < positions.size(); ++index) {
      set_follows(model, model.numbers[positions[index]], false);
      owner_.followers_[model.need->model].erase(model.need->replicas[positions[index]].id);
    }
  }

  /// Called only when a replica is needed, because most updates assign none.
  void rank_candidates(Model& model) {
    model.positions.assign(models_of_.size(), std::nullopt);
    for (std::size_t position = 0; position < model.numbers.size(); ++position) {
      const std::size_t number = model.numbers[position];
      model.positions[number] = position;
      if (model.follows[number] == 0) {
        model.candidates.insert(rank_of(model, position));
      }
    }
  }

  Rank rank_of(const Model& model, std::size_t position) {
    ++owner_.ranked_;
    const ReplicaVersion& replica = model.need->replicas[position];
    return {models_of_[model.numbers[position]], ~replica.version.value(), replica.running,
            position};
  }

  /// Calls \p action for each model with ranked candidates that the replica has but does not
  /// follow.
  template <class Action>
  void for_each_other(std::size_t number, Action action) {
    for (Model& model : models_) {
      const bool is_ranked = !model.positions.empty();
      if (is_ranked && model.positions[number] && model.follows[number] == 0) {
        action(model, *model.positions[number]);
      }
    }
  }
  void add_candidate(std::size_t number) {
    for_each_other(number, [this](Model& model, std::size_t position) {
      model.candidates.insert(rank_of(model, position));
    });
  }
  void remove_candidate(std::size_t number) {
    for_each_other(number, [this](Model& model, std::size_t position) {
      model.candidates.erase(rank_of(model, position));
    });
  }

  void set_follows(Model& model, std::size_t number, bool follows) {
    remove_candidate(number);
    model.follows[number] = follows ? 1 : 0;
    model.followers += follows ? 1 : -1;
    models_of_[number] += follows ? 1 : -1;
    add_candidate(number);
  }

  /// \return whether a replica can be added without taking it from another model: the followers
  /// of all models are below the sum of the targets.
  bool has_room() const {
    double wanted = 0;
    double had = 0;
    for (const Model& model : models_) {
      wanted += model.target;
      had += static_cast<double>(model.followers);
    }
    constexpr double kRounding = 0.5;
    return had + 1 <= wanted + kRounding;
  }

  /// \return the model with the most replicas beyond its target, or null.
  Model* donor_for(const Model& receiver) {
    Model* donor = nullptr;
    for (Model& model : models_) {
      const double surplus = -model.shortage();
      const bool has_more = donor == nullptr || surplus > -donor->shortage();
      if (&model != &receiver && surplus > 0 && has_more) {
        donor = &model;
      }
    }
    return donor;
  }

  /// \return the position in \p model's replicas of the best next follower: fewest models, newest
  /// version, fewest generations. Only followers of \p donor are considered if it is not null.
  std::optional<std::size_t> best_position(Model& model, const Model* donor) {
    if (model.positions.empty()) {
      rank_candidates(model);
    }
    for (const Rank& candidate : model.candidates) {
      ++owner_.ranked_;
      const std::size_t position = std::get<3>(candidate);
      if (donor == nullptr || donor->follows[model.numbers[position]] != 0) {
        return position;
      }
    }
    return std::nullopt;
  }

  /// Adds one follower to \p model. \return false when no replica should be moved.
  bool add_follower(Model& model) {
    Model* donor = nullptr;
    if (!has_room()) {
      donor = model.shortage() < kTolerance ? nullptr : donor_for(model);
      if (donor == nullptr) {
        return false;
      }
    }
    const std::optional<std::size_t> best = best_position(model, donor);
    if (!best) {
      return false;
    }
    const core::ReplicaId& id = model.need->replicas[*best].id;
    const std::size_t number = model.numbers[*best];
    if (donor != nullptr) {
      set_follows(*donor, number, false);
      owner_.followers_[donor->need->model].erase(id);
    }
    set_follows(model, number, true);
    owner_.followers_[model.need->model].insert(id);
    return true;
  }

  ReplicaAssignment& owner_;
  const std::vector<ModelNeed>& needs_;
  std::vector<Model> models_;
  std::vector<std::size_t> models_of_;  ///< number of models followed, by replica number
};

bool ReplicaAssignment::follows(const core::ReplicaId& replica,
                                const core::ModelName& model) const {
  const auto found = followers_.find(model);
  return found != followers_.end() && found->second.contains(replica);
}

std::set<core::ReplicaId> ReplicaAssignment::followers_of(const core::ModelName& model) const {
  const auto found = followers_.find(model);
  if (found == followers_.end()) {
    return {};
  }
  return {found->second.begin(), found->second.end()};
}

std::size_t ReplicaAssignment::followers(const core::ModelName& model) const {
  const auto found = followers_.find(model);
  return found == followers_.end() ? 0 : found->second.size();
}

void ReplicaAssignment::update(const std::vector<ModelNeed>& needs) {
  Round(*this, needs).run();
}

}  // namespace stoneport::weights
