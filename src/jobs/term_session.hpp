/// \file
/// The coordinator's work within one term. Owns all open jobs. After stop() it does not access
/// replicas or the store any more. Used from the coordinator's thread; its coroutines share
/// ownership of it.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>

#include "core/work_pacer.hpp"
#include "jobs/coordinator.hpp"
#include "jobs/item_dispatcher.hpp"
#include "jobs/open_job.hpp"
#include "jobs/order_announcer.hpp"
#include "jobs/record_sweeper.hpp"
#include "jobs/scorer.hpp"
#include "jobs/term_writer.hpp"
#include "jobs/wanted_weights.hpp"
#include "records/table_mirror.hpp"

namespace stoneport::jobs {

class TermSession : public std::enable_shared_from_this<TermSession> {
 public:
  TermSession(const CoordinatorInputs& inputs, const CoordinatorSettings& settings,
              TermKeeper& keeper, Term term);
  ~TermSession();
  void start();
  void stop();
  void dispatch_soon();
  /// Stops placing texts and checkpoints the unfinished ones.
  boost::asio::awaitable<void> hand_over();

 private:
  struct Meters;

  void make_parts();
  void make_writer();
  void make_dispatcher();
  void make_loader();
  void make_duties();
  static boost::asio::awaitable<void> begin(std::shared_ptr<TermSession> self);
  static boost::asio::awaitable<void> tick_loop(std::shared_ptr<TermSession> self);
  static boost::asio::awaitable<void> sweep_loop(std::shared_ptr<TermSession> self);
  std::vector<ports::Record> index_records() const;

  void on_index(const records::TableMirror::Records& records);
  static boost::asio::awaitable<void> adopt(std::shared_ptr<TermSession> self, std::string id,
                                            JobIndexEntry entry, bool is_fresh);
  void open(const OpenJobPointer& job, bool is_fresh);
  void close(const OpenJobPointer& job, std::string_view reason);
  /// Records the lengths of the texts of \p job, for groups that are resubmitted.
  void record_lengths(const OpenJob& job);
  void restore_lengths(OpenJob& job) const;
  /// \return whether the job's regions allow this process to read its body.
  bool can_process_job(const JobIndexEntry& entry) const;
  void refresh_route(OpenJob& job) const;
  void expire_items();
  std::vector<OpenJobPointer> open_jobs() const;
  static boost::asio::awaitable<void> dispatch_after_pause(std::shared_ptr<TermSession> self);
  bool has_fresh_index() const;
  void dispatch();

  /// \return the rank of \p job and when its results are due, by this process's clock; none if the
  /// store's clock is unknown or its route has no deadline.
  std::optional<RatingPriority> rating_priority_of(const OpenJob& job) const;
  static boost::asio::awaitable<void> score(std::shared_ptr<TermSession> self, OpenJobPointer job,
                                            std::size_t item);
  void list(const OpenJobPointer& job, std::size_t item, ResultState state, std::string score);
  void log_given_up(const OpenJob& job, std::size_t item, std::string_view end,
                    const std::string& reason) const;
  void on_listed(const PendingResult& listed, std::uint64_t position);

  /// Whether this process may act on its term now.
  bool can_act_on_term() const;
  bool may_order() const;
  /// Tells the send gate until when this process can rely on being the only coordinator.
  void extend_gate();
  /// Reads which replicas previous holders recently ordered to load weights.
  static boost::asio::awaitable<void> load_order_history(std::shared_ptr<TermSession> self);
  static boost::asio::awaitable<std::optional<core::MonotonicTime>> announce_order(
      std::shared_ptr<TermSession> self, core::ReplicaId replica);

  CoordinatorInputs inputs_;
  CoordinatorSettings settings_;
  TermKeeper& keeper_;
  Term term_;
  WantedWeights wanted_weights_;
  std::unique_ptr<Meters> meters_;
  std::map<std::string, OpenJobPointer> jobs_;
  std::set<std::string> adopting_;
  std::set<std::string> closed_;  ///< ids of jobs that need no more work
  LengthHistory lengths_;
  std::unique_ptr<records::TableMirror> index_;
  std::shared_ptr<TermWriter> writer_;
  std::shared_ptr<ItemDispatcher> dispatcher_;
  std::shared_ptr<OrderAnnouncer> announcer_;
  std::shared_ptr<weights::WeightLoader> loader_;
  std::unique_ptr<Scorer> scorer_;
  std::unique_ptr<RecordSweeper> sweeper_;
  std::vector<TermDutyPointer> duties_;
  core::MonotonicTime last_tick_{};
  core::WorkPacer dispatch_pacer_;
  bool order_history_loaded_ = false;
  bool dispatch_pending_ = false;
  bool handing_over_ = false;
  bool ended_ = false;
};

}  // namespace stoneport::jobs
