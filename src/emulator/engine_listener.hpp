/// \file
/// HTTP face of one engine model. Model, readers and listener live on one event
/// loop; other threads reach them through that loop's executor.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "emulator/engine_messages.hpp"
#include "emulator/engine_model.hpp"
#include "emulator/faulty_listener.hpp"
#include "emulator/ground_truth.hpp"
#include "emulator/leave_watch.hpp"
#include "emulator/model_clock.hpp"
#include "http/client.hpp"

namespace stoneport::emulator {

/// What all engines of the emulator have in common; outlives them.
struct EngineWorld {
  const ModelClock& clock;
  WeightSource& weights;
  GroundTruth& truth;
  core::Metrics& metrics;
  std::uint64_t seed = 1;
  /// Tokens that a stream collects before its readers are woken.
  std::uint32_t flush_tokens = 16;
};

class EngineListener : public FaultyListener {
 public:
  EngineListener(boost::asio::any_io_executor executor, core::ReplicaId id, EngineSettings settings,
                 EngineWorld world);

  /// Starts the model's time. Call once, after listen().
  void run();
  const core::ReplicaId& id() const { return id_; }
  std::uint64_t incarnation() const { return incarnation_; }
  EngineModel& model() { return *model_; }
  /// Puts engine faults in force and wakes the model.
  void set_engine_faults(const EngineFaults& faults);
  /// Loses every stream, the caches and the connections, and stops listening.
  void crash();
  /// Listens again, as a new incarnation with the first version loaded.
  core::Result<void> restart();
  /// Refuses new streams from now on; running ones go on.
  void leave();
  /// \return state of this instant, for the control interface.
  nlohmann::json truth_json();

 private:
  /// One response that waits for tokens of a stream.
  struct Reader {
    core::StreamId stream;
    std::uint64_t offset = 0;
    boost::asio::steady_timer timer;
  };
  struct KeptExport {
    ExportedStream exported;
    core::MonotonicTime until;
  };

  void add_routes();
  std::unique_ptr<EngineModel> make_model();
  boost::asio::awaitable<void> drive();
  void wake();
  void wake_readers();
  bool is_ready(const Reader& reader) const;

  boost::asio::awaitable<void> complete(http::BodySource& body, http::ResponseWriter& response);
  boost::asio::awaitable<void> resume(const http::RequestHead& request, core::StreamId stream,
                                      http::ResponseWriter& response);
  boost::asio::awaitable<void> import(core::StreamId stream, http::BodySource& body,
                                      http::ResponseWriter& response);
  boost::asio::awaitable<core::Result<ExportedStream>> fetch_export(const ImportBody& source);
  boost::asio::awaitable<void> send_stream(core::StreamId stream, std::uint64_t offset,
                                           http::ResponseWriter& response);
  std::string take_chunks(const EngineStream& stream, std::uint64_t& offset);

  http::Response list_streams(const http::RoutedRequest& request);
  http::Response set_priority(const http::RoutedRequest& request);
  http::Response export_stream(const core::StreamId& stream);
  http::Response get_export(const std::string& handle);
  http::Response report();
  http::Response cache_events(const http::RoutedRequest& request);
  http::Response order(const http::RoutedRequest& request);
  core::Result<void> carry_out(const OrderBody& body);

  core::ReplicaId id_;
  EngineSettings settings_;
  EngineWorld world_;
  std::uint64_t incarnation_ = 1;
  std::unique_ptr<EngineModel> model_;
  core::SystemTimeSource time_;
  LeaveWatch leave_watch_;
  http::Client client_;
  boost::asio::steady_timer wake_;
  std::list<Reader*> readers_;
  std::map<std::string, KeptExport> exports_;  ///< by handle
  std::uint64_t next_export_ = 1;
};

}  // namespace stoneport::emulator
