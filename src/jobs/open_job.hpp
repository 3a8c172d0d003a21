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
#include "jobs/item_text.hpp"
#include "jobs/job.hpp"
#include "jobs/job_records.hpp"
#include "jobs/length_estimator.hpp"
#include "jobs/length_history.hpp"
#include "jobs/step_scheduler.hpp"

namespace stoneport::jobs {

enum class ItemState {
  kQueued,   ///< waits for a replica
  kRunning,  ///< a replica makes its text
  kScoring,  ///< the text is whole, its score is not known
  kReady,    ///< the result waits to be listed
  kListed,
};

/// Where and when a text was made whole; for the log.
struct MadeAt {
  core::ReplicaId replica;
  core::Duration run{};          ///< of the last run
  std::uint64_t run_events = 0;  ///< that the last run made
};

struct ItemProgress {
  ItemState state = ItemState::kQueued;
  ItemText text;
  std::uint32_t failed_answers = 0;      ///< a replica ran it and failed
  std::set<core::ReplicaId> failed_at;   ///< replicas that did
  std::uint32_t impossible_answers = 0;  ///< a replica says it can never be done
  core::MonotonicTime not_before{};      ///< when it may be placed again
  std::uint32_t speed_moves = 0;         ///< times that it went to a faster replica
  std::uint32_t silent_moves = 0;        ///< times that it left a silent one since its last event
  std::optional<ObservedLength> seen;    ///< of an earlier job: its group came back
  std::optional<MadeAt> made_at;         ///< the run that made the text whole
};

/// In which order the items of a job begin.
enum class StartOrder {
  kLongestFirst,  ///< its last texts are to end early
  kWantedFirst,   ///< the same of the groups that are waited for; then the others
  kByGroup,       ///< group by group, the one that lacks least first: fewest groups stay unfinished
};

struct OpenJob {
  Job job;
  JobIndexEntry entry;
  std::shared_ptr<const ingress::RouteTable> table;  ///< owns the route
  const ingress::Route* route = nullptr;             ///< last one known
  eligibility::RegionBinding binding;                ///< regions that route and tenant allow
  std::vector<ItemProgress> items;                   ///< as in job.items
  std::vector<std::size_t> start_order;              ///< indexes into items, longest rest first
  bool order_is_stale = false;                       ///< an item was queued again
  StartOrder order_kind = StartOrder::kLongestFirst;
  std::map<std::string, core::ReplicaId> homes;  ///< by group: where its prompt was read
  std::uint64_t listed = 0;                      ///< results in the store
  bool over = false;                             ///< ended, whole or left to another process

  /// \return what is known of the length of \p item.
  LengthEvidence evidence_of(std::size_t item) const;
  /// Puts the items that are queued in order by what \p law expects of them.
  void make_start_order(const LengthEstimator& law);
  /// Has the items begin in another order from the next make_start_order() on.
  void set_order(StartOrder kind);
  /// \return what is to come until the wanted groups are whole: those that lack least.
  StepWork remaining_work(const LengthEstimator& law) const;
  /// \return the time by which the text of \p item should have begun, by the store's clock:
  /// what is expected of it takes until its job is due.
  core::Duration latest_start(std::size_t item, const LengthEstimator& law,
                              core::Duration event_gap) const;
};
/// \return the order in which a job's items begin that has \p plan.
StartOrder start_order_of(StepPlan plan);
using OpenJobPointer = std::shared_ptr<OpenJob>;

/// \return the rank of the job's tenant, or of its route where the tenant has none; 0 first, the
/// lowest one without a route.
std::uint32_t rank_of(const OpenJob& job);

}  // namespace stoneport::jobs
