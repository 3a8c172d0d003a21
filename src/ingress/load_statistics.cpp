#include "ingress/load_statistics.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace stoneport::ingress {
namespace {

struct ReasonName {
  RefusalReason reason;
  std::string_view name;
};

/// In the order of the enumerators.
constexpr std::array kReasonNames = {
    ReasonName{RefusalReason::kOverload, "overload"},
    ReasonName{RefusalReason::kReplicasRefused, "replicas_refused"},
    ReasonName{RefusalReason::kNoReplica, "no_replica"},
    ReasonName{RefusalReason::kRegions, "regions"},
    ReasonName{RefusalReason::kEvacuated, "evacuated"},
    ReasonName{RefusalReason::kHeldBack, "held_back"},
    ReasonName{RefusalReason::kTooLate, "too_late"},
};
static_assert(kReasonNames.size() == kRefusalReasons);

/// Bounds the memory that LoadStatistics::kMaxServices and kMaxTenants are chosen for.
static_assert(sizeof(detail::LoadWindow) <= 2048);

std::int64_t second_of(core::MonotonicTime now) {
  return std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
}

}  // namespace

std::string_view to_string(RefusalReason reason) {
  return kReasonNames[static_cast<std::size_t>(reason)].name;
}

std::uint64_t LoadCounts::refused_in_all() const {
  return std::accumulate(refused.begin(), refused.end(), std::uint64_t{0});
}

void LoadCounts::add(const LoadCounts& other) {
  asked += other.asked;
  answered += other.answered;
  failed += other.failed;
  abandoned += other.abandoned;
  for (std::size_t reason = 0; reason < refused.size(); ++reason) {
    refused[reason] += other.refused[reason];
  }
  sends += other.sends;
  sends_refused += other.sends_refused;
  second_calls += other.second_calls;
  second_calls_won += other.second_calls_won;
  longest_wait = std::max(longest_wait, other.longest_wait);
}

namespace detail {

LoadCounts& LoadWindow::bucket(core::MonotonicTime now) {
  const std::int64_t second = second_of(now);
  Bucket& bucket = buckets_[static_cast<std::size_t>(second) % kBuckets];
  if (bucket.second != second) {
    bucket = Bucket{second, {}};
  }
  return bucket.counts;
}

LoadCounts LoadWindow::recent(core::MonotonicTime now) const {
  const std::int64_t newest = second_of(now);
  LoadCounts sum;
  for (const Bucket& bucket : buckets_) {
    if (bucket.second >= 0 && newest - bucket.second < static_cast<std::int64_t>(kBuckets)) {
      sum.add(bucket.counts);
    }
  }
  return sum;
}

void LoadWindow::add(const LoadWindow& other) {
  for (std::size_t index = 0; index < kBuckets; ++index) {
    const Bucket& from = other.buckets_[index];
    Bucket& into = buckets_[index];
    if (from.second > into.second) {
      into = from;
    } else if (from.second == into.second) {
      into.counts.add(from.counts);
    }
  }
  total_.add(other.total_);
}

}  // namespace detail

template <class Name, std::size_t kMost>
detail::LoadWindow& LoadStatistics::Table<Name, kMost>::of(const Name& name,
                                                           core::MonotonicTime now) {
  const auto found = windows_.find(name);
  if (found != windows_.end()) {
    return found->second;
  }
  if (windows_.size() >= kMost) {
    drop_least_used(now);
  }
  return windows_[name];
}

template <class Name, std::size_t kMost>
void LoadStatistics::Table<Name, kMost>::drop_least_used(core::MonotonicTime now) {
  auto least = windows_.begin();
  std::uint64_t least_asked = least->second.recent(now).asked;
  for (auto window = std::next(least); window != windows_.end(); ++window) {
    const std::uint64_t asked = window->second.recent(now).asked;
    if (asked < least_asked) {
      least = window;
      least_asked = asked;
    }
  }
  others_.add(least->second);
  windows_.erase(least);
}

template <class Name, std::size_t kMost>
std::map<Name, LoadEntry> LoadStatistics::Table<Name, kMost>::entries(
    core::MonotonicTime now) const {
  std::map<Name, LoadEntry> entries;
  for (const auto& [name, window] : windows_) {
    entries[name] = {window.recent(now), window.total(), 0};
  }
  return entries;
}

template <class Name, std::size_t kMost>
LoadCounts LoadStatistics::Table<Name, kMost>::recent_of(const Name& name,
                                                         core::MonotonicTime now) const {
  const auto found = windows_.find(name);
  return found == windows_.end() ? LoadCounts() : found->second.recent(now);
}

template <class Name, std::size_t kMost>
LoadEntry LoadStatistics::Table<Name, kMost>::others(core::MonotonicTime now) const {
  return {others_.recent(now), others_.total(), 0};
}

namespace {

/// Adds a request that has waited for \p waited so far.
void add_waiting(LoadEntry& entry, core::Duration waited) {
  ++entry.waiting;
  entry.recent.longest_wait = std::max(entry.recent.longest_wait, waited);
  entry.total.longest_wait = std::max(entry.total.longest_wait, waited);
}

}  // namespace

LoadCounts LoadStatistics::recent_of(const core::ServiceName& service,
                                     core::MonotonicTime now) const {
  return services_.recent_of(service, now);
}

LoadStatistics::Services LoadStatistics::services(core::MonotonicTime now) const {
  Services entries = services_.entries(now);
  for (const Waiting& waiting : waiting_) {
    const auto entry = entries.find(waiting.service);
    if (entry != entries.end()) {
      add_waiting(entry->second, now - waiting.since);
    }
  }
  return entries;
}

LoadStatistics::Tenants LoadStatistics::tenants(core::MonotonicTime now) const {
  Tenants entries = tenants_.entries(now);
  for (const Waiting& waiting : waiting_) {
    const auto entry = entries.find(waiting.tenant);
    if (entry != entries.end()) {
      add_waiting(entry->second, now - waiting.since);
    }
  }
  return entries;
}

LoadEntry LoadStatistics::other_services(core::MonotonicTime now) const {
  LoadEntry entry = services_.others(now);
  for (const Waiting& waiting : waiting_) {
    if (!services_.contains(waiting.service)) {
      add_waiting(entry, now - waiting.since);
    }
  }
  return entry;
}

LoadEntry LoadStatistics::other_tenants(core::MonotonicTime now) const {
  LoadEntry entry = tenants_.others(now);
  for (const Waiting& waiting : waiting_) {
    if (!tenants_.contains(waiting.tenant)) {
      add_waiting(entry, now - waiting.since);
    }
  }
  return entry;
}

template <class Change>
void LoadStatistics::count(const core::ServiceName& service, const core::TenantName& tenant,
                           core::MonotonicTime now, Change change) {
  latest_ = std::max(latest_, now);
  detail::LoadWindow& of_service = services_.of(service, now);
  change(of_service.bucket(now));
  change(of_service.total());
  detail::LoadWindow& of_tenant = tenants_.of(tenant, now);
  change(of_tenant.bucket(now));
  change(of_tenant.total());
}

void LoadStatistics::end_wait(WaitingList::iterator waiting, core::MonotonicTime now) {
  const Waiting ended = std::move(*waiting);
  waiting_.erase(waiting);
  const core::Duration waited = now - ended.since;
  count(ended.service, ended.tenant, now, [waited](LoadCounts& counts) {
    counts.longest_wait = std::max(counts.longest_wait, waited);
  });
}

LoadStatistics::Request::Request(std::shared_ptr<LoadStatistics> statistics,
                                 core::ServiceName service, core::TenantName tenant,
                                 core::MonotonicTime now)
    : statistics_(std::move(statistics)), service_(std::move(service)), tenant_(std::move(tenant)) {
  count(now, [](LoadCounts& counts) { ++counts.asked; });
}

LoadStatistics::Request::Request(Request&& other) noexcept
    : statistics_(std::exchange(other.statistics_, nullptr)),
      service_(std::move(other.service_)),
      tenant_(std::move(other.tenant_)),
      waiting_(std::exchange(other.waiting_, std::nullopt)) {}

LoadStatistics::Request& LoadStatistics::Request::operator=(Request&& other) noexcept {
  if (this != &other) {
    abandon();
    statistics_ = std::exchange(other.statistics_, nullptr);
    service_ = std::move(other.service_);
    tenant_ = std::move(other.tenant_);
    waiting_ = std::exchange(other.waiting_, std::nullopt);
  }
  return *this;
}

template <class Change>
void LoadStatistics::Request::count(core::MonotonicTime now, Change change) {
  if (statistics_ != nullptr) {
    statistics_->count(service_, tenant_, now, change);
  }
}

template <class Change>
void LoadStatistics::Request::end(core::MonotonicTime now, Change change) {
  end_wait(now);
  count(now, change);
  statistics_ = nullptr;
}

void LoadStatistics::Request::end_wait(core::MonotonicTime now) {
  if (waiting_) {
    statistics_->end_wait(*std::exchange(waiting_, std::nullopt), now);
  }
}

void LoadStatistics::Request::abandon() {
  if (statistics_ != nullptr) {
    end(statistics_->latest_, [](LoadCounts& counts) { ++counts.abandoned; });
  }
}

void LoadStatistics::Request::wait(core::MonotonicTime now) {
  if (statistics_ != nullptr && !waiting_) {
    waiting_ = statistics_->waiting_.insert(statistics_->waiting_.end(), {service_, tenant_, now});
  }
}

void LoadStatistics::Request::sent(core::MonotonicTime now) {
  end_wait(now);
  count(now, [](LoadCounts& counts) { ++counts.sends; });
}

void LoadStatistics::Request::refused_by_replica(core::MonotonicTime now) {
  count(now, [](LoadCounts& counts) { ++counts.sends_refused; });
}

void LoadStatistics::Request::second_call_sent(core::MonotonicTime now) {
  count(now, [](LoadCounts& counts) {
    ++counts.second_calls;
    ++counts.sends;
  });
}

void LoadStatistics::Request::second_call_won(core::MonotonicTime now) {
  count(now, [](LoadCounts& counts) { ++counts.second_calls_won; });
}

void LoadStatistics::Request::answered(core::MonotonicTime now) {
  end(now, [](LoadCounts& counts) { ++counts.answered; });
}

void LoadStatistics::Request::refused(RefusalReason reason, core::MonotonicTime now) {
  end(now, [reason](LoadCounts& counts) { ++counts.refused[static_cast<std::size_t>(reason)]; });
}

void LoadStatistics::Request::failed(core::MonotonicTime now) {
  end(now, [](LoadCounts& counts) { ++counts.failed; });
}

void LoadStatistics::Request::end_unanswered(std::optional<RefusalReason> refusal,
                                             core::MonotonicTime now) {
  if (refusal) {
    refused(*refusal, now);
  } else {
    failed(now);
  }
}

}  // namespace stoneport::ingress
