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
#include "jobs/term_duty.hpp"
#include "jobs/term_keeper.hpp"
#include "jobs/term_writer.hpp"
#include "weights/weight_loader.hpp"

namespace stoneport::jobs {

struct CoordinatorSettings {
  TermSettings term;
  TermWriterSettings writer;
  ItemDispatcherSettings dispatcher;
  weights::LoadPlanSettings weights;
  /// No order to a replica within this time of another holder's announcement.
  core::Duration order_pause = std::chrono::milliseconds(3700);
  /// No order when the last confirmed heartbeat is older than this.
  core::Duration order_confirmation = std::chrono::milliseconds(1000);
  core::Duration tick = std::chrono::milliseconds(100);
  /// How long after its acceptance a job's records are kept.
  core::Duration retention = std::chrono::seconds(120);
  core::Duration sweep_interval = std::chrono::seconds(10);
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
  std::function<HolderSign(const std::string&)> sign_of;
  const core::TimeSource& time;
  core::Metrics& metrics;
  /// What else the holder of the term does; may be empty.
  TermDutyFactory term_duties = {};
};

class Tenure;

class Coordinator {
 public:
  Coordinator(CoordinatorInputs inputs, CoordinatorSettings settings, std::uint64_t seed);
  ~Coordinator();
  void start();
  bool holds_term() const { return keeper_.held().has_value(); }
  /// The routes, the replicas or the named versions have changed.
  void on_inputs_changed();
  /// Saves the texts in the making, gives the term up and ends all work.
  boost::asio::awaitable<void> stop();

 private:
  void begin(Term term);
  void finish();

  CoordinatorInputs inputs_;
  CoordinatorSettings settings_;
  TermKeeper keeper_;
  std::shared_ptr<Tenure> tenure_;
};

}  // namespace stoneport::jobs
