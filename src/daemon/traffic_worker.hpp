/// \file
/// One traffic thread's share of the callers' interface: a server, a client and
/// a filter chain of its own. Everything in it runs on that thread.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "config/settings.hpp"
#include "daemon/control_plane.hpp"
#include "filters/caller_handler.hpp"
#include "http/server.hpp"
#include "ports/http_model_engine.hpp"

namespace stoneport::daemon {

class TrafficWorker {
 public:
  TrafficWorker(boost::asio::any_io_executor executor, const config::DaemonSettings& settings,
                ControlPlane& control, routing::ReplicaObserver& observer, core::TimeSource& time,
                core::Metrics& metrics, std::uint64_t seed);

  const boost::asio::any_io_executor& executor() const { return executor_; }
  core::Result<void> listen();
  /// Closes the listener; requests in flight go on.
  void stop_accepting() { server_.stop_accepting(); }
  /// \return whether the requests in flight ended within \p limit.
  boost::asio::awaitable<bool> wait_until_idle(core::Duration limit) {
    return server_.wait_until_idle(limit);
  }

 private:
  boost::asio::any_io_executor executor_;
  core::Address address_;
  http::Client client_;
  ports::HttpModelEngineFactory engines_;
  filters::CallerHandler handler_;
  http::Server server_;
};

}  // namespace stoneport::daemon
