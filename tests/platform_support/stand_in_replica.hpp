/// \file
/// One replica of the platform as the project's own stand-in: whole answers, token
/// streams, reports and orders, with switches for its faults and a ledger of what it
/// ran. Lives on the stand-in's event loop.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/metrics.hpp"
#include "http/server.hpp"

namespace stoneport::tests {

/// One request that a replica began to work on.
struct ReplicaRun {
  std::string request_id;
  std::string replica;
  std::string service;
  std::string path;
  std::string body;
  std::uint64_t resume_after = 0;
  std::string tenant;            ///< as the system named it
  bool saw_credentials = false;  ///< a key came with the request
};

struct ReplicaFaults {
  bool dark = false;          ///< takes requests and never answers
  int cut_after_events = -1;  ///< streams break after so many events; -1 never
  int cut_answers = 0;        ///< whole answers that are run and then cut
  int not_run = 0;            ///< requests turned away
  int server_errors = 0;      ///< requests run and failed
  core::Duration event_gap = std::chrono::milliseconds(10);
  core::Duration work = std::chrono::milliseconds(5);
  int lost_orders = 0;  ///< orders carried out, whose answer is lost
};

class StandInReplica : public http::RequestHandler {
 public:
  using Ledger = std::vector<ReplicaRun>;

  StandInReplica(boost::asio::any_io_executor executor, std::string id, std::string service,
                 bool is_model, Ledger& ledger, core::Metrics& metrics);
  core::Result<void> listen(const core::Address& address);
  boost::asio::awaitable<void> handle(const http::RequestHead& request, http::BodySource& body,
                                      http::ResponseWriter& response) override;

  /// The replica's entry in the store, as JSON text.
  std::string entry() const;
  /// \return the data of event \p number of the text of \p request.
  static std::string event_data(const std::string& request, std::uint64_t number);
  /// \return how many events the text of \p request has.
  static std::uint64_t text_length(const std::string& request);
  static std::string whole_text(const std::string& request);
  static std::string signature(const std::string& request);

  ReplicaFaults faults;
  bool draining = false;
  std::string zone = "zone-a";
  std::map<std::string, std::uint64_t> versions;  ///< by model
  std::vector<std::string> order_holders;         ///< of each order carried out
  const std::string& id() const { return id_; }

 private:
  boost::asio::awaitable<void> answer_whole(const std::string& request_id,
                                            http::ResponseWriter& response);
  boost::asio::awaitable<void> answer_stream(const std::string& request_id,
                                             std::uint64_t resume_after,
                                             http::ResponseWriter& response);
  http::Response report() const;
  http::Response order(const std::string& body);
  static bool take(int& left);

  std::string id_;
  std::string service_;
  bool is_model_;
  Ledger& ledger_;
  core::Address address_;
  std::uint64_t orders_ = 0;
  http::Server server_;
};

}  // namespace stoneport::tests
