/// \file
/// Places items on replicas, follows their event streams, and moves texts away from replicas that
/// are silent, slow or refuse them. Used from the coordinator's thread, for one term; its
/// coroutines share ownership of it.
#pragma once

#include <boost/asio/cancellation_signal.hpp>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <unordered_map>

#include "core/metrics.hpp"
#include "core/work_pacer.hpp"
#include "ingress/crash_guard.hpp"
#include "ingress/replica_directory.hpp"
#include "jobs/open_job.hpp"
#include "jobs/placement.hpp"
#include "jobs/replica_speeds.hpp"
#include "jobs/step_capacity.hpp"
#include "jobs/step_scheduler.hpp"
#include "jobs/text_attempt.hpp"

namespace stoneport::jobs {

struct ItemDispatcherSettings {
  PlacementSettings placement;
  MoveSettings moves;
  ReplicaSpeedSettings speeds;
  /// Minimum number of replicas with free slots that are compared for the texts of a job, if there
  /// are that many; one per text if that is more. Placing a text examines each of them once, and
  /// recording it examines each once more in the view of every other job.
  std::size_t min_candidates = 256;
  /// A text that receives no event for this long is moved: the larger of min_silence and
  /// silence_gap_factor usual gaps between events.
  core::Duration min_silence = std::chrono::milliseconds(450);
  double silence_gap_factor = 8;
  /// Minimum silence before a text is moved while its replica loads weights.
  core::Duration loading_silence = std::chrono::milliseconds(1600);
  /// Minimum silence before a text is moved while its replica is cold, and therefore slow.
  core::Duration cold_silence = std::chrono::milliseconds(1600);
  /// Time for which a silent or unreachable replica gets no work.
  core::Duration suspicion = std::chrono::milliseconds(1500);
  core::Duration refusal_pause = std::chrono::milliseconds(60);
  /// Pacing of the search for texts to move, which compares each text with all replicas. The
  /// interval stays well below min_silence, so that a silent text is detected in time.
  core::WorkPacerSettings move_checks{
      .share = 0.1, .shortest_interval = {}, .longest_interval = std::chrono::milliseconds(400)};
  /// When there is too little capacity for all jobs of one rank, completes some of them in time, in
  /// turn, instead of delaying all.
  bool fair_steps = false;
  /// Pacing of new decisions while the set of open jobs is unchanged: frequent compared with the
  /// seconds within which a job is due. A decision examines each item, so it runs less often for
  /// large jobs.
  core::WorkPacerSettings step_decisions{.share = 0.05,
                                         .shortest_interval = std::chrono::milliseconds(100),
                                         .longest_interval = std::chrono::milliseconds(500)};
};

/// Dependencies of the dispatcher; all must outlive it.
struct ItemDispatcherInputs {
  boost::asio::any_io_executor executor;
  ingress::ReplicaDirectory& directory;
  ports::ReplicaClient& replicas;
  ports::RecordStore& store;  ///< used for its clock only
  const core::TimeSource& time;
  core::Metrics& metrics;
  /// Whether a replica is loading a version of a model.
  std::function<bool(const core::ReplicaId&, const core::ModelName&)> is_loading;
  ingress::CrashGuard& guard;  ///< told of replicas that have crashed
};

class ItemDispatcher : public std::enable_shared_from_this<ItemDispatcher> {
 public:
  struct Listener {
    std::function<void(const OpenJobPointer&, std::size_t item)> on_complete;
    /// The item can never be completed, or failed as often as its route allows.
    std::function<void(const OpenJobPointer&, std::size_t item)> on_failed;
    /// A slot became free or an item may be placed again.
    std::function<void()> on_change;
  };

  ItemDispatcher(ItemDispatcherInputs inputs, Listener listener, ItemDispatcherSettings settings);
  ~ItemDispatcher();

  /// Places queued items in order of the routes' priorities. All jobs of one priority form one
  /// queue, ordered by the latest time at which their texts should start. With fair_steps, jobs
  /// that can be completed in time go first when not all can be.
  void dispatch(std::vector<OpenJobPointer> jobs);
  /// Moves texts from silent and slow replicas. Should be called about every 100 ms; does nothing
  /// if the previous call was too recent for what it cost.
  void move_stragglers();
  /// Restarts all silence timeouts after this process was paused, because events that arrived
  /// meanwhile have not been read yet.
  void reset_silence();
  /// Cancels the runs of \p job, or of all jobs if it is null.
  void cancel(const OpenJobPointer& job);
  /// \return the number of texts running on \p replica.
  std::uint32_t running_on(const core::ReplicaId& replica) const;

 private:
  struct Meters;
  struct Run;
  using RunPointer = std::shared_ptr<Run>;
  /// A text that a replica is generating.
  struct Run {
    OpenJobPointer job;
    std::size_t item = 0;
    ingress::ReplicaPointer replica;
    core::MonotonicTime last_event;
    core::MonotonicTime began;
    std::uint64_t events_made = 0;  ///< in this run
    bool is_long = false;           ///< expected to be long when it started
    std::string move_reason;    ///< set when the run is cancelled to continue on another replica
    bool fell_silent = false;   ///< whether silence was the reason
    bool is_cancelled = false;  ///< by the coordinator
    boost::asio::cancellation_signal cancel;
    std::list<RunPointer>::iterator place;  ///< position in runs_
  };
  /// Recent state of one replica.
  struct ReplicaWork {
    std::uint32_t running = 0;
    std::uint32_t long_running = 0;      ///< those of them that were expected to be long
    core::MonotonicTime closed_until{};  ///< refused a text recently
  };

  /// A job and its candidate replicas at one point in time.
  struct JobView {
    OpenJobPointer job;
    std::vector<ingress::ReplicaPointer> replicas;
    std::vector<ReplicaLoad> loads;  ///< by index into replicas
    core::Duration median{};         ///< of the event gaps in loads
    std::size_t next = 0;            ///< index into the job's start order
    core::Duration latest_start{};   ///< of the item at next
    std::uint32_t position = 0;      ///< of the job within its rank; compared before latest_start
  };
  /// A text that would complete sooner on another replica.
  struct Move {
    RunPointer run;
    core::Duration gain{};
    core::Duration here{};
    core::Duration there{};
  };

  /// Decides which of \p jobs can be completed in time, if a decision is due.
  void decide_steps(const std::vector<OpenJobPointer>& jobs, core::MonotonicTime now);
  bool is_decision_due(const std::vector<OpenJobPointer>& jobs, core::MonotonicTime now) const;
  OpenStep step_of(const JobView& view);
  std::vector<ReplicaRate> rates_of(const JobView& view, core::MonotonicTime now) const;
  void note_decision(const StepDecision& decision);
  static bool has_work(const OpenJob& job, core::MonotonicTime now);
  /// \return why the send gate allows no text of \p job on \p replica now; nothing if it does.
  std::optional<eligibility::BlockReason> block_reason(const OpenJob& job,
                                                       const ingress::ReplicaState& replica,
                                                       core::MonotonicTime now) const;
  bool is_cold(const ingress::ReplicaState& replica, core::MonotonicTime now) const;
  JobView view_of(const OpenJobPointer& job, core::MonotonicTime now);
  /// Places the queued items of \p views, which all have the same priority.
  void place_queued(std::vector<JobView> views, core::MonotonicTime now);
  /// Advances \p view to its next queued item. \return false when there is none.
  bool advance(JobView& view, core::MonotonicTime now);
  /// \return false when no replica has a free slot for any item of \p view.
  bool place_next(JobView& view, std::vector<JobView>& views, core::MonotonicTime now);
  /// Checks whether the replica of a run that ended in \p end has crashed, so that the text is not
  /// placed there again.
  static boost::asio::awaitable<void> check_replica(std::shared_ptr<ItemDispatcher> self,
                                                    RunPointer run, AttemptEnd end);
  void count_text(JobView& view, const core::ReplicaId& replica, bool is_long,
                  core::MonotonicTime now) const;
  /// \return whether the text of \p item is expected to be long on a typical replica of \p view.
  bool is_long(const JobView& view, std::size_t item);
  const LengthEstimator& length_estimator_of(const OpenJob& job) {
    return length_estimators_[job.job.model];
  }
  /// \return whether texts of \p job may run on \p replica, now or shortly.
  bool may_make(const OpenJob& job, const ingress::ReplicaState& replica,
                core::MonotonicTime now) const;
  bool has_room(const ingress::ReplicaState& replica, core::MonotonicTime now) const;
  /// \return the replicas that are compared for the texts of \p job.
  std::vector<ingress::ReplicaPointer> usable_replicas(const OpenJob& job,
                                                       core::MonotonicTime now) const;
  std::size_t replicas_compared(const OpenJob& job) const;
  std::vector<ReplicaLoad> loads(const std::vector<ingress::ReplicaPointer>& replicas,
                                 const OpenJob& job, core::MonotonicTime now);
  void begin_run(const OpenJobPointer& job, std::size_t item, ingress::ReplicaPointer replica,
                 bool is_long);
  /// Updates the views after a text of \p view was placed on \p replica.
  void note_placed(const JobView& view, std::vector<JobView>& views, const core::ReplicaId& replica,
                   bool is_long, core::MonotonicTime now) const;
  ports::ReplicaCall item_call(const OpenJob& job, const JobItem& item) const;
  static boost::asio::awaitable<void> run_item(std::shared_ptr<ItemDispatcher> self,
                                               RunPointer run);
  void on_event(Run& run);
  void on_end(const RunPointer& run, const AttemptEnd& end);
  void record_complete(const Run& run);
  static bool has_failed_too_often(const ItemProgress& item, std::uint32_t max_attempts);
  void requeue(const RunPointer& run, const AttemptEnd& end);
  void note_replica(const Run& run, const AttemptEnd& end);
  void move_from_silent_replicas(core::MonotonicTime now);
  bool is_silent(Run& run, core::MonotonicTime now, core::Duration usual_gap);
  void move_to_faster_replicas(core::MonotonicTime now);
  /// \return the move of \p run to the best replica of \p view with a free slot, if it is worth its
  /// cost.
  std::optional<Move> best_move(const RunPointer& run, const JobView& view,
                                core::MonotonicTime now);
  static std::optional<std::size_t> place_elsewhere(const Run& run, const JobView& view,
                                                    const PlacementSettings& settings);
  /// \return one view for each job that has a run.
  std::map<OpenJob*, JobView> views_of_runs(core::MonotonicTime now);
  core::Duration median_gap(core::MonotonicTime now) const;
  void move(Run& run, std::string reason);
  static void cancel(Run& run);

  ItemDispatcherInputs inputs_;
  Listener listener_;
  ItemDispatcherSettings settings_;
  std::unique_ptr<Meters> meters_;
  std::unordered_map<core::ReplicaId, ReplicaWork> work_;
  ReplicaSpeeds speeds_;
  core::WorkPacer move_pacer_;
  std::map<core::ModelName, LengthEstimator> length_estimators_;
  std::list<RunPointer> runs_;
  StepScheduler step_shares_;
  std::map<std::string, StepPlace> step_places_;  ///< by job, as last decided
  core::WorkPacer step_pacer_;
};

}  // namespace stoneport::jobs
