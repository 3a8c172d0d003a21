#include "weights/weight_loader.hpp"

#include <algorithm>
#include <set>

#include "core/decision_log.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::weights {
namespace asio = boost::asio;
namespace {

core::WeightVersion version_of(const ingress::ReplicaState& replica, const core::ModelName& model) {
  const auto found = replica.record.versions.find(model);
  return found == replica.record.versions.end() ? core::WeightVersion() : found->second;
}

std::string_view name_of(ports::OrderOutcome end) {
  switch (end) {
    case ports::OrderOutcome::kAccepted:
      return "accepted";
    case ports::OrderOutcome::kAlreadyLoaded:
      return "holds";
    case ports::OrderOutcome::kConflict:
      return "conflict";
    case ports::OrderOutcome::kRefused:
      return "refused";
    case ports::OrderOutcome::kNoAnswer:
      return "no_answer";
  }
  return "unknown";
}

}  // namespace

WeightLoader::WeightLoader(asio::any_io_executor executor, ingress::ReplicaDirectory& directory,
                           ports::ReplicaClient& client, Inputs inputs,
                           WeightLoaderSettings settings, const core::TimeSource& time,
                           core::Metrics& metrics)
    : executor_(std::move(executor)),
      directory_(directory),
      client_(client),
      inputs_(std::move(inputs)),
      settings_(std::move(settings)),
      time_(time),
      assignment_(settings_.assignment),
      pacer_(settings_.plans),
      assignment_pacer_(settings_.assignments),
      orders_(metrics.counter("stoneport_weight_orders_total", "Orders sent to replicas")),
      failed_orders_(metrics.counter("stoneport_weight_order_failures_total",
                                     "Orders that were not accepted or not completed in time")),
      load_seconds_(metrics.seconds_histogram("stoneport_weight_load_seconds",
                                              "Time from an order until its version is in use")) {}

void WeightLoader::start() {
  runtime::start(executor_, "weight loader", run(shared_from_this()));
}

void WeightLoader::pause_orders(const std::string& replica_name, core::MonotonicTime until) {
  core::MonotonicTime& paused = paused_until_[replica_name];
  paused = std::max(paused, until);
}

bool WeightLoader::is_loading(const core::ReplicaId& replica, const core::ModelName& model) const {
  const auto found = loading_.find(replica);
  return found != loading_.end() && found->second == model;
}

asio::awaitable<void> WeightLoader::run(std::shared_ptr<WeightLoader> self) {
  while (!self->stopped_) {
    self->plan_if_due();
    co_await runtime::sleep_for(self->settings_.tick);
  }
}

void WeightLoader::add_replica(const ingress::ReplicaState& replica, ModelNeed& need,
                               core::MonotonicTime now) const {
  const auto version = replica.record.versions.find(need.model);
  if (version == replica.record.versions.end() || !replica.accepts_work() || !may_reach(replica)) {
    return;
  }
  const core::ReplicaId& id = replica.record.id;
  const auto loading = loading_.find(id);
  const auto paused = paused_until_.find(core::replica_name(id));
  const bool is_loading = loading != loading_.end();
  const bool is_paused = paused != paused_until_.end() && now < paused->second;
  ReplicaVersion entry;
  entry.id = id;
  entry.version = version->second;
  entry.running = inputs_.running(id);
  entry.loading = is_loading && loading->second == need.model;
  entry.available = !is_loading && !is_paused && !replica.is_suspect(now);
  need.replicas.push_back(std::move(entry));
}

std::vector<ModelNeed> WeightLoader::empty_needs(const WantedVersions& wanted) const {
  std::vector<ModelNeed> needs;
  for (const auto& [model, version] : wanted) {
    ModelNeed need;
    need.model = model;
    need.wanted = version.version;
    need.oldest_allowed = version.oldest_allowed;
    need.demand = version.demand;
    need.peak_concurrency = version.peak_concurrency;
    const auto slots = slots_.find(version.service);
    need.slots = slots == slots_.end() ? need.slots : slots->second;
    needs.push_back(std::move(need));
  }
  return needs;
}

std::vector<ModelNeed> WeightLoader::needs_of_all(const WantedVersions& wanted,
                                                  core::MonotonicTime now) const {
  std::vector<ModelNeed> needs = empty_needs(wanted);
  for (ModelNeed& need : needs) {
    for (const ingress::ReplicaPointer& replica :
         directory_.of_service(wanted.at(need.model).service)) {
      add_replica(*replica, need, now);
    }
  }
  return needs;
}

std::vector<ModelNeed> WeightLoader::needs_of_followers(const WantedVersions& wanted,
                                                        core::MonotonicTime now) const {
  std::vector<ModelNeed> needs = empty_needs(wanted);
  for (ModelNeed& need : needs) {
    std::set<core::ReplicaId> ids = assignment_.followers_of(need.model);
    for (const auto& [id, model] : loading_) {
      if (model == need.model) {
        ids.insert(id);
      }
    }
    for (const core::ReplicaId& id : ids) {
      const ingress::ReplicaPointer replica = directory_.find(id);
      if (replica && replica->record.service == wanted.at(need.model).service) {
        add_replica(*replica, need, now);
      }
    }
  }
  return needs;
}

std::size_t WeightLoader::replicas_of(const WantedVersions& wanted) const {
  std::set<core::ServiceName> services;
  for (const auto& [model, version] : wanted) {
    services.insert(version.service);
  }
  std::size_t replicas = 0;
  for (const core::ServiceName& service : services) {
    replicas += directory_.of_service(service).size();
  }
  return replicas;
}

void WeightLoader::assign(const WantedVersions& wanted, core::MonotonicTime now) {
  slots_.clear();
  for (const auto& [model, version] : wanted) {
    const std::vector<ingress::ReplicaPointer>& replicas = directory_.of_service(version.service);
    double slots = 0;
    for (const ingress::ReplicaPointer& replica : replicas) {
      slots += replica->record.slots;
    }
    const auto count = static_cast<double>(std::max(replicas.size(), std::size_t{1}));
    slots_.try_emplace(version.service, slots / count);
  }
  assignment_.update(needs_of_all(wanted, now));
  assignment_pacer_.note(now, time_.now());
}

void WeightLoader::plan_if_due() {
  const core::MonotonicTime now = time_.now();
  if (!pacer_.is_due(now) || !inputs_.can_send_orders()) {
    return;
  }
  plan(now);
  pacer_.note(now, time_.now());
}

void WeightLoader::plan(core::MonotonicTime now) {
  const WantedVersions wanted = inputs_.wanted();
  if (assignment_pacer_.is_due(now)) {
    assign(wanted, now);
  }
  const std::vector<ModelNeed> needs = needs_of_followers(wanted, now);
  // Loads slow each other down across all replicas, not only those that follow a model.
  const std::uint32_t most_at_once = max_concurrent_loads(replicas_of(wanted), settings_.plan);
  for (const PlannedLoad& load : plan_loads(needs, most_at_once, settings_.plan)) {
    loading_[load.replica] = load.model;
    runtime::start(
        executor_, "weight load",
        this->load(shared_from_this(), directory_.find(load.replica), load.model, load.version));
  }
}

bool WeightLoader::may_reach(const ingress::ReplicaState& replica) const {
  return directory_.gate().is_open(replica.record.zone);
}

void WeightLoader::apply_report(const ingress::ReplicaPointer& replica,
                                const ports::ReplicaReport& report) {
  for (const auto& [model, version] : report.versions) {
    directory_.note_version(replica, model, version);
  }
}

asio::awaitable<bool> WeightLoader::order(ingress::ReplicaPointer replica, core::ModelName model,
                                          core::WeightVersion version) {
  const ports::ReplicaTarget target{replica->record.id, replica->record.address};
  if (!may_reach(*replica)) {
    co_return false;
  }
  if (!order_counts_.contains(target.id)) {
    ports::ReplicaTarget asked = target;
    const core::Result<ports::ReplicaReport> report = co_await client_.report(std::move(asked));
    if (!report || report->busy) {
      co_return false;
    }
    apply_report(replica, *report);
    order_counts_[target.id] = report->order_count;
  }
  const std::optional<core::MonotonicTime> announced_at = co_await inputs_.announce(target.id);
  // After a pause of this process, later holders may no longer take the announcement into account.
  const bool is_late =
      !announced_at || time_.now() - *announced_at > settings_.max_announcement_age;
  const bool is_there = version_of(*replica, model) >= version;
  if (stopped_ || is_late || is_there || !inputs_.can_send_orders() || !may_reach(*replica)) {
    co_return is_there;
  }
  ports::WeightOrder order;
  order.model = model;
  order.version = version;
  order.holder = settings_.holder;
  order.fence = settings_.fence;
  order.expected_order_count = order_counts_[target.id];
  orders_.Increment();
  ports::ReplicaTarget ordered = target;
  const ports::OrderOutcome end = co_await client_.order(std::move(ordered), order);
  core::log_decision(core::DecisionEvent::kOrderSent, {{"replica", target.id.value()},
                                                       {"model", model.value()},
                                                       {"version", version.value()},
                                                       {"fence", settings_.fence.value()},
                                                       {"count", order.expected_order_count},
                                                       {"outcome", name_of(end)}});
  if (end == ports::OrderOutcome::kAccepted) {
    ++order_counts_[target.id];
    co_return true;
  }
  order_counts_.erase(target.id);
  co_return end == ports::OrderOutcome::kAlreadyLoaded;
}

asio::awaitable<bool> WeightLoader::wait_until_loaded(ingress::ReplicaPointer replica,
                                                      core::ModelName model,
                                                      core::WeightVersion version) {
  const core::MonotonicTime give_up_at = time_.now() + settings_.load_timeout;
  core::Duration pause = settings_.expected_load_time;
  while (!stopped_ && replica->listed && time_.now() < give_up_at) {
    co_await runtime::sleep_for(pause);
    pause = settings_.report_interval;
    if (version_of(*replica, model) >= version) {
      co_return true;  // reported by its directory entry or a stream
    }
    if (!may_reach(*replica)) {
      co_return false;  // fetching a report also sends a request to the zone
    }
    ports::ReplicaTarget target{replica->record.id, replica->record.address};
    const core::Result<ports::ReplicaReport> report = co_await client_.report(std::move(target));
    if (report) {
      apply_report(replica, *report);
    }
  }
  co_return version_of(*replica, model) >= version;
}

asio::awaitable<void> WeightLoader::load(std::shared_ptr<WeightLoader> self,
                                         ingress::ReplicaPointer replica, core::ModelName model,
                                         core::WeightVersion version) {
  const core::MonotonicTime started = self->time_.now();
  bool loaded = co_await self->order(replica, model, version);
  if (loaded) {
    loaded = co_await self->wait_until_loaded(replica, model, version);
  }
  const core::MonotonicTime now = self->time_.now();
  if (loaded) {
    self->load_seconds_.Observe(core::to_seconds(now - started));
  } else {
    self->failed_orders_.Increment();
    self->order_counts_.erase(replica->record.id);
    self->pause_orders(core::replica_name(replica->record.id),
                       now + self->settings_.pause_after_failure);
  }
  self->loading_.erase(replica->record.id);
  if (self->stopped_) {
    co_return;
  }
  self->inputs_.on_loaded();
  // With many loads in progress, the next tick plans for all that end in the meantime.
  self->plan_if_due();
}

}  // namespace stoneport::weights
