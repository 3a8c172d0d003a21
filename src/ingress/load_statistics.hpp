/// \file
/// Counts the outcomes of requests by service and for the most active tenants, so that operators
/// see which requests wait or are refused, and why. Has no influence on routing. Bounded in memory:
/// names beyond a limit are counted together. Not thread-safe.
#pragma once

#include <array>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string_view>

#include "core/identifiers.hpp"
#include "core/time.hpp"

namespace stoneport::ingress {

/// Why a request was refused without having run.
enum class RefusalReason {
  kOverload,         ///< the service has no capacity for it
  kReplicasRefused,  ///< all replicas that were tried refused it or were unreachable
  kNoReplica,        ///< no replica accepted work before the request had to be given up
  kRegions,          ///< no replica in a region that its route and tenant allow
  kEvacuated,        ///< all replicas are in evacuated zones
  kHeldBack,         ///< replicas crashed while running it
  kTooLate,          ///< its deadline passed before a replica was looked for
  kLast = kTooLate,
};
inline constexpr std::size_t kRefusalReasons = static_cast<std::size_t>(RefusalReason::kLast) + 1;

/// \return the name of \p reason on operator pages and in metrics.
std::string_view to_string(RefusalReason reason);

/// Request counts by outcome, and counts of the calls made for them. Requests that are neither
/// answered, refused, failed nor abandoned are still being served.
struct LoadCounts {
  std::uint64_t asked = 0;
  std::uint64_t answered = 0;   ///< a replica answered, possibly with an error
  std::uint64_t failed = 0;     ///< may have run, but got no usable answer
  std::uint64_t abandoned = 0;  ///< the caller disconnected or cancelled it
  std::array<std::uint64_t, kRefusalReasons> refused{};
  std::uint64_t sends = 0;          ///< calls to replicas, including second calls
  std::uint64_t sends_refused = 0;  ///< calls that replicas refused without running them
  std::uint64_t second_calls = 0;
  std::uint64_t second_calls_won = 0;  ///< second calls that were answered before the first call
  core::Duration longest_wait{};       ///< longest wait for a replica

  std::uint64_t refused_for(RefusalReason reason) const {
    return refused[static_cast<std::size_t>(reason)];
  }
  std::uint64_t refused_in_all() const;
  /// Adds \p other; the longer of the two waits is kept.
  void add(const LoadCounts& other);

  bool operator==(const LoadCounts&) const = default;
};

/// Statistics of one service, of one tenant, or of all names without their own entry.
struct LoadEntry {
  LoadCounts recent;  ///< over the last LoadStatistics::kRecent
  LoadCounts total;   ///< since start-up, or since the name got its entry
  std::uint32_t waiting = 0;
};

namespace detail {

/// Counts over the last seconds, in buckets of one second, and in total.
class LoadWindow {
 public:
  static constexpr std::size_t kBuckets = 10;

  /// \return the bucket for an event at \p now, which must be counted in total() too.
  LoadCounts& bucket(core::MonotonicTime now);
  LoadCounts& total() { return total_; }
  const LoadCounts& total() const { return total_; }
  LoadCounts recent(core::MonotonicTime now) const;
  /// Adds all counts of \p other.
  void add(const LoadWindow& other);

 private:
  struct Bucket {
    std::int64_t second = -1;
    LoadCounts counts;
  };
  std::array<Bucket, kBuckets> buckets_{};
  LoadCounts total_;
};

}  // namespace detail

class LoadStatistics {
 public:
  /// Long enough to show a burst of a few seconds on a page that an operator reloads by hand.
  static constexpr core::Duration kRecent = std::chrono::seconds(detail::LoadWindow::kBuckets);
  /// An entry takes less than 2 kB, so that both tables together take a quarter of a megabyte.
  /// Services come from the configuration, which has tens of them; operators look at the most
  /// active tenants, of which a page shows some tens.
  static constexpr std::size_t kMaxServices = 64;
  static constexpr std::size_t kMaxTenants = 64;

  /// One request from arrival to completion. Destruction without an outcome counts as abandoned.
  class Request;

  using Services = std::map<core::ServiceName, LoadEntry>;
  using Tenants = std::map<core::TenantName, LoadEntry>;
  Services services(core::MonotonicTime now) const;
  /// \return the counts of \p service over the last kRecent; nothing if it has no entry. Cheaper
  /// than services().
  LoadCounts recent_of(const core::ServiceName& service, core::MonotonicTime now) const;
  /// \return the tenants that sent the largest number of requests recently.
  Tenants tenants(core::MonotonicTime now) const;
  /// \return the sum over the services, or tenants, without their own entry.
  LoadEntry other_services(core::MonotonicTime now) const;
  LoadEntry other_tenants(core::MonotonicTime now) const;

 private:
  struct Waiting {
    core::ServiceName service;
    core::TenantName tenant;
    core::MonotonicTime since;
  };
  using WaitingList = std::list<Waiting>;

  /// Windows by name; a new name replaces the one with the fewest requests within kRecent.
  template <class Name, std::size_t kMost>
  class Table {
   public:
    /// \return the window of \p name; a new one replaces that with the fewest recent requests if
    /// the table is full.
    detail::LoadWindow& of(const Name& name, core::MonotonicTime now);
    bool contains(const Name& name) const { return windows_.contains(name); }
    LoadCounts recent_of(const Name& name, core::MonotonicTime now) const;
    std::map<Name, LoadEntry> entries(core::MonotonicTime now) const;
    LoadEntry others(core::MonotonicTime now) const;

   private:
    void drop_least_used(core::MonotonicTime now);

    std::map<Name, detail::LoadWindow> windows_;
    detail::LoadWindow others_;
  };

  /// Applies \p change to each counter set in which an event of the service and tenant is counted.
  template <class Change>
  void count(const core::ServiceName& service, const core::TenantName& tenant,
             core::MonotonicTime now, Change change);
  void end_wait(WaitingList::iterator waiting, core::MonotonicTime now);

  Table<core::ServiceName, kMaxServices> services_;
  Table<core::TenantName, kMaxTenants> tenants_;
  WaitingList waiting_;  ///< as many as there are waiting requests in this process
  /// Latest time passed in; a request that is destroyed without an outcome ends at this time.
  core::MonotonicTime latest_{};
};

/// Movable, not copyable.
class LoadStatistics::Request {
 public:
  /// Creates a request that counts nothing.
  Request() = default;
  /// \param statistics shared, because a request may outlive the forwarder that created it
  /// \param tenant empty for a request without a tenant
  Request(std::shared_ptr<LoadStatistics> statistics, core::ServiceName service,
          core::TenantName tenant, core::MonotonicTime now);
  Request(Request&& other) noexcept;
  Request& operator=(Request&& other) noexcept;
  Request(const Request&) = delete;
  Request& operator=(const Request&) = delete;
  ~Request() { abandon(); }

  /// Starts waiting for a replica at \p now, unless the request is waiting already.
  void wait(core::MonotonicTime now);
  /// Records that the request was sent to a replica and no longer waits.
  void sent(core::MonotonicTime now);
  /// Records that the replica refused the request without running it.
  void refused_by_replica(core::MonotonicTime now);
  void second_call_sent(core::MonotonicTime now);
  void second_call_won(core::MonotonicTime now);
  /// Record the outcome. Only the first call has an effect.
  void answered(core::MonotonicTime now);
  void refused(RefusalReason reason, core::MonotonicTime now);
  void failed(core::MonotonicTime now);
  /// \param refusal none if the request may have run
  void end_unanswered(std::optional<RefusalReason> refusal, core::MonotonicTime now);

 private:
  template <class Change>
  void count(core::MonotonicTime now, Change change);
  template <class Change>
  void end(core::MonotonicTime now, Change change);
  void end_wait(core::MonotonicTime now);
  void abandon();

  std::shared_ptr<LoadStatistics> statistics_;  ///< null once the outcome is recorded
  core::ServiceName service_;
  core::TenantName tenant_;
  std::optional<WaitingList::iterator> waiting_;
};

}  // namespace stoneport::ingress
