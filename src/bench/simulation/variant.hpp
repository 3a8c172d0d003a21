/// \file
/// One variant of an experiment: which decisions are on.
#pragma once

#include <string>
#include <vector>

namespace stoneport::bench {

enum class ReplicaChoiceKind { kRoundRobin, kLeastOutstanding, kCost };

struct Variant {
  std::string name;
  ReplicaChoiceKind choice = ReplicaChoiceKind::kCost;
  bool affinity = true;             ///< groups together, prompts where they are cached
  bool migration = true;            ///< of stragglers, by KV export and import
  bool prediction = true;           ///< of lengths: order of start, priorities, migration
  bool staleness_admission = true;  ///< and early cancel of what can no longer meet the bound
  bool staged_switches = true;      ///< prefetch few engines at a time, each switched when ready
  bool freshness_wait = true;       ///< with time to spare, only engines with the newest weights
  bool warm_up = true;              ///< weights in place before a known start
  bool over_sampling = false;       ///< biased towards short samples; only where asked for
};

/// Every variant that run knows, in the order of its tables.
const std::vector<Variant>& variant_catalog();
/// \return the variant of that name, or null.
const Variant* find_variant(const std::string& name);

}  // namespace stoneport::bench
