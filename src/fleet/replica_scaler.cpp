#include "fleet/replica_scaler.hpp"

#include <algorithm>

#include "core/decision_log.hpp"
#include "core/numbers.hpp"
#include "jobs/open_job.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::fleet {
namespace asio = boost::asio;
namespace {

/// Table of the latest orders of spot replicas by service and zone, in the partition of the term.
constexpr std::string_view kScaleTable = "stoneport-spot-order";
/// Separates service and zone in a key; neither contains it.
constexpr char kSeparator = '/';

bool is_open(const jobs::ItemProgress& item) {
  return item.state == jobs::ItemState::kQueued || item.state == jobs::ItemState::kRunning;
}

bool uses(const jobs::OpenJob& job, const core::ServiceName& service) {
  return job.route != nullptr &&
         std::any_of(job.route->targets.begin(), job.route->targets.end(),
                     [&](const ingress::RouteTarget& target) { return target.service == service; });
}

}  // namespace

ReplicaScaler::ReplicaScaler(Inputs inputs, jobs::TermContext context,
                             ReplicaScalerSettings settings)
    : inputs_(std::move(inputs)),
      settings_(std::move(settings)),
      fence_(inputs_.store, inputs_.reader, std::move(context), inputs_.time, settings_.fence),
      orders_(inputs_.metrics.counter("stoneport_scale_orders_total",
                                      "Orders of spot replicas accepted by the platform")),
      refused_(inputs_.metrics.counter(
          "stoneport_scale_orders_refused_total",
          "Orders of spot replicas that the platform refused or did not answer")),
      wanted_(inputs_.metrics.gauge("stoneport_spot_replicas_wanted",
                                    "Desired number of spot replicas")) {}

std::string ReplicaScaler::name_of(const ServiceZone& service_zone) {
  return "scale" + (kSeparator + service_zone.service.value()) +
         (kSeparator + service_zone.zone.value());
}

void ReplicaScaler::start() {
  runtime::start(inputs_.executor, "spot replicas", run(shared_from_this()));
}

asio::awaitable<void> ReplicaScaler::run(std::shared_ptr<ReplicaScaler> self) {
  bool has_loaded = false;
  while (!self->stopped_) {
    if (!self->scaled_services().empty()) {
      if (!has_loaded) {
        has_loaded = co_await self->load_orders();
      }
      if (has_loaded && !self->stopped_) {
        co_await self->evaluate();
      }
    }
    co_await runtime::sleep_for(self->settings_.tick);
  }
}

asio::awaitable<bool> ReplicaScaler::load_orders() {
  const bool knows_calls = co_await fence_.learn();
  ports::RecordRange range{std::string(kScaleTable), std::string(jobs::kTermPartition)};
  const core::Result<std::vector<ports::Record>> orders =
      co_await inputs_.reader.read_range(std::move(range), false);
  if (!knows_calls || !orders) {
    co_return false;
  }
  for (const ports::Record& record : *orders) {
    const std::size_t separator = record.key.find(kSeparator);
    const auto spot = core::parse_number<std::uint32_t>(record.value);
    if (separator == std::string::npos || !spot) {
      core::log_decision(core::DecisionEvent::kRowUndecodable, {{"key", record.key}});
      continue;
    }
    const ServiceZone service_zone{core::ServiceName(record.key.substr(0, separator)),
                                   core::ZoneName(record.key.substr(separator + 1))};
    ordered_[service_zone].spot = *spot;
  }
  resume_plans();
  co_return true;
}

scaling::SpotPlan& ReplicaScaler::plan_of(const core::ServiceName& service) {
  return plans_.try_emplace(service, settings_.plan).first->second;
}

/// Keeps the replicas ordered by the previous coordinator for a while: the training steps that
/// needed them are still late, and returning and reordering replicas would waste their boot time.
void ReplicaScaler::resume_plans() {
  std::map<core::ServiceName, std::uint32_t> spot;
  for (const auto& [service_zone, ordered] : ordered_) {
    spot[service_zone.service] += ordered.spot;
  }
  for (const auto& [service, count] : spot) {
    if (count == 0) {
      continue;
    }
    std::uint32_t replicas = count;
    for (const auto& [zone, fleet] : fleet_of(service)) {
      replicas += fleet.on_demand;
    }
    plan_of(service).resume(inputs_.time.now(), replicas * demand_of(service).slots);
  }
}

std::set<core::ServiceName> ReplicaScaler::scaled_services() const {
  std::set<core::ServiceName> services;
  const std::shared_ptr<const ingress::RouteTable> table = inputs_.routes.current();
  if (table) {
    for (const auto& [service, limits] : table->scaling()) {
      services.insert(service);
    }
  }
  return services;
}

scaling::Fleet ReplicaScaler::fleet_of(const core::ServiceName& service) const {
  scaling::Fleet fleet;
  for (const ingress::ReplicaPointer& replica : inputs_.directory.of_service(service)) {
    scaling::ZoneFleet& zone = fleet[replica->record.zone];
    zone.evacuated = !inputs_.directory.gate().is_open(replica->record.zone);
    if (replica->accepts_work()) {
      ++(replica->record.spot ? zone.spot : zone.on_demand);
    }
  }
  return fleet;
}

scaling::Demand ReplicaScaler::demand_of(const core::ServiceName& service) const {
  scaling::Demand demand;
  for (const ingress::ReplicaPointer& replica : inputs_.directory.of_service(service)) {
    demand.slots = std::max(demand.slots, replica->record.slots);
  }
  const std::optional<ports::StoreTime> now = inputs_.store.now();
  for (const jobs::OpenJobPointer& job : fence_.context().open_jobs()) {
    if (!uses(*job, service)) {
      continue;
    }
    const bool is_timed = now && job->entry.accepted_at != ports::StoreTime(0);
    demand.is_late |= is_timed && *now - job->entry.accepted_at > job->route->run_deadline;
    demand.open_texts +=
        static_cast<std::uint32_t>(std::count_if(job->items.begin(), job->items.end(), is_open));
  }
  return demand;
}

asio::awaitable<void> ReplicaScaler::evaluate() {
  const std::shared_ptr<const ingress::RouteTable> table = inputs_.routes.current();
  std::uint32_t wanted = 0;
  for (const auto& [service, limits] : table->scaling()) {
    const scaling::SpotCounts counts =
        plan_of(service).decide(inputs_.time.now(), demand_of(service), fleet_of(service), limits);
    for (const auto& [zone, spot] : counts) {
      wanted += spot;
      ServiceZone service_zone{service, zone};
      co_await set_order(std::move(service_zone), spot);
    }
  }
  wanted_.Set(wanted);
}

asio::awaitable<void> ReplicaScaler::set_order(ServiceZone service_zone, std::uint32_t spot) {
  const auto known = ordered_.find(service_zone);
  const OrderState ordered = known == ordered_.end() ? OrderState() : known->second;
  const bool never_ordered = known == ordered_.end() && spot == 0;
  const bool holds = never_ordered || (ordered.spot == spot && ordered.is_accepted);
  const std::string name = name_of(service_zone);
  if (holds || stopped_ || inputs_.time.now() < ordered.retry_at || !fence_.is_open(name)) {
    co_return;
  }
  const bool is_recorded = co_await record_order(service_zone, spot);
  if (is_recorded) {
    co_await send(std::move(service_zone), spot);
  }
}

asio::awaitable<bool> ReplicaScaler::record_order(ServiceZone service_zone, std::uint32_t spot) {
  ports::RecordTransaction transaction = fence_.transaction();
  const std::string key = service_zone.service.value() + kSeparator + service_zone.zone.value();
  transaction.writes.push_back({std::string(kScaleTable), key, std::to_string(spot)});
  transaction.writes.push_back(fence_.announcement(name_of(service_zone)));
  const core::MonotonicTime sent_at = inputs_.time.now();
  const core::Result<core::Revision> committed =
      co_await inputs_.store.commit(std::move(transaction), settings_.write_timeout);
  if (!committed) {
    co_return false;
  }
  OrderState& ordered = ordered_[service_zone];
  ordered.spot = spot;
  ordered.is_accepted = false;
  fence_.on_announced(name_of(service_zone), sent_at);
  co_return true;
}

asio::awaitable<void> ReplicaScaler::send(ServiceZone service_zone, std::uint32_t spot) {
  if (stopped_ || !fence_.may_call(name_of(service_zone))) {
    co_return;
  }
  ports::DutyHolder holder{settings_.holder, fence_.context().term.epoch};
  ports::ReplicaOrder order{service_zone.service, service_zone.zone, spot, true};
  const core::Result<void> taken = co_await inputs_.platform.order_replicas(
      std::move(holder), std::move(order), settings_.call_timeout);
  core::log_decision(core::DecisionEvent::kReplicasOrdered,
                     {{"service", service_zone.service.value()},
                      {"zone", service_zone.zone.value()},
                      {"spot", spot},
                      {"epoch", fence_.context().term.epoch.value()},
                      {"taken", taken.has_value()},
                      {"reason", taken ? std::string() : taken.error().message}});
  OrderState& ordered = ordered_[service_zone];
  ordered.is_accepted = taken.has_value();
  if (taken) {
    orders_.Increment();
    co_return;
  }
  refused_.Increment();
  if (taken.error().code == core::ErrorCode::kConflict) {
    ordered.retry_at = inputs_.time.now() + settings_.no_capacity_pause;
  }
}

}  // namespace stoneport::fleet
