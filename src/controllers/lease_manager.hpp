/// \file
/// Acquires, renews and releases leases in the table service. Owns the state of all leases
/// of this daemon; control thread only. See docs/design/leases.md.
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

class LeaseManager : public FencedOwnership {
 public:
  /// \param table must outlive the manager, as must \p time
  /// \param self identifies this process; its incarnation must differ from that of every
  /// earlier process of the node
  LeaseManager(ports::TableService& table, const core::TimeSource& time, LeaseHolder self,
               LeaseSettings settings, std::uint64_t seed, core::Metrics& metrics);
  ~LeaseManager() override;

  /// Sets the leases that this daemon should hold. A lease that is no longer wanted allows
  /// no effects from this call on, and is released in the next round.
  void set_wanted(std::set<std::string> names) override;

  /// \return the current status of the lease, which depends on the time; call before each
  /// effect
  LeaseStatus status(const std::string& name) const;
  /// \return the fencing token for any effect, only while the lease is held
  std::optional<core::Epoch> held_epoch(const std::string& name) const;
  /// \return the fencing token for an effect that the receiver fences and that may safely
  /// happen twice; also available while the store does not answer (kUnconfirmed)
  std::optional<core::Epoch> fenced_epoch(const std::string& name) const override;
  /// \return the holder of \p name according to the last read
  std::optional<LeaseHolder> observed_holder(const std::string& name) const;

  /// Runs rounds until stop(). Start once.
  boost::asio::awaitable<void> run();
  /// Ends run() after the round in progress.
  void stop() { stopping_ = true; }
  /// Processes all leases once; first waits for a round in progress to end.
  boost::asio::awaitable<void> run_round();
  /// Releases all leases for a planned shutdown, on a best-effort basis; a lease that is
  /// not released expires.
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
