/// \file
/// A job that the coordinator works on, and how far each of its items is. Plain
/// state of the coordinator's thread.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "ingress/route_table.hpp"
#include "jobs/job.hpp"
#include "jobs/job_records.hpp"

namespace stoneport::jobs {

enum class ItemState {
  kQueued,   ///< waits for a replica
  kRunning,  ///< a replica makes its text
  kScoring,  ///< the text is whole, its score is not known
  kReady,    ///< the result waits to be listed
  kListed,
};

/// The events of one text, over all replicas that made them.
struct ItemText {
  std::uint32_t lineage = 0;  ///< grows each time a text is begun anew
  std::vector<std::string> events;
  std::vector<std::uint64_t> versions;  ///< of each event
  std::uint64_t checkpointed = 0;       ///< events that the store holds

  void discard();
  /// Goes on from \p checkpoints of one item, in order of key: the longest whole
  /// start of the newest lineage.
  void restore(const std::vector<Checkpoint>& checkpoints);
  std::string joined() const;
  /// \return each version once, rising.
  std::vector<std::uint64_t> distinct_versions() const;
};

struct ItemProgress {
  ItemState state = ItemState::kQueued;
  ItemText text;
  std::uint32_t failed_answers = 0;      ///< a replica ran it and failed
  std::set<core::ReplicaId> failed_at;   ///< replicas that did
  std::uint32_t impossible_answers = 0;  ///< a replica says it can never be done
  core::MonotonicTime not_before{};      ///< when it may be placed again
};

struct OpenJob {
  Job job;
  JobIndexEntry entry;
  std::shared_ptr<const ingress::RouteTable> table;  ///< owns the route
  const ingress::Route* route = nullptr;             ///< last one known
  std::vector<ItemProgress> items;                   ///< as in job.items
  std::vector<std::size_t> start_order;              ///< indexes into items
  std::map<std::string, core::ReplicaId> homes;      ///< by group: where its prompt was read
  std::uint64_t listed = 0;                          ///< results in the store
  bool over = false;                                 ///< ended, whole or left to another process

  void make_start_order();
};
using OpenJobPointer = std::shared_ptr<OpenJob>;

/// \return whether the items of \p left are placed before those of \p right: the route of
/// higher rank first, then the older job. Jobs without a route come last.
bool is_placed_before(const OpenJob& left, const OpenJob& right);

}  // namespace stoneport::jobs
