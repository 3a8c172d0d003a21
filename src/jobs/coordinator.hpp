/// \file
/// Processes all open jobs while this process holds the coordinator term: follows the job index,
/// places items on replicas, has texts scored and listed, and hands over when the term ends. Used
/// from one thread only.
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
  /// No load order is sent to a replica within this time of another holder's announcement.
  core::Duration order_pause = std::chrono::milliseconds(3700);
  /// No load order is sent when the last confirmed heartbeat is older than this.
  core::Duration order_confirmation = std::chrono::milliseconds(1000);
  core::Duration tick = std::chrono::milliseconds(100);
  /// Time after its acceptance for which a job's records are kept.
  core::Duration retention = std::chrono::seconds(120);
  core::Duration sweep_interval = std::chrono::seconds(10);
  /// Region of this process. It never reads bodies of jobs that are bound to other regions.
  core::RegionName region = {};
  /// Silence of the term after which a process bids although its region is not one that the jobs
  /// allow: the processes in allowed regions may be cut off from the store. Long enough for several
  /// takeovers (at most 1.9 s each with all delays), so that an allowed process wins if there is
  /// one.
  core::Duration foreign_term_silence = std::chrono::seconds(4);
  /// Minimum time for which a process outside the allowed regions keeps a term that it has gained,
  /// so that a term that no other process can take does not change hands continually.
  core::Duration min_term_duration = std::chrono::seconds(5);
};

/// Dependencies of the coordinator; all must outlive it.
struct CoordinatorInputs {
  boost::asio::any_io_executor executor;
  ports::RecordStore& store;
  JobStore& jobs;
  const JobParser& parser;
  ingress::ReplicaDirectory& directory;
  const ingress::RouteTableHolder& routes;
  ports::ReplicaClient& replicas;
  ingress::Forwarder& forwarder;
  /// Returns the weight versions named by trainers, by model.
  std::function<std::map<core::ModelName, core::WeightVersion>()> named_versions;
  std::function<bool()> eligible;
  /// Returns what the cluster members report about a term's holder.
  std::function<HolderStatus(const std::string&)> holder_status;
  const core::TimeSource& time;
  core::Metrics& metrics;
  /// Returns whether the jobs' regions require a coordinator elsewhere and such a process is alive.
  /// Never the case if empty.
  std::function<bool()> is_preferred_elsewhere = {};
  /// Creates the other duties of the term's holder; may be empty.
  TermDutyFactory term_duties = {};
};

class TermSession;

class Coordinator {
 public:
  Coordinator(CoordinatorInputs inputs, CoordinatorSettings settings, std::uint64_t seed);
  ~Coordinator();
  void start();
  /// Whether this process coordinates the jobs, and therefore needs all replicas in its directory.
  bool is_coordinating() const { return session_ != nullptr; }
  /// Sets the minimum interval between two reads of the term.
  void set_feed_interval(core::Duration interval) { keeper_.set_feed_interval(interval); }
  bool holds_term() const { return keeper_.held().has_value(); }
  /// Must be called when the routes, the replicas or the named versions have changed.
  void on_inputs_changed();
  /// Checkpoints the unfinished texts, releases the term and stops all work.
  boost::asio::awaitable<void> stop();

 private:
  void begin(Term term);
  void finish();
  bool is_preferred_elsewhere() const;
  /// Whether this process may bid for the term now.
  bool may_bid() const;
  void leave_if_preferred_elsewhere();
  /// Checkpoints the unfinished texts and steps down in favour of a process in an allowed region.
  boost::asio::awaitable<void> leave();

  CoordinatorInputs inputs_;
  CoordinatorSettings settings_;
  TermKeeper keeper_;
  std::shared_ptr<TermSession> session_;
  core::MonotonicTime began_at_{};  ///< when the current term began
  bool leaving_ = false;
};

}  // namespace stoneport::jobs
