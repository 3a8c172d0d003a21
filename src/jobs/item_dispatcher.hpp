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

#include "core/metrics.hpp"
#include "ingress/replica_directory.hpp"
#include "jobs/open_job.hpp"
#include "jobs/placement.hpp"
#include "jobs/text_attempt.hpp"

namespace stoneport::jobs {

struct ItemDispatcherSettings {
  PlacementSettings placement;
  /// A text that gets no event for this long is moved; at least, and in event gaps.
  core::Duration shortest_silence = std::chrono::milliseconds(450);
  double silence_in_gaps = 8;
  /// The same while the replica loads weights.
  core::Duration loading_silence = std::chrono::milliseconds(1600);
  /// How long a silent or unreachable replica gets no work.
  core::Duration suspicion = std::chrono::milliseconds(1500);
  core::Duration refusal_pause = std::chrono::milliseconds(60);
  /// A replica's measured speed is forgotten after this time without an event.
  core::Duration speed_memory = std::chrono::milliseconds(2500);
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

  /// Places what is queued, in order of the routes' priorities, then the oldest job first.
  void dispatch(std::vector<OpenJobPointer> jobs);
  /// To be called every 100 ms or so.
  void move_stragglers();
  /// This process was paused: what it did not hear is no sign of silence.
  void forget_silence();
  /// Ends the runs of \p job; of all jobs when it is null.
  void cut(const OpenJobPointer& job);
  /// \return the texts that are made on \p replica.
  std::uint32_t running_on(const core::ReplicaId& replica) const;

 private:
  struct Meters;
  /// One text that a replica makes now.
  struct Run {
    OpenJobPointer job;
    std::size_t item = 0;
    ingress::ReplicaPointer replica;
    core::MonotonicTime last_event;
    std::uint64_t events_made = 0;  ///< in this run
    std::string move_reason;        ///< set when it is cut to go on elsewhere
    bool fell_silent = false;       ///< that was the reason
    boost::asio::cancellation_signal cut;
  };
  using RunPointer = std::shared_ptr<Run>;
  /// What has been seen of one replica.
  struct ReplicaWork {
    std::uint32_t running = 0;
    core::Duration event_gap{};  ///< moving average; zero when not known
    core::MonotonicTime last_event{};
    core::MonotonicTime closed_until{};  ///< refused a text lately
  };

  static bool has_work(const OpenJob& job, core::MonotonicTime now);
  void dispatch_job(const OpenJobPointer& job, core::MonotonicTime now);
  std::vector<ingress::ReplicaPointer> usable_replicas(const OpenJob& job) const;
  std::vector<ReplicaLoad> loads(const std::vector<ingress::ReplicaPointer>& replicas,
                                 const OpenJob& job, core::MonotonicTime now);
  void begin_run(const OpenJobPointer& job, std::size_t item, ingress::ReplicaPointer replica);
  ports::ReplicaCall item_call(const OpenJob& job, const JobItem& item) const;
  static boost::asio::awaitable<void> run_item(std::shared_ptr<ItemDispatcher> self,
                                               RunPointer run);
  void on_event(Run& run);
  void on_end(const RunPointer& run, const AttemptEnd& end);
  static bool has_failed_too_often(const ItemProgress& item, std::uint32_t most_attempts);
  void requeue(const RunPointer& run, const AttemptEnd& end);
  void note_replica(const Run& run, const AttemptEnd& end);
  core::Duration median_gap(core::MonotonicTime now) const;
  /// \return why \p run should go on elsewhere; empty when it should not.
  std::string reason_to_move(Run& run, core::MonotonicTime now, core::Duration median);
  bool has_better_place(const Run& run, core::MonotonicTime now, core::Duration median);

  ItemDispatcherInputs inputs_;
  Listener listener_;
  ItemDispatcherSettings settings_;
  std::unique_ptr<Meters> meters_;
  std::map<core::ReplicaId, ReplicaWork> work_;
  std::list<RunPointer> runs_;
};

}  // namespace stoneport::jobs
