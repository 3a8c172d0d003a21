#include "bench/simulation/ordinary_traffic.hpp"

#include "routing/subset.hpp"

namespace stoneport::bench {

namespace {

constexpr StreamOwner kCompletionOwner = 0;
constexpr std::uint32_t kMostAttempts = 3;
constexpr double kServiceInFlightLimit = 256;
constexpr double kEngineInFlightLimit = 1024;

routing::AdaptiveLimitOptions fixed_limit(double limit) {
  routing::AdaptiveLimitOptions options;
  options.initial = limit;
  options.largest = limit;
  return options;
}

core::ReplicaId service_id(std::size_t index) {
  return core::ReplicaId("service-" + std::to_string(index));
}

}  // namespace

std::unique_ptr<routing::ReplicaChooser> make_chooser(const Variant& variant,
                                                      const core::ZoneName& zone,
                                                      std::uint64_t seed) {
  switch (variant.choice) {
    case ReplicaChoiceKind::kRoundRobin:
      return std::make_unique<routing::RoundRobinChooser>();
    case ReplicaChoiceKind::kLeastOutstanding:
      return std::make_unique<routing::LeastOutstandingChooser>();
    case ReplicaChoiceKind::kCost:
      break;
  }
  routing::CostOptions options;
  options.zone = zone;
  options.use_prefixes = variant.affinity;
  return std::make_unique<routing::CostChooser>(options, seed);
}

OrdinaryTraffic::OrdinaryTraffic(EventQueue& events, const Scenario& scenario,
                                 const Variant& variant, std::uint64_t seed, EngineFleet& engines,
                                 RunMetrics& metrics)
    : events_(events),
      scenario_(scenario),
      variant_(variant),
      engines_(engines),
      metrics_(metrics),
      service_arrivals_(scenario, seed),
      completion_arrivals_(scenario, seed) {
  for (std::size_t index = 0; index < scenario.service.replicas; ++index) {
    services_.push_back(
        std::make_unique<SimulatedService>(events, scenario.service, mix(seed, 31, index)));
    routing::Replica replica;
    replica.id = service_id(index);
    replica.zone = core::ZoneName(scenario.zones[index % scenario.zones.size()]);
    replica.incarnation = core::Incarnation(1);
    service_replicas_.push_back(std::move(replica));
  }
  make_nodes(seed);
  engines_.set_owner(kCompletionOwner, [this](std::size_t, const SimulatedStream& stream,
                                              bool complete) {
    const core::Duration back = scenario_.latency.between_zones;
    events_.after(back, [this, key = stream.key, complete] { completion_ended(key, complete); });
  });
}

void OrdinaryTraffic::make_nodes(std::uint64_t seed) {
  for (std::uint32_t index = 0; index < scenario_.caller_nodes; ++index) {
    Node node{core::ZoneName(scenario_.zones[index % scenario_.zones.size()]),
              nullptr,
              nullptr,
              routing::ReplicaLoads(fixed_limit(kServiceInFlightLimit)),
              routing::ReplicaLoads(fixed_limit(kEngineInFlightLimit)),
              routing::RetryBudget(),
              {}};
    node.service_chooser = make_chooser(variant_, node.zone, mix(seed, 32, index));
    node.engine_chooser = make_chooser(variant_, node.zone, mix(seed, 33, index));
    const routing::SubsetOwner owner{core::NodeId("node-" + std::to_string(index)), node.zone};
    for (const routing::Replica* replica :
         routing::choose_subset(owner, engines_.replicas(), scenario_.subset_size)) {
      node.engine_subset.push_back(engines_.index_of(replica->id));
    }
    nodes_.push_back(std::move(node));
  }
}

void OrdinaryTraffic::start(core::MonotonicTime end) {
  end_ = end;
  if (scenario_.service.replicas > 0) {
    arrive_service();
  }
  arrive_completion();
}

core::Duration OrdinaryTraffic::latency(const core::ZoneName& from,
                                        const core::ZoneName& to) const {
  return from == to ? core::Duration(scenario_.latency.between_zones / 10)
                    : scenario_.latency.between_zones;
}

void OrdinaryTraffic::arrive_service() {
  const double gap = service_arrivals_.next_gap();
  const core::MonotonicTime when = events_.now() + core::from_seconds(gap);
  if (gap < 0 || when >= end_) {
    return;
  }
  events_.at(when, [this] {
    auto pending = std::make_shared<PendingService>();
    pending->request = service_arrivals_.next();
    pending->arrived = events_.now();
    nodes_[pending->request.caller].retry_budget.first_attempt(events_.now());
    send_service(std::move(pending));
    arrive_service();
  });
}

void OrdinaryTraffic::send_service(std::shared_ptr<PendingService> pending) {
  Node& node = nodes_[pending->request.caller];
  const auto candidates = node.service_loads.candidates(service_replicas_);
  routing::ChoiceRequest question;
  question.excluded = pending->tried;
  const routing::Choice choice = node.service_chooser->choose(candidates, question, events_.now());
  if (choice.outcome != routing::ChoiceOutcome::kChosen) {
    end_service(*pending, ServiceAnswer::kRefused);
    return;
  }
  const routing::Replica& replica = *candidates[choice.index].replica;
  candidates[choice.index].load->started(events_.now());
  ++pending->attempts;
  pending->tried.push_back(replica.id);
  const core::Duration one_way = latency(node.zone, replica.zone);
  events_.after(one_way, [this, pending, index = choice.index, one_way] {
    ServiceJob job;
    job.key = pending->request.number;
    job.work_seconds = pending->request.work_seconds;
    job.repeatable = pending->request.repeatable;
    job.on_answer = [this, pending, index, one_way](ServiceAnswer answer) {
      events_.after(one_way, [this, pending, index, answer] {
        service_answered(pending, service_replicas_[index].id, answer);
      });
    };
    services_[index]->submit(std::move(job));
  });
}

void OrdinaryTraffic::service_answered(std::shared_ptr<PendingService> pending,
                                       const core::ReplicaId& replica, ServiceAnswer answer) {
  Node& node = nodes_[pending->request.caller];
  routing::ReplicaLoad& load = node.service_loads.of(replica);
  const core::MonotonicTime now = events_.now();
  const bool done = answer == ServiceAnswer::kDone;
  load.finished(done ? routing::LoadSignal::kHealthy : routing::LoadSignal::kOverloaded, now);
  if (done) {
    load.trust();
    end_service(*pending, answer);
    return;
  }
  if (answer == ServiceAnswer::kCut || answer == ServiceAnswer::kUnreachable) {
    load.suspect(core::Incarnation(1), now);
  }
  const bool may_repeat = answer != ServiceAnswer::kCut || pending->request.repeatable;
  const bool in_time = now - pending->arrived < scenario_.service_traffic.deadline;
  if (may_repeat && in_time && pending->attempts < kMostAttempts &&
      node.retry_budget.try_retry(now)) {
    send_service(std::move(pending));
    return;
  }
  end_service(*pending, answer);
}

void OrdinaryTraffic::end_service(const PendingService& pending, ServiceAnswer answer) {
  const core::Duration taken = events_.now() - pending.arrived + 2 * scenario_.latency.to_clients;
  if (answer == ServiceAnswer::kRefused || answer == ServiceAnswer::kUnreachable) {
    ++metrics_.requests_not_run;
    if (!pending.request.repeatable) {
      not_run_keys_.insert(pending.request.number);
    }
    return;
  }
  if (answer == ServiceAnswer::kCut || taken > scenario_.service_traffic.deadline) {
    ++metrics_.requests_unknown;
    return;
  }
  ++metrics_.requests_completed;
  metrics_.latency_ms.add(core::to_seconds(taken) * 1000);
}

void OrdinaryTraffic::arrive_completion() {
  const double gap = completion_arrivals_.next_gap();
  const core::MonotonicTime when = events_.now() + core::from_seconds(gap);
  if (gap < 0 || when >= end_) {
    return;
  }
  events_.at(when, [this] {
    PendingCompletion pending;
    pending.request = completion_arrivals_.next();
    pending.arrived = events_.now();
    const StreamKey key = (kCompletionOwner << kOwnerShift) | pending.request.number;
    completions_.emplace(key, std::move(pending));
    send_completion(key);
    arrive_completion();
  });
}

std::vector<routing::Candidate> OrdinaryTraffic::engine_candidates(Node& node) {
  std::vector<routing::Candidate> candidates;
  candidates.reserve(node.engine_subset.size());
  for (const std::size_t index : node.engine_subset) {
    const routing::Replica& replica = engines_.replicas()[index];
    candidates.push_back({&replica, &node.engine_loads.of(replica.id)});
  }
  return candidates;
}

void OrdinaryTraffic::send_completion(StreamKey key) {
  PendingCompletion& pending = completions_.at(key);
  Node& node = nodes_[pending.request.caller];
  const auto candidates = engine_candidates(node);
  routing::ChoiceRequest question;
  question.prefixes = *pending.request.prefix;
  question.prompt_bytes = std::size_t{pending.request.prompt_tokens} * kBytesPerToken;
  const routing::Choice choice = node.engine_chooser->choose(candidates, question, events_.now());
  if (choice.outcome != routing::ChoiceOutcome::kChosen) {
    ++metrics_.requests_not_run;
    completions_.erase(key);
    return;
  }
  const routing::Replica& replica = *candidates[choice.index].replica;
  routing::ReplicaLoad& load = *candidates[choice.index].load;
  load.started(events_.now());
  load.recent_prefixes().add(*pending.request.prefix, events_.now());
  pending.engine = replica.id;
  ++pending.attempts;
  const std::size_t engine = engines_.index_of(replica.id);
  events_.after(latency(node.zone, replica.zone),
                [this, key, engine] { submit_completion(key, engine); });
}

void OrdinaryTraffic::submit_completion(StreamKey key, std::size_t engine) {
  const PendingCompletion& pending = completions_.at(key);
  SimulatedStream stream;
  stream.key = key;
  stream.prefix = pending.request.prefix;
  stream.prompt_tokens = pending.request.prompt_tokens;
  stream.length = pending.request.length;
  stream.priority = scenario_.completion_traffic.priority;
  if (!engines_.submit(engine, std::move(stream))) {
    completion_ended(key, false);
  }
}

void OrdinaryTraffic::completion_ended(StreamKey key, bool complete) {
  PendingCompletion& pending = completions_.at(key);
  Node& node = nodes_[pending.request.caller];
  const core::MonotonicTime now = events_.now();
  routing::ReplicaLoad& load = node.engine_loads.of(pending.engine);
  load.finished(complete ? routing::LoadSignal::kHealthy : routing::LoadSignal::kNeutral, now);
  if (!complete) {
    const std::size_t engine = engines_.index_of(pending.engine);
    load.suspect(engines_.replicas()[engine].incarnation, now);
    if (pending.attempts < kMostAttempts) {
      send_completion(key);
      return;
    }
    ++metrics_.requests_unknown;
    completions_.erase(key);
    return;
  }
  const core::Duration taken = now - pending.arrived + 2 * scenario_.latency.to_clients;
  ++metrics_.requests_completed;
  metrics_.completion_seconds.add(core::to_seconds(taken));
  completions_.erase(key);
}

void OrdinaryTraffic::restart_service(std::size_t index) {
  services_[index]->restart();
}

const std::string& OrdinaryTraffic::zone_of_service(std::size_t index) const {
  return service_replicas_[index].zone.value();
}

void OrdinaryTraffic::account() {
  std::unordered_map<std::uint64_t, std::uint32_t> runs;
  for (const auto& service : services_) {
    for (const auto& [key, count] : service->runs()) {
      runs[key] += count;
    }
  }
  for (const auto& [key, count] : runs) {
    metrics_.non_repeatable_double_runs += count > 1 ? 1 : 0;
    metrics_.not_run_but_ran += not_run_keys_.count(key);
  }
}

}  // namespace stoneport::bench
