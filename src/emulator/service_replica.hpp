/// \file
/// One replica of an ordinary service, which notes each run in the service's
/// ledger. Lives on one event loop.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "emulator/faulty_listener.hpp"
#include "emulator/leave_watch.hpp"
#include "emulator/service_ledger.hpp"

namespace stoneport::emulator {

struct ReplicaIdentity {
  std::string id;
  std::string service;
  core::Duration delay{};  ///< of each run, real time
};

class ServiceReplica : public FaultyListener {
 public:
  /// \param ledger outlives the replica
  ServiceReplica(boost::asio::any_io_executor executor, ReplicaIdentity identity,
                 ServiceLedger& ledger, core::Metrics& metrics);

  const std::string& id() const { return identity_.id; }
  std::uint64_t incarnation() const { return incarnation_; }
  /// Begins to leave; still runs what arrives, and notes how late.
  void leave();
  /// Listens again, as a new incarnation.
  core::Result<void> restart();
  /// \return state of this instant, for the control interface.
  nlohmann::json truth_json() const;

 private:
  void add_routes();
  boost::asio::awaitable<std::uint64_t> run_once(const http::RequestHead& request, bool repeatable);
  boost::asio::awaitable<void> get_item(const http::RequestHead& request,
                                        const http::PathParameters& parameters,
                                        http::ResponseWriter& response);
  boost::asio::awaitable<http::Response> top_up(http::RoutedRequest request);
  boost::asio::awaitable<http::Response> balance(http::RoutedRequest request);
  boost::asio::awaitable<void> echo(const http::RequestHead& request, http::BodySource& body,
                                    http::ResponseWriter& response);

  ReplicaIdentity identity_;
  ServiceLedger& ledger_;
  core::SystemTimeSource time_;
  std::uint64_t incarnation_ = 1;
  LeaveWatch leave_watch_;
  std::uint64_t runs_ = 0;
};

/// \return the body of item \p id with \p size bytes; the same everywhere.
std::string item_body(const std::string& id, std::size_t size);

}  // namespace stoneport::emulator
