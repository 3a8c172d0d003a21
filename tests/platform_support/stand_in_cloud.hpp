/// \file
/// The platform's interface for duties as the project's own stand-in: takes reports of usage
/// and remembers each call as it came. Lives on the stand-in's event loop.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/metrics.hpp"
#include "http/server.hpp"

namespace stoneport::tests {

/// One report as it came.
struct ReportedUsage {
  std::uint64_t window = 0;
  std::map<std::string, std::uint64_t> counts;
  std::string holder;
  std::uint64_t fence = 0;
};

/// One order of replicas as it came.
struct OrderedReplicas {
  std::string subject;  ///< service and zone
  std::uint32_t count = 0;
  std::string holder;
  std::uint64_t fence = 0;
};

struct CloudFaults {
  bool refuse = false;      ///< 503: nothing is taken
  bool busy = false;        ///< 429: nothing is taken
  bool silent = false;      ///< takes no call and answers none
  int lose_answers = 0;     ///< reports that are taken and not answered
  bool none_there = false;  ///< no replicas are to be had
};

class StandInCloud : public http::RequestHandler {
 public:
  StandInCloud(boost::asio::any_io_executor executor, core::Metrics& metrics)
      : server_(executor, "stand-in cloud", http::ServerLimits(), *this, metrics) {}
  core::Result<void> listen(const core::Address& address) { return server_.listen(address); }
  boost::asio::awaitable<void> handle(const http::RequestHead& request, http::BodySource& body,
                                      http::ResponseWriter& response) override;

  /// \return what is wrong with the reports so far; empty when nothing is.
  static std::string fault_of(const std::vector<ReportedUsage>& reports);
  /// \return what is wrong with the fences of the orders so far.
  static std::string fault_of(const std::vector<OrderedReplicas>& orders);

  CloudFaults faults;
  std::vector<ReportedUsage> reports;
  std::vector<OrderedReplicas> orders;

 private:
  http::Server server_;
};

}  // namespace stoneport::tests
