/// \file
/// Places items on replicas, follows their streams, and moves texts away from
/// replicas that fall silent, turn slow or refuse. Belongs to the coordinator's
/// thread, for one term; its coroutines share it.
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
  /// Replicas with room that are compared for the texts of a job, where there are so many; one
  /// for each text if that is more. Placing a text costs one look at each of them, and noting it
  /// one more in the view of each other job.
  std::size_t min_candidates = 256;
  /// A text that gets no event for this long is moved; at least, and in event gaps.
  core::Duration min_silence = std::chrono::milliseconds(450);
  double silence_gap_factor = 8;
  /// The same while the replica loads weights.
  core::Duration loading_silence = std::chrono::milliseconds(1600);
  /// The same while the replica is cold, and so slow.
  core::Duration cold_silence = std::chrono::milliseconds(1600);
  /// How long a silent or unreachable replica gets no work.
  core::Duration suspicion = std::chrono::milliseconds(1500);
  core::Duration refusal_pause = std::chrono::milliseconds(60);
  /// Looking for texts that should move compares each with all replicas. Well below
  /// min_silence, so that a silent text is seen in time.
  core::WorkPacerSettings move_checks{
      .share = 0.1, .shortest_interval = {}, .longest_interval = std::chrono::milliseconds(400)};
  /// Jobs of one rank are met whole, by turns, where there is too little room for all.
  bool fair_steps = false;
  /// Deciding anew while the same jobs are open: often against the seconds within which a job is
  /// due. It looks at each item, so that large jobs are looked at less often.
  core::WorkPacerSettings step_decisions{.share = 0.05,
                                         .shortest_interval = std::chrono::milliseconds(100),
                                         .longest_interval = std::chrono::milliseconds(500)};
};

/// What the dispatcher works with; all outlive it.
struct ItemDispatcherInputs {
  boost::asio::any_io_executor executor;
  ingress::ReplicaDirectory& directory;
  ports::ReplicaClient& replicas;
  ports::RecordStore& store;  ///< for its clock
  const core::TimeSource& time;
  core::Metrics& metrics;
  /// Whether a replica loads a version of a model now.
  std::function<bool(const core::ReplicaId&, const core::ModelName&)> is_loading;
  ingress::CrashGuard& guard;  ///< asked about texts under which replicas ended
};

class ItemDispatcher : public std::enable_shared_from_this<ItemDispatcher> {
 public:
  struct Listener {
    std::function<void(const OpenJobPointer&, std::size_t item)> on_whole;
    /// The item can never be done, or failed as often as its route allows.
    std::function<void(const OpenJobPointer&, std::size_t item)> on_failed;
    /// A place became free or an item may be placed again.
    std::function<void()> on_change;
  };

  ItemDispatcher(ItemDispatcherInputs inputs, Listener listener, ItemDispatcherSettings settings);
  ~ItemDispatcher();

  /// Places what is queued, in order of the routes' priorities; all jobs of one priority
  /// are one queue, in order of the latest time at which their texts should begin. With fair
  /// steps those go first that can be whole in time, where not all can.
  void dispatch(std::vector<OpenJobPointer> jobs);
  /// To be called every 100 ms or so; does nothing where the last call was too short a time
  /// ago for what it cost.
  void move_stragglers();
  /// This process was paused: what it did not hear is no sign of silence.
  void reset_silence();
  /// Ends the runs of \p job; of all jobs when it is null.
  void cut(const OpenJobPointer& job);
  /// \return the texts that are made on \p replica.
  std::uint32_t running_on(const core::ReplicaId& replica) const;

 private:
  struct Meters;
  struct Run;
  using RunPointer = std::shared_ptr<Run>;
  /// One text that a replica makes now.
  struct Run {
    OpenJobPointer job;
    std::size_t item = 0;
    ingress::ReplicaPointer replica;
    core::MonotonicTime last_event;
    core::MonotonicTime began;
    std::uint64_t events_made = 0;  ///< in this run
    bool is_long = false;           ///< was expected to last long when it began
    std::string move_reason;        ///< set when it is cut to go on elsewhere
    bool fell_silent = false;       ///< that was the reason
    bool is_cut = false;            ///< by the coordinator
    boost::asio::cancellation_signal cut;
    std::list<RunPointer>::iterator place;                ///< in runs_
    std::optional<ingress::CrashGuard::Run> suspect_run;  ///< replicas ended under it before
  };
  /// What has been seen of one replica.
  struct ReplicaWork {
    std::uint32_t running = 0;
    std::uint32_t long_running = 0;      ///< of these, such as were expected to last long
    core::MonotonicTime closed_until{};  ///< refused a text lately
  };

  /// A job and the replicas that may make its texts, as of one look at them.
  struct JobView {
    OpenJobPointer job;
    std::vector<ingress::ReplicaPointer> replicas;
    std::vector<ReplicaLoad> loads;  ///< of replicas
    core::Duration median{};         ///< of the loads' gaps
    std::size_t next = 0;            ///< into the job's start order
    core::Duration latest_start{};   ///< of the item at next
    std::uint32_t position = 0;      ///< of the job among its equals; goes before latest_start
  };
  /// A text that would be whole sooner elsewhere.
  struct Move {
    RunPointer run;
    core::Duration gain{};
    core::Duration here{};
    core::Duration there{};
  };

  /// Finds out which of \p jobs can be whole in time, where that is due.
  void decide_steps(const std::vector<OpenJobPointer>& jobs, core::MonotonicTime now);
  bool is_decision_due(const std::vector<OpenJobPointer>& jobs, core::MonotonicTime now) const;
  OpenStep step_of(const JobView& view);
  std::vector<ReplicaRate> rates_of(const JobView& view, core::MonotonicTime now) const;
  void note_decision(const StepDecision& decision);
  static bool has_work(const OpenJob& job, core::MonotonicTime now);
  /// \return why the gate lets no text of \p job go to \p replica now; nothing when it may.
  std::optional<eligibility::Objection> objection(const OpenJob& job,
                                                  const ingress::ReplicaState& replica,
                                                  core::MonotonicTime now) const;
  bool is_cold(const ingress::ReplicaState& replica, core::MonotonicTime now) const;
  JobView view_of(const OpenJobPointer& job, core::MonotonicTime now);
  /// Places the queued items of \p views, which have one priority.
  void place_all(std::vector<JobView> views, core::MonotonicTime now);
  /// Goes on to the next item of \p view that waits. \return false when there is none.
  bool advance(JobView& view, core::MonotonicTime now);
  /// \return false when no replica has room for any item of \p view.
  bool place_next(JobView& view, std::vector<JobView>& views, core::MonotonicTime now);
  /// The same for an item under which replicas ended.
  void place_suspect(JobView& view, std::vector<JobView>& views, const TextToPlace& text,
                     core::MonotonicTime now);
  static core::RequestFingerprint content_of(const OpenJob& job, std::size_t item);
  /// Finds out whether a replica ended that was making the text, and tells the guard.
  static boost::asio::awaitable<void> settle(std::shared_ptr<ItemDispatcher> self, RunPointer run,
                                             AttemptEnd end);
  void count_text(JobView& view, const core::ReplicaId& replica, bool is_long,
                  core::MonotonicTime now) const;
  /// \return whether the text of \p item is expected to last long on a usual replica of \p view.
  bool is_long(const JobView& view, std::size_t item);
  const LengthEstimator& length_estimator_of(const OpenJob& job) {
    return length_estimators_[job.job.model];
  }
  /// \return whether texts of \p job may be made on \p replica, now or in a moment.
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
                 bool is_long, const ingress::Admission& admission = {});
  /// A text of \p view was placed on \p replica.
  void note_placed(const JobView& view, std::vector<JobView>& views, const core::ReplicaId& replica,
                   bool is_long, core::MonotonicTime now) const;
  ports::ReplicaCall item_call(const OpenJob& job, const JobItem& item) const;
  static boost::asio::awaitable<void> run_item(std::shared_ptr<ItemDispatcher> self,
                                               RunPointer run);
  void on_event(Run& run);
  void on_end(const RunPointer& run, const AttemptEnd& end);
  void note_whole(const Run& run);
  static bool has_failed_too_often(const ItemProgress& item, std::uint32_t most_attempts);
  void requeue(const RunPointer& run, const AttemptEnd& end);
  void note_replica(const Run& run, const AttemptEnd& end);
  void move_from_silent_replicas(core::MonotonicTime now);
  bool is_silent(Run& run, core::MonotonicTime now, core::Duration usual_gap);
  void move_to_faster_replicas(core::MonotonicTime now);
  /// \return what \p run would gain on the best replica of \p view that has room.
  std::optional<Move> best_move(const RunPointer& run, const JobView& view,
                                core::MonotonicTime now);
  static std::optional<std::size_t> place_elsewhere(const Run& run, const JobView& view,
                                                    const PlacementSettings& settings);
  /// One view for each job that has a run.
  std::map<OpenJob*, JobView> views_of_runs(core::MonotonicTime now);
  core::Duration median_gap(core::MonotonicTime now) const;
  void move(Run& run, std::string reason);
  static void cut(Run& run);

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
