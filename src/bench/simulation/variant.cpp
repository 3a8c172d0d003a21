#include "bench/simulation/variant.hpp"

namespace stoneport::bench {

namespace {

Variant baseline(const std::string& name, ReplicaChoiceKind choice) {
  Variant variant;
  variant.name = name;
  variant.choice = choice;
  variant.affinity = false;
  variant.migration = false;
  variant.prediction = false;
  variant.staleness_admission = false;
  variant.staged_switches = false;
  variant.freshness_wait = false;
  variant.warm_up = false;
  return variant;
}

Variant stoneport_without(const std::string& mechanism, bool Variant::*switch_of_mechanism) {
  Variant variant;
  variant.name = "stoneport-no-" + mechanism;
  variant.*switch_of_mechanism = false;
  return variant;
}

std::vector<Variant> make_catalog() {
  std::vector<Variant> catalog;
  catalog.push_back(baseline("round-robin", ReplicaChoiceKind::kRoundRobin));
  catalog.push_back(baseline("least-outstanding", ReplicaChoiceKind::kLeastOutstanding));
  Variant all_on;
  all_on.name = "stoneport";
  catalog.push_back(all_on);
  catalog.push_back(stoneport_without("affinity", &Variant::affinity));
  catalog.push_back(stoneport_without("migration", &Variant::migration));
  catalog.push_back(stoneport_without("prediction", &Variant::prediction));
  catalog.push_back(stoneport_without("staleness-admission", &Variant::staleness_admission));
  catalog.push_back(stoneport_without("freshness-wait", &Variant::freshness_wait));
  catalog.push_back(stoneport_without("staged-switches", &Variant::staged_switches));
  catalog.push_back(stoneport_without("warm-up", &Variant::warm_up));
  Variant over_sampling;
  over_sampling.name = "stoneport-over-sampling";
  over_sampling.over_sampling = true;
  catalog.push_back(over_sampling);
  return catalog;
}

}  // namespace

const std::vector<Variant>& variant_catalog() {
  static const std::vector<Variant> catalog = make_catalog();
  return catalog;
}

const Variant* find_variant(const std::string& name) {
  for (const Variant& variant : variant_catalog()) {
    if (variant.name == name) {
      return &variant;
    }
  }
  return nullptr;
}

}  // namespace stoneport::bench
