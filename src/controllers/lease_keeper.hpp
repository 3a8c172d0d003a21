/// \file
/// Acquires, renews and releases leases in the table service. Owns the state of
/// every lease of this daemon; control thread only. docs/design/leases.md
#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "controllers/fenced_ownership.hpp"
#include "controllers/lease.hpp"
#include "core/metrics.hpp"
#include "core/random.hpp"
#include "ports/table_service.hpp"
#include "ports/write_id_source.hpp"

namespace stoneport::controllers {

class LeaseKeeper : public FencedOwnership {
 public:
  /// \p table and \p time outlive the keeper. \p self names this process's life:
  /// its incarnation must differ from that of every earlier process of the node.
  LeaseKeeper(ports::TableService& table, const core::TimeSource& time, LeaseHolder self,
              LeaseSettings settings, std::uint64_t seed, core::Metrics& metrics);
  ~LeaseKeeper() override;

  /// Sets which leases this daemon should hold. One that is no longer wanted may
  /// not be acted under from this call on, and is released in the next round.
  void set_wanted(std::set<std::string> names) override;

  /// Reads the clock; ask before each effect.
  LeaseStanding standing(const std::string& name) const;
  /// \return the fencing token for any effect, only while the lease is held.
  std::optional<core::Epoch> held_epoch(const std::string& name) const;
  /// \return the fencing token for an effect that the other side fences and that
  /// may happen twice: also while the store does not answer (kUnconfirmed).
  std::optional<core::Epoch> fenced_epoch(const std::string& name) const override;
  /// \return who holds \p name as last read.
  std::optional<LeaseHolder> observed_holder(const std::string& name) const;

  /// Runs rounds until stop(). Start once.
  boost::asio::awaitable<void> run();
  /// Ends run() after the round in progress.
  void stop() { stopping_ = true; }
  /// One pass over all leases; waits for one in progress to end.
  boost::asio::awaitable<void> run_round();
  /// Gives up every lease, for a planned stop. Best effort: what is not released
  /// runs out.
  boost::asio::awaitable<void> release_all();

 private:
  struct Counters;
  boost::asio::awaitable<void> advance(std::string name, bool wanted);
  boost::asio::awaitable<void> read(std::string name);
  boost::asio::awaitable<void> write(std::string name, LeaseWrite write);
  void log_change(const std::string& name, core::Epoch before);

  ports::TableService& table_;
  const core::TimeSource& time_;
  LeaseHolder self_;
  LeaseSettings settings_;
  ports::WriteIdSource write_ids_;
  core::RandomSource random_;
  std::unique_ptr<Counters> counters_;
  std::map<std::string, LeaseState> leases_;
  std::set<std::string> wanted_;
  bool round_in_progress_ = false;
  bool stopping_ = false;
};

}  // namespace stoneport::controllers
