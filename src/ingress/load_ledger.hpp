/// \file
/// Counts what became of requests, for each service and for the tenants that ask most, so that
/// operators see who waits, who is refused and why. Decides nothing. Plain code; belongs to one
/// thread. Bounded in memory: beyond a number of names the rest are counted as one.
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

/// Why a request was refused that has not run.
enum class RefusalReason {
  kOverload,         ///< the service has too little room for it
  kReplicasRefused,  ///< the replicas that were asked refused it or could not be reached
  kNoReplica,        ///< no replica accepted work until it had to be given up
  kRegions,          ///< no replica where its route and tenant allow it
  kEvacuated,        ///< all replicas lie in evacuated zones
  kHeldBack,         ///< replicas ended under it
  kTooLate,          ///< its time was over before a replica was looked for
  kLast = kTooLate,
};
inline constexpr std::size_t kRefusalReasons = static_cast<std::size_t>(RefusalReason::kLast) + 1;

/// \return the name of \p reason on pages and in metrics.
std::string_view to_string(RefusalReason reason);

/// Requests by what became of them, and the calls that were made for them. What is neither
/// answered, refused, failed nor abandoned is still being served.
struct LoadCounts {
  std::uint64_t asked = 0;
  std::uint64_t answered = 0;   ///< by a replica, also with an error
  std::uint64_t failed = 0;     ///< may have run; no usable answer
  std::uint64_t abandoned = 0;  ///< the caller left or cut it
  std::array<std::uint64_t, kRefusalReasons> refused{};
  std::uint64_t sends = 0;          ///< to replicas, second calls included
  std::uint64_t sends_refused = 0;  ///< by replicas, as not run
  std::uint64_t second_calls = 0;
  std::uint64_t second_calls_won = 0;  ///< answered before the first one
  core::Duration longest_wait{};       ///< for a replica

  std::uint64_t refused_for(RefusalReason reason) const {
    return refused[static_cast<std::size_t>(reason)];
  }
  std::uint64_t refused_in_all() const;
  /// Adds \p other; of the waits the longer one stays.
  void add(const LoadCounts& other);

  bool operator==(const LoadCounts&) const = default;
};

/// What is known of one service, of one tenant, or of those that have no entry of their own.
struct LoadEntry {
  LoadCounts recent;  ///< over the last LoadLedger::kRecent
  LoadCounts total;   ///< since the start, or since the name has its entry
  std::uint32_t waiting = 0;
};

namespace detail {

/// Counts of the last seconds, a second a bucket, and since the beginning.
class LoadWindow {
 public:
  static constexpr std::size_t kBuckets = 10;

  /// \return where an event at \p now is counted, beside total().
  LoadCounts& bucket(core::MonotonicTime now);
  LoadCounts& total() { return total_; }
  const LoadCounts& total() const { return total_; }
  LoadCounts recent(core::MonotonicTime now) const;
  /// Adds all that \p other has counted.
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

class LoadLedger {
 public:
  /// Long enough to see a burst of a few seconds on a page that is read by hand.
  static constexpr core::Duration kRecent = std::chrono::seconds(detail::LoadWindow::kBuckets);
  /// An entry takes less than 2 kB: a quarter of a megabyte for all of both kinds. The services are
  /// those of the configuration, of which systems have tens; an operator looks at the tenants that
  /// ask most, and a page has room for some tens.
  static constexpr std::size_t kMostServices = 64;
  static constexpr std::size_t kMostTenants = 64;

  /// One request from its arrival to its end. One that goes away without an end was abandoned.
  class Request;

  using Services = std::map<core::ServiceName, LoadEntry>;
  using Tenants = std::map<core::TenantName, LoadEntry>;
  Services services(core::MonotonicTime now) const;
  /// \return what became of the requests of \p service over the last kRecent; nothing when it has
  /// no entry. Cheaper than services().
  LoadCounts recent_of(const core::ServiceName& service, core::MonotonicTime now) const;
  /// \return those that asked most of late.
  Tenants tenants(core::MonotonicTime now) const;
  /// \return the sum of the services, and of the tenants, without an entry of their own.
  LoadEntry other_services(core::MonotonicTime now) const;
  LoadEntry other_tenants(core::MonotonicTime now) const;

 private:
  struct Waiting {
    core::ServiceName service;
    core::TenantName tenant;
    core::MonotonicTime since;
  };
  using WaitingList = std::list<Waiting>;

  /// Windows by name, of which the one with the least recent use gives way to a new name.
  template <class Name, std::size_t kMost>
  class Table {
   public:
    /// \return the window of \p name, which gets one in place of the least used name's.
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

  /// Calls \p change on each place where an event of the two is counted.
  template <class Change>
  void count(const core::ServiceName& service, const core::TenantName& tenant,
             core::MonotonicTime now, Change change);
  void end_wait(WaitingList::iterator waiting, core::MonotonicTime now);

  Table<core::ServiceName, kMostServices> services_;
  Table<core::TenantName, kMostTenants> tenants_;
  WaitingList waiting_;  ///< as many as requests of this process
  /// The latest time that was told: what ends unasked, as when its caller leaves, ends then.
  core::MonotonicTime latest_{};
};

/// Moves, and is not copied.
class LoadLedger::Request {
 public:
  /// Counts nothing.
  Request() = default;
  /// \param ledger kept alive by it: a request may outlive the forwarder that began it
  /// \param tenant empty for nobody's
  Request(std::shared_ptr<LoadLedger> ledger, core::ServiceName service, core::TenantName tenant,
          core::MonotonicTime now);
  Request(Request&& other) noexcept;
  Request& operator=(Request&& other) noexcept;
  Request(const Request&) = delete;
  Request& operator=(const Request&) = delete;
  ~Request() { abandon(); }

  /// It waits for a replica, from \p now on unless it waits already.
  void wait(core::MonotonicTime now);
  /// It went to a replica, so that it waits no more.
  void sent(core::MonotonicTime now);
  /// The replica told that it has not run it.
  void refused_by_replica(core::MonotonicTime now);
  void second_call_sent(core::MonotonicTime now);
  void second_call_won(core::MonotonicTime now);
  /// How it ended. Only the first end counts.
  void answered(core::MonotonicTime now);
  void refused(RefusalReason reason, core::MonotonicTime now);
  void failed(core::MonotonicTime now);
  /// \param refusal none when it may have run
  void end_unanswered(std::optional<RefusalReason> refusal, core::MonotonicTime now);

 private:
  template <class Change>
  void count(core::MonotonicTime now, Change change);
  template <class Change>
  void end(core::MonotonicTime now, Change change);
  void end_wait(core::MonotonicTime now);
  void abandon();

  std::shared_ptr<LoadLedger> ledger_;  ///< null once it has ended
  core::ServiceName service_;
  core::TenantName tenant_;
  std::optional<WaitingList::iterator> waiting_;
};

}  // namespace stoneport::ingress
