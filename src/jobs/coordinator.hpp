/// \file
/// Works on all open jobs while this process holds the term: learns of jobs and
/// their ends, places items on replicas, has texts scored and listed, and hands
/// over when the term ends. Belongs to one thread.
#pragma once

#include <memory>

#include "ingress/forwarder.hpp"
#include "ingress/replica_directory.hpp"
#include "jobs/item_dispatcher.hpp"
#include "jobs/job_store.hpp"
#include "jobs/scorer.hpp"
#include "jobs/term_duty.hpp"
#include "jobs/term_keeper.hpp"
#include "jobs/term_writer.hpp"
#include "weights/weight_loader.hpp"

namespace stoneport::jobs {

struct CoordinatorSettings {
  TermSettings term;
  TermWriterSettings writer;
  ItemDispatcherSettings dispatcher;
  ScorerSettings scorer;
  weights::LoadPlanSettings weights;
  /// No order to a replica within this time of another holder's announcement.
  core::Duration order_pause = std::chrono::milliseconds(3700);
  /// No order when the last confirmed heartbeat is older than this.
  core::Duration order_confirmation = std::chrono::milliseconds(1000);
  core::Duration tick = std::chrono::milliseconds(100);
  /// How long after its acceptance a job's records are kept.
  core::Duration retention = std::chrono::seconds(120);
  core::Duration sweep_interval = std::chrono::seconds(10);
  /// Where this process runs. Bodies of jobs that are bound to other regions never come here.
  core::RegionName region = {};
  /// A process in a region that jobs do not allow bids all the same when the term has been silent
  /// for this long: those in an allowed region may be cut off from the store. Several take-overs
  /// (at most 1.9 s with all delays) fit in, so that one of them is first.
  core::Duration foreign_term_silence = std::chrono::seconds(4);
  /// It keeps a term that it has begun for at least this long, so that a term that nobody else
  /// can take does not change hands all the time.
  core::Duration min_term_duration = std::chrono::seconds(5);
};

/// What the coordinator works with; all outlive it.
struct CoordinatorInputs {
  boost::asio::any_io_executor executor;
  ports::RecordStore& store;
  JobStore& jobs;
  const JobParser& parser;
  ingress::ReplicaDirectory& directory;
  const ingress::RouteTableHolder& routes;
  ports::ReplicaClient& replicas;
  ingress::Forwarder& forwarder;
  /// Versions that trainers have named, by model.
  std::function<std::map<core::ModelName, core::WeightVersion>()> named_versions;
  std::function<bool()> eligible;
  /// What the members say of a term's holder.
  std::function<HolderStatus(const std::string&)> holder_status;
  const core::TimeSource& time;
  core::Metrics& metrics;
  /// Whether the jobs' regions call for a coordinator elsewhere, and one there is alive; never
  /// when this is empty.
  std::function<bool()> is_preferred_elsewhere = {};
  /// What else the holder of the term does; may be empty.
  TermDutyFactory term_duties = {};
};

class TermSession;

class Coordinator {
 public:
  Coordinator(CoordinatorInputs inputs, CoordinatorSettings settings, std::uint64_t seed);
  ~Coordinator();
  void start();
  /// \return whether this process coordinates, which needs all replicas at once.
  bool is_coordinating() const { return tenure_ != nullptr; }
  /// Replaces the least time between two looks at the term.
  void set_feed_interval(core::Duration interval) { keeper_.set_feed_interval(interval); }
  bool holds_term() const { return keeper_.held().has_value(); }
  /// The routes, the replicas or the named versions have changed.
  void on_inputs_changed();
  /// Saves the texts in the making, gives the term up and ends all work.
  boost::asio::awaitable<void> stop();

 private:
  void begin(Term term);
  void finish();
  bool is_preferred_elsewhere() const;
  /// \return whether this process may bid for the term now.
  bool may_bid() const;
  void leave_if_preferred_elsewhere();
  /// Saves the texts in the making and leaves the term to a process in a better region.
  boost::asio::awaitable<void> leave();

  CoordinatorInputs inputs_;
  CoordinatorSettings settings_;
  TermKeeper keeper_;
  std::shared_ptr<TermSession> tenure_;
  core::MonotonicTime began_at_{};  ///< when the term that is held began
  bool leaving_ = false;
};

}  // namespace stoneport::jobs
