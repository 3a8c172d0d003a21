/// \file
/// One replica of the platform as the project's own stand-in: whole answers, token
/// streams, reports and orders, with switches for its faults and a ledger of what it
/// ran. Lives on the stand-in's event loop.
#pragma once

#include <chrono>
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

/// One request that came to a replica, whether it was run or not.
struct ReplicaArrival {
  std::chrono::steady_clock::time_point at;
  std::string replica;
  std::string zone;
  std::string request_id;
  bool was_cold = false;
};

/// One end of a replica under a request that crashes whatever runs it.
struct ReplicaCrash {
  std::chrono::steady_clock::time_point at;
  std::string replica;
  std::string body;  ///< of that request
};

struct ReplicaFaults {
  static constexpr std::chrono::milliseconds kRestart{1300};

  bool down = false;          ///< takes nothing, and its entry is gone
  bool dark = false;          ///< takes requests and never answers
  int cut_after_events = -1;  ///< streams break after so many events; -1 never
  int cut_answers = 0;        ///< whole answers that are run and then cut
  int not_run = 0;            ///< requests turned away
  int server_errors = 0;      ///< requests run and failed
  core::Duration event_gap = std::chrono::milliseconds(10);
  core::Duration work = std::chrono::milliseconds(5);
  int lost_orders = 0;           ///< orders carried out, whose answer is lost
  std::size_t answer_bytes = 0;  ///< whole answers are at least so long
  bool chunked = false;          ///< whole answers do not tell their length beforehand
  /// How long its address accepts connections, which nobody serves, after a crash has reset the
  /// others.
  std::chrono::milliseconds listener_lag{0};
  std::chrono::milliseconds restart = kRestart;  ///< from a crash to the start of the next life
  bool bears_crashing_bodies = false;            ///< they are answered like any other
};

class StandInReplica : public http::RequestHandler {
 public:
  using Ledger = std::vector<ReplicaRun>;
  using Arrivals = std::vector<ReplicaArrival>;
  /// A request whose body begins so ends the replica midway through its work, with all of its
  /// connections. The replica is back after faults.restart as another life, under another id unless
  /// it keeps its name; the entry of the ended life stays for kEntryLapse.
  static constexpr std::string_view kCrashingBody = "crash";
  static constexpr std::chrono::milliseconds kRestart = ReplicaFaults::kRestart;
  static constexpr std::chrono::milliseconds kEntryLapse{900};

  StandInReplica(boost::asio::any_io_executor executor, std::string id, std::string service,
                 bool is_model, Ledger& ledger, Arrivals& arrivals, core::Metrics& metrics);
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

  /// Ends it with all of its connections, as a crash does; \p body is that of the request which
  /// caused it, if any.
  void crash(const std::string& body = {});
  /// Tells from now on that it is cold for \p length.
  void turn_cold(std::chrono::milliseconds length);
  bool is_cold() const { return std::chrono::steady_clock::now() < cold_until_; }

  ReplicaFaults faults;
  std::string zone = "zone-a";
  bool draining = false;
  bool keeps_name = false;  ///< it starts again under the id that it had, with a later birth
  std::map<std::string, std::uint64_t> versions;  ///< by model
  std::vector<std::string> order_holders;         ///< of each order carried out
  std::vector<ReplicaCrash> crashes;
  const std::string& id() const { return id_; }
  /// \return what tells the life that runs now, or ran last, from the others.
  std::string life_id() const;
  /// \return the id under which that life is listed.
  std::string listed_id() const { return keeps_name ? id_ : life_id(); }
  /// \return whether an entry in the store tells of the life that runs.
  bool is_listed() const { return !faults.down && !ended_; }
  /// \return the ended lives whose entries have lapsed since the last call.
  std::vector<std::string> take_lapsed();

 private:
  struct EndedLife {
    std::string id;
    std::chrono::steady_clock::time_point at;
  };
  static boost::asio::awaitable<void> restart(StandInReplica* self);
  /// Listens at the replica's address for the lag of its listener and accepts nothing.
  void linger();
  boost::asio::awaitable<void> answer_whole(const std::string& request_id,
                                            http::ResponseWriter& response);
  boost::asio::awaitable<void> answer_stream(const std::string& request_id,
                                             std::uint64_t resume_after,
                                             http::ResponseWriter& response);
  http::Response report() const;
  http::Response order(const std::string& body);
  static bool take(int& left);
  static std::uint64_t unix_milliseconds();

  std::string id_;
  std::string service_;
  bool is_model_;
  Ledger& ledger_;
  Arrivals& arrivals_;
  std::chrono::milliseconds cold_length_{};  ///< as told when it turned cold
  std::chrono::steady_clock::time_point cold_until_{};
  core::Address address_;
  std::uint64_t orders_ = 0;
  boost::asio::any_io_executor executor_;
  core::Metrics& metrics_;
  std::uint64_t life_ = 1;
  bool ended_ = false;
  std::uint64_t born_ = unix_milliseconds();
  std::vector<EndedLife> ended_lives_;
  std::unique_ptr<http::Server> server_;
};

}  // namespace stoneport::tests
