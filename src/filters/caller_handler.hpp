/// \file
/// The callers' interface of one traffic thread: picks the filter chain for a
/// request and runs it. See docs/api/callers.md.
#pragma once

#include "filters/admission_filter.hpp"
#include "filters/attempt_filter.hpp"
#include "filters/caller_metrics.hpp"
#include "filters/claim_filter.hpp"
#include "filters/completion_filter.hpp"
#include "filters/completion_request_filter.hpp"
#include "filters/identity_filter.hpp"
#include "filters/outcome_filter.hpp"
#include "filters/replica_pools.hpp"
#include "filters/service_filter.hpp"

namespace stoneport::filters {

/// What a CallerHandler works with. The references outlive it.
struct CallerDependencies {
  ConfigurationView configuration;
  RoutingView routing_table;
  http::Client& client;  ///< this thread's, towards ordinary services
  ClaimRegistry& claims;
  ports::ModelEngineFactory& engines;  ///< this thread's
  routing::ReplicaObserver& observer;
  core::Metrics& metrics;
  core::TimeSource& time;
  core::NodeId node;
  core::ZoneName zone;
  core::RegionName region;
  std::size_t subset_size = 16;
  std::uint32_t traffic_threads = 1;
  /// Differs between threads and between lives of the process.
  std::uint64_t seed = 0;
  routing::AdmissionOptions service_admission = {};
  routing::AdmissionOptions completion_admission = {};
  routing::DeadlineRules completion_deadlines = {std::chrono::minutes(2), std::chrono::minutes(10)};
};

/// \return \p limits for the callers' server: what it refuses by itself, such as
/// a malformed head, is "not run" and says so.
http::ServerLimits caller_server_limits(http::ServerLimits limits = {});

/// Answers callers on one traffic thread. It must outlive the server and the
/// last request in flight.
class CallerHandler : public http::RequestHandler {
 public:
  explicit CallerHandler(CallerDependencies dependencies);

  boost::asio::awaitable<void> handle(const http::RequestHead& request, http::BodySource& body,
                                      http::ResponseWriter& response) override;

  /// A drain needs nothing of the handler: the server's stop_accepting() answers
  /// what still comes with "Connection: close", and this counts what is left.
  std::size_t requests_in_flight() const { return requests_in_flight_; }

 private:
  using Chain = std::vector<Filter*>;
  const Chain& chain_for(const http::RequestHead& request) const;

  core::TimeSource& time_;
  CallerMetrics metrics_;
  DirectoryCache directories_;
  ReplicaPools pools_;
  StreamIdSource stream_ids_;

  OutcomeFilter outcome_;
  IdentityFilter identity_;
  ServiceFilter service_;
  AdmissionFilter service_admission_;
  ClaimFilter claim_;
  AttemptFilter attempt_;
  CompletionRequestFilter completion_request_;
  AdmissionFilter completion_admission_;
  CompletionFilter completion_;

  Chain service_chain_;
  Chain completion_chain_;
  std::size_t requests_in_flight_ = 0;
};

}  // namespace stoneport::filters
