/// \file
/// Memory for message bodies that are read whole before they are passed on. Whoever reads one
/// reserves its bytes first and waits while too many are held; the deadline of the caller goes on
/// meanwhile. Used from the thread of its executor only.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string>

#include "core/error.hpp"
#include "core/metrics.hpp"
#include "core/time.hpp"
#include "http/body.hpp"
#include "http/body_budget.hpp"

namespace stoneport::http {

/// Told of a wait for memory; of its end only if it ended with memory. Not called when there is
/// room at once.
struct MemoryWaitListener {
  std::function<void()> on_begin = {};
  std::function<void(core::Duration waited)> on_end = {};
};

class BodyMemory {
 public:
  /// Asks whoever keeps bodies for clients that do not read them to free about \p bytes.
  using Reclaim = std::function<void(std::uint64_t bytes)>;

  /// \param name label of the metrics, such as "answers"
  /// \param metrics must outlive the execution context of \p executor
  BodyMemory(boost::asio::any_io_executor executor, const std::string& name,
             BodyBudgetLimits limits, core::Metrics& metrics);
  /// \param reclaim called every 100 ms while a body waits
  void set_reclaim(Reclaim reclaim);
  /// \return whether a body waits for memory.
  bool is_short() const;

 private:
  friend class BodyReservation;
  struct State;
  std::shared_ptr<State> state_;
};

/// The bytes that one body holds; they are given back when this is destroyed.
class BodyReservation {
 public:
  explicit BodyReservation(BodyMemory& memory) : state_(memory.state_) {}
  ~BodyReservation();
  BodyReservation(const BodyReservation&) = delete;
  BodyReservation& operator=(const BodyReservation&) = delete;

  /// Waits until \p bytes in all may be held, more than before.
  /// \return kOverloaded if that was not so by \p deadline; nothing is held then.
  boost::asio::awaitable<core::Result<void>> enlarge(std::uint64_t bytes,
                                                     core::MonotonicTime deadline,
                                                     const MemoryWaitListener& listener);
  /// Gives back what is held beyond \p bytes.
  void shrink(std::uint64_t bytes);
  /// \return the time spent in waits that ended with memory.
  core::Duration waited() const { return waited_; }

 private:
  /// Asks for \p bytes in all. \return whether they may be held at once.
  bool ask(std::uint64_t bytes);
  /// \return whether the bytes asked for last were granted by \p deadline.
  boost::asio::awaitable<bool> wait_for_grant(core::MonotonicTime deadline);

  std::shared_ptr<BodyMemory::State> state_;
  core::Duration waited_{};
  BodyBudget::Ticket ticket_ = 0;  ///< zero until the first bytes are asked for
};

/// A whole body with the memory that it takes.
struct ReservedBody {
  std::string text;
  std::shared_ptr<const BodyReservation> reservation;  ///< null for an empty body

  core::Duration waited() const { return reservation ? reservation->waited() : core::Duration(0); }
};

struct ReservedReadOptions {
  std::optional<std::uint64_t> length = std::nullopt;  ///< of the body; nullopt if not known
  /// Whether to reserve only what has arrived, although the length is known: for senders that may
  /// announce much and send little.
  bool reserves_arrived = false;
  std::size_t max_bytes = 0;
  core::MonotonicTime deadline;  ///< end of waits for memory
  MemoryWaitListener listener = {};
};

/// Reads \p body to its end, within \p memory.
/// \return kTooLarge beyond the maximum, kOverloaded if there was no memory by the deadline, or the
/// source's error.
boost::asio::awaitable<core::Result<ReservedBody>> read_reserved(BodySource& body,
                                                                 BodyMemory& memory,
                                                                 ReservedReadOptions options);

}  // namespace stoneport::http
