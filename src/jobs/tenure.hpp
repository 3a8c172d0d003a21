/// \file
/// The coordinator's work within one term. Holds all open jobs; ended by stop(),
/// after which nothing of it touches a replica or the store. Belongs to the
/// coordinator's thread; its coroutines share it.
#pragma once

#include <boost/asio/cancellation_signal.hpp>
#include <list>
#include <map>
#include <memory>
#include <set>

#include "jobs/checkpoint_writer.hpp"
#include "jobs/coordinator.hpp"
#include "jobs/open_job.hpp"
#include "jobs/result_lister.hpp"
#include "jobs/scorer.hpp"
#include "jobs/text_attempt.hpp"
#include "records/table_mirror.hpp"

namespace stoneport::jobs {

/// One text that a replica makes now.
struct ActiveRun {
  OpenJobPointer job;
  std::size_t item = 0;
  ingress::ReplicaPointer replica;
  core::MonotonicTime started;
  core::MonotonicTime last_event;
  std::uint64_t events_made = 0;  ///< in this run
  bool moving = false;            ///< cut, to go on elsewhere
  boost::asio::cancellation_signal cut;
};
using ActiveRunPointer = std::shared_ptr<ActiveRun>;

/// What the coordinator has seen of one replica.
struct ReplicaWork {
  std::uint32_t running = 0;
  core::Duration event_gap{};  ///< moving average; zero when not known
  core::MonotonicTime last_event{};
  core::MonotonicTime closed_until{};  ///< refused a text lately
};

class Tenure : public std::enable_shared_from_this<Tenure> {
 public:
  Tenure(const CoordinatorInputs& inputs, const CoordinatorSettings& settings, TermKeeper& keeper,
         Term term);
  ~Tenure();
  void start();
  void stop();
  void dispatch_soon();
  /// Stops placing, and saves what the texts in the making have.
  boost::asio::awaitable<void> hand_over();

 private:
  struct Meters;

  // Jobs.
  void on_index(const records::TableMirror::Records& records);
  static boost::asio::awaitable<void> adopt(std::shared_ptr<Tenure> self, std::string id,
                                            JobIndexEntry entry, bool is_fresh);
  void close_job(const OpenJobPointer& job, std::string_view reason);
  bool refresh_route(OpenJob& job) const;
  void expire_items();
  std::vector<OpenJobPointer> open_jobs() const;

  // Placement.
  void dispatch();
  void dispatch_job(const OpenJobPointer& job, core::MonotonicTime now);
  std::vector<ingress::ReplicaPointer> usable_replicas(const OpenJob& job) const;
  std::vector<ReplicaLoad> loads(const std::vector<ingress::ReplicaPointer>& replicas,
                                 const OpenJob& job, core::MonotonicTime now);
  void begin_run(const OpenJobPointer& job, std::size_t item, ingress::ReplicaPointer replica);
  ports::ReplicaCall item_call(const OpenJob& job, const JobItem& item) const;
  static boost::asio::awaitable<void> run_item(std::shared_ptr<Tenure> self, ActiveRunPointer run);
  void on_event(ActiveRun& run);
  void on_run_end(const ActiveRunPointer& run, const AttemptEnd& end);
  void requeue(const ActiveRunPointer& run, const AttemptEnd& end);
  void move_stragglers(core::MonotonicTime now);
  bool should_move(const ActiveRun& run, core::MonotonicTime now, core::Duration median);

  // Results.
  static boost::asio::awaitable<void> score(std::shared_ptr<Tenure> self, OpenJobPointer job,
                                            std::size_t item);
  void list(const OpenJobPointer& job, std::size_t item, ResultState state, std::string score);
  void on_listed(const PendingResult& listed, std::uint64_t position);

  static boost::asio::awaitable<void> tick_loop(std::shared_ptr<Tenure> self);
  weights::WantedVersions wanted_versions() const;
  bool may_order() const;

  CoordinatorInputs inputs_;
  CoordinatorSettings settings_;
  TermKeeper& keeper_;
  Term term_;
  std::unique_ptr<Meters> meters_;
  std::map<std::string, OpenJobPointer> jobs_;
  std::set<std::string> adopting_;
  std::set<std::string> closed_;  ///< ids that need no more work
  std::map<core::ReplicaId, ReplicaWork> work_;
  std::list<ActiveRunPointer> runs_;
  std::unique_ptr<records::TableMirror> index_;
  std::shared_ptr<ResultLister> lister_;
  std::shared_ptr<CheckpointWriter> checkpoints_;
  std::shared_ptr<weights::WeightLoader> loader_;
  std::unique_ptr<Scorer> scorer_;
  core::MonotonicTime last_tick_{};
  bool dispatch_pending_ = false;
  bool handing_over_ = false;
  bool over_ = false;
};

}  // namespace stoneport::jobs
