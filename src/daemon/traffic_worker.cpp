#include "daemon/traffic_worker.hpp"

namespace stoneport::daemon {
namespace {

namespace asio = boost::asio;

}  // namespace

TrafficWorker::TrafficWorker(asio::any_io_executor executor, const config::DaemonSettings& settings,
                             ControlPlane& control, routing::ReplicaObserver& observer,
                             core::TimeSource& time, core::Metrics& metrics, std::uint64_t seed)
    : executor_(std::move(executor)),
      address_(settings.caller_listener),
      client_(executor_, "back-end", metrics),
      engines_(client_, time),
      handler_({
          .configuration = control.configuration().snapshots().subscribe(executor_),
          .routing_table = control.routing().publisher().subscribe(executor_),
          .client = client_,
          .claims = control.claims(),
          .engines = engines_,
          .observer = observer,
          .metrics = metrics,
          .time = time,
          .node = settings.node,
          .zone = settings.zone,
          .region = settings.region,
          .subset_size = settings.subset_size,
          .traffic_threads = settings.traffic_threads,
          .seed = seed,
      }),
      server_(executor_, "caller", filters::caller_server_limits(), handler_, metrics) {}

core::Result<void> TrafficWorker::listen() {
  return server_.listen(address_, http::AddressUse::kShared);
}

}  // namespace stoneport::daemon
