/// \file
/// The callers' interface on a free port, with stand-ins for what it depends on.
/// Everything runs on the test's own thread.
#pragma once

#include <nlohmann/json.hpp>

#include "contract/faulty_back_end.hpp"
#include "filters/caller_handler.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::caller_test {

/// Claims in memory; can be made to fail.
class MemoryClaims : public filters::ClaimRegistry {
 public:
  asio::awaitable<core::Result<filters::ClaimAnswer>> claim(filters::ClaimKey key) override {
    if (is_down) {
      co_return core::make_error(core::ErrorCode::kUnavailable, "claims are down");
    }
    const std::string name = name_of(key);
    if (stall) {
      co_await stall->async_wait(http_test::kTuple);
    }
    const auto found = entries.find(name);
    if (found == entries.end()) {
      entries[name].fingerprint = key.fingerprint;
      co_return filters::ClaimGranted{core::WriteId(name)};
    }
    const bool differs = found->second.fingerprint != key.fingerprint;
    co_return filters::ClaimTaken{found->second.outcome, differs};
  }
  asio::awaitable<core::Result<void>> record(filters::ClaimKey key, core::WriteId,
                                             filters::RecordedOutcome outcome) override {
    entries.at(name_of(key)).outcome = std::move(outcome);
    ++recorded;
    co_return core::Result<void>();
  }
  asio::awaitable<core::Result<void>> release(filters::ClaimKey key, core::WriteId) override {
    entries.erase(name_of(key));
    ++released;
    co_return core::Result<void>();
  }

  struct Entry {
    std::uint64_t fingerprint = 0;
    std::optional<filters::RecordedOutcome> outcome;
  };
  std::map<std::string, Entry> entries;
  int recorded = 0;
  int released = 0;
  bool is_down = false;
  std::shared_ptr<asio::steady_timer> stall;  ///< claims wait until it is cancelled

 private:
  static std::string name_of(const filters::ClaimKey& key) {
    return key.tenant.value() + "|" + key.service.value() + "|" + key.idempotency_key;
  }
};

class CountingObserver : public routing::ReplicaObserver {
 public:
  void replica_unreachable(const core::ReplicaId& replica, core::Incarnation) override {
    ++unreachable[replica.value()];
  }
  std::map<std::string, int> unreachable;
};

class NoEngines : public ports::ModelEngineFactory {
 public:
  std::shared_ptr<ports::ModelEngine> engine_at(core::Address) override { return nullptr; }
};

/// What a caller gets to see.
struct CallerView {
  bool cut = false;  ///< no whole response
  unsigned status = 0;
  std::string outcome;
  std::string body;
  http::HeaderMap headers;
};

struct CallerOptions {
  routing::AdmissionOptions admission = {};
  ports::ModelEngineFactory* engines = nullptr;
  http::ServerLimits server_limits = {};
};

class CallerFixture {
 public:
  explicit CallerFixture(CallerOptions options = {})
      : back_end_client(context.get_executor(), "back_end", metrics),
        caller_client(context.get_executor(), "caller", metrics),
        handler(dependencies(options)),
        server(context.get_executor(), "caller",
               filters::caller_server_limits(options.server_limits), handler, metrics) {
    server.listen({"127.0.0.1", 0}).value();
    auto configuration = std::make_shared<config::Configuration>();
    config::ServiceTemplate ledger;
    ledger.name = core::TemplateName("ledger-template");
    ledger.service = core::ServiceName("ledger");
    configuration->service_templates[ledger.name] = ledger;
    for (const auto& [tenant, priority] : {std::pair("first", 10), std::pair("last", -10)}) {
      config::TenantParameters parameters;
      parameters.name = tenant;
      parameters.tenant = core::TenantName(tenant);
      parameters.service_template = ledger.name;
      parameters.priority = priority;
      configuration->parameters[tenant] = parameters;
    }
    configurations.publish(configuration);
  }

  /// Publishes a table with these replicas of "ledger". The first is of our own
  /// region and therefore taken first; the others are far.
  void use(const std::vector<core::Address>& addresses,
           routing::ReplicaState state_of_first = routing::ReplicaState::kUsable,
           core::MonotonicTime current_until = core::MonotonicTime::max()) {
    auto table = std::make_shared<routing::RoutingTable>();
    table->current_until = current_until;
    std::vector<routing::Replica>& replicas = table->services[core::ServiceName("ledger")];
    for (std::size_t index = 0; index < addresses.size(); ++index) {
      routing::Replica replica;
      replica.id = core::ReplicaId("replica-" + std::to_string(index));
      replica.address = addresses[index];
      replica.zone = core::ZoneName("zone");
      replica.region = core::RegionName(index == 0 ? "region" : "far");
      replica.state = index == 0 ? state_of_first : routing::ReplicaState::kUsable;
      replicas.push_back(replica);
    }
    routing_tables.publish(table);
  }

  static http::Request request(const std::string& method, const std::string& target,
                               const std::string& body = "",
                               const std::vector<http::HeaderMap::Field>& headers = {}) {
    http::Request message;
    message.head.method = method;
    message.head.target = target;
    message.body = body;
    for (const auto& [name, value] : headers) {
      message.head.headers.add(name, value);
    }
    return message;
  }

  asio::awaitable<CallerView> send(http::Request message) {
    http::SendOptions options;
    options.deadline = http_test::soon();
    core::Address address = server.local_address();
    auto response = co_await caller_client.fetch(std::move(address), std::move(message), options);
    CallerView view;
    view.cut = !response.has_value();
    if (response) {
      view.status = response->head.status;
      view.outcome = std::string(response->head.headers.find("Stoneport-Outcome").value_or(""));
      view.body = response->body;
      view.headers = response->head.headers;
    }
    co_return view;
  }

  CallerView call(http::Request message) {
    return http_test::run(context, send(std::move(message)));
  }
  CallerView call(const std::string& method, const std::string& target,
                  const std::string& body = "",
                  const std::vector<http::HeaderMap::Field>& headers = {}) {
    return call(request(method, target, body, headers));
  }

  /// Starts a call; \p view is filled in when it ends.
  void start(http::Request message, std::optional<CallerView>& view) {
    auto task = [](CallerFixture& self, http::Request request,
                   std::optional<CallerView>& result) -> asio::awaitable<void> {
      result = co_await self.send(std::move(request));
    };
    runtime::start(context.get_executor(), "call", task(*this, std::move(message), view));
  }

  template <class Condition>
  void run_until(Condition condition) {
    http_test::run_until(context, condition);
  }

  double counter(const std::string& name, const core::Labels& labels = {}) {
    return metrics.counter(name, "", labels).Value();
  }

  core::Metrics metrics;  // what is still open on the context counts its end
  asio::io_context context;
  core::SystemTimeSource time;
  runtime::SnapshotPublisher<config::Configuration> configurations;
  runtime::SnapshotPublisher<routing::RoutingTable> routing_tables;
  http::Client back_end_client;
  http::Client caller_client;
  MemoryClaims claims;
  CountingObserver observer;
  NoEngines no_engines;
  filters::CallerHandler handler;
  http::Server server;

 private:
  filters::CallerDependencies dependencies(const CallerOptions& options) {
    filters::CallerDependencies result{
        .configuration = configurations.subscribe(context.get_executor()),
        .routing_table = routing_tables.subscribe(context.get_executor()),
        .client = back_end_client,
        .claims = claims,
        .engines = options.engines ? *options.engines : no_engines,
        .observer = observer,
        .metrics = metrics,
        .time = time,
        .node = core::NodeId("node"),
        .zone = core::ZoneName("zone"),
        .region = core::RegionName("region"),
        .seed = 1,
        .service_admission = options.admission,
    };
    return result;
  }
};

}  // namespace stoneport::caller_test
