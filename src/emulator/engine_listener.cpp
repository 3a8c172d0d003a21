#include "emulator/engine_listener.hpp"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>

#include "core/hash.hpp"
#include "emulator/http_answers.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::emulator {
namespace {

namespace asio = boost::asio;
using core::ErrorCode;
using nlohmann::json;

/// The model is advanced no more often than this, in real time.
constexpr core::Duration kShortestTick = std::chrono::milliseconds(2);

std::string_view role_name(EngineRole role) {
  constexpr std::array<std::string_view, 3> kNames = {"mixed", "prefill", "decode"};
  return kNames.at(static_cast<std::size_t>(role));
}

std::optional<EngineRole> parse_role(const std::string& name) {
  for (const EngineRole role : {EngineRole::kMixed, EngineRole::kPrefill, EngineRole::kDecode}) {
    if (name == role_name(role)) {
      return role;
    }
  }
  return std::nullopt;
}

std::optional<RunningStreams> parse_running(const std::string& name) {
  const std::map<std::string, RunningStreams> names = {{"continue", RunningStreams::kContinue},
                                                       {"finish", RunningStreams::kFinish},
                                                       {"cancel", RunningStreams::kCancel}};
  const auto found = names.find(name);
  return found == names.end() ? std::nullopt : std::optional(found->second);
}

}  // namespace

EngineListener::EngineListener(asio::any_io_executor executor, core::ReplicaId id,
                               EngineSettings settings, EngineWorld world)
    : FaultyListener(executor, "engine", world.metrics),
      id_(std::move(id)),
      settings_(std::move(settings)),
      world_(world),
      model_(make_model()),
      client_(executor, "engine_peer", world.metrics),
      wake_(executor) {
  add_routes();
}

std::unique_ptr<EngineModel> EngineListener::make_model() {
  const std::uint64_t seed = core::hash64(id_.value(), world_.seed + incarnation_);
  auto model = std::make_unique<EngineModel>(settings_, world_.weights, seed);
  model->on_finished([this](const EngineStream& stream) {
    TrueResponse response{core::hash64(stream.request.prompt), stream.spans};
    world_.truth.record(stream_text(stream, 0, stream.generated), std::move(response));
  });
  return model;
}

void EngineListener::add_routes() {
  using Request = http::RoutedRequest;
  const auto whole = [this](const char* method, const char* pattern, auto function) {
    router().add(method, pattern, [function](Request request) -> asio::awaitable<http::Response> {
      co_return function(request);
    });
  };
  const auto stream_of = [](const http::PathParameters& parameters) {
    return core::StreamId(parameters.at("id"));
  };
  router().add_streaming(
      "POST", "/v1/completions",
      [this](const http::RequestHead&, const http::PathParameters&, http::BodySource& body,
             http::ResponseWriter& response) { return complete(body, response); });
  router().add_streaming(
      "GET", "/v1/streams/{id}",
      [this, stream_of](const http::RequestHead& request, const http::PathParameters& parameters,
                        http::BodySource&, http::ResponseWriter& response) {
        return resume(request, stream_of(parameters), response);
      });
  router().add_streaming(
      "POST", "/v1/streams/{id}/import",
      [this, stream_of](const http::RequestHead&, const http::PathParameters& parameters,
                        http::BodySource& body, http::ResponseWriter& response) {
        return import(stream_of(parameters), body, response);
      });
  whole("GET", "/v1/streams", [this](const Request& request) { return list_streams(request); });
  whole("DELETE", "/v1/streams/{id}", [this, stream_of](const Request& request) {
    model_->cancel(stream_of(request.parameters), world_.clock.now());
    wake();
    return empty_answer();
  });
  whole("POST", "/v1/streams/{id}/priority",
        [this](const Request& request) { return set_priority(request); });
  whole("POST", "/v1/streams/{id}/export", [this, stream_of](const Request& request) {
    return export_stream(stream_of(request.parameters));
  });
  whole("GET", "/v1/exports/{handle}",
        [this](const Request& request) { return get_export(request.parameters.at("handle")); });
  whole("GET", "/v1/report", [this](const Request&) { return report(); });
  whole("GET", "/v1/cache/events",
        [this](const Request& request) { return cache_events(request); });
  whole("POST", "/v1/orders", [this](const Request& request) { return order(request); });
}

void EngineListener::run() {
  runtime::start(executor(), "engine " + id_.value(), drive());
}

asio::awaitable<void> EngineListener::drive() {
  for (;;) {
    model_->advance(world_.clock.now());
    wake_readers();
    const auto next = model_->next_change();
    if (next) {
      wake_.expires_after(std::max(world_.clock.real_until(*next), kShortestTick));
    } else {
      wake_.expires_at(asio::steady_timer::time_point::max());
    }
    co_await wake_.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

void EngineListener::wake() {
  wake_.cancel();
}

http::Response EngineListener::list_streams(const http::RoutedRequest& request) {
  const std::string prefix = http::query_parameter(request.head.target, "prefix").value_or("");
  json streams = json::array();
  for (const EngineStream* stream : model_->streams(prefix)) {
    const bool is_finished = stream->state == StreamState::kFinished;
    streams.push_back(
        {{"stream_id", stream->request.stream.value()},
         {"token_count", stream->generated},
         {"finished", is_finished},
         {"finish_reason", is_finished ? json(finish_name(stream->finish)) : json()}});
  }
  return json_answer(200, {{"streams", std::move(streams)}});
}

http::Response EngineListener::set_priority(const http::RoutedRequest& request) {
  const auto body = parse_json<PriorityBody>(request.body);
  if (!body) {
    return error_answer(body.error());
  }
  const core::StreamId stream(request.parameters.at("id"));
  return outcome_answer(model_->set_priority(stream, body->priority, world_.clock.now()));
}

http::Response EngineListener::export_stream(const core::StreamId& stream) {
  const core::MonotonicTime now = world_.clock.now();
  std::erase_if(exports_, [now](const auto& kept) { return kept.second.until < now; });
  auto exported = model_->export_stream(stream, now);
  if (!exported) {
    return error_answer(exported.error());
  }
  wake();
  const std::string handle =
      id_.value() + "." + std::to_string(incarnation_) + "." + std::to_string(next_export_++);
  const json answer = {{"handle", handle},
                       {"size_bytes", exported->size_bytes},
                       {"token_count", exported->generated}};
  exports_[handle] = {std::move(*exported), now + settings_.export_retention};
  return json_answer(200, answer);
}

http::Response EngineListener::get_export(const std::string& handle) {
  const auto found = exports_.find(handle);
  if (found == exports_.end() || found->second.until < world_.clock.now()) {
    return error_answer(core::make_error(ErrorCode::kNotFound, "no such export"));
  }
  return json_answer(200, write_json(found->second.exported));
}

http::Response EngineListener::report() {
  const core::MonotonicTime now = world_.clock.now();
  model_->advance(now);
  const EngineState state = model_->state();
  const AgedLoad load = model_->load(now);
  const double scale = world_.clock.scale();
  json answer = {{"incarnation", incarnation_},
                 {"model", settings_.model.value()},
                 {"version", state.version.value()},
                 {"prefetched", nullptr},
                 {"role", role_name(state.role)},
                 {"running", load.figures.running},
                 {"waiting", load.figures.waiting},
                 {"max_running", settings_.max_running},
                 {"kv_used_tokens", load.figures.kv_used_tokens},
                 {"kv_capacity_tokens", settings_.kv_capacity_tokens},
                 {"tokens_per_second", load.figures.tokens_per_second * scale},
                 {"report_age_ms", core::to_seconds(load.age) * 1000 / scale},
                 {"swapping", state.swapping},
                 {"leaving", state.leaving}};
  if (state.prefetched) {
    answer["prefetched"] = state.prefetched->value();
  }
  return json_answer(200, answer);
}

http::Response EngineListener::cache_events(const http::RoutedRequest& request) {
  const std::uint64_t after = number_or(http::query_parameter(request.head.target, "after"), 0);
  const PrefixCacheEvents found = model_->cache_events(after, world_.clock.now());
  json events = json::array();
  for (const PrefixCacheEvent& event : found.events) {
    events.push_back({{"sequence", event.sequence},
                      {"prefix_hash", std::to_string(event.prefix_hash)},
                      {"stored", event.stored}});
  }
  return json_answer(200, {{"events", std::move(events)},
                           {"latest_sequence", found.latest_sequence},
                           {"gap", found.gap}});
}

http::Response EngineListener::order(const http::RoutedRequest& request) {
  const auto body = parse_json<OrderBody>(request.body);
  if (!body) {
    return error_answer(body.error());
  }
  const auto outcome = carry_out(*body);
  wake();
  return outcome ? json_answer(202, json::object()) : error_answer(outcome.error());
}

core::Result<void> EngineListener::carry_out(const OrderBody& body) {
  const core::MonotonicTime now = world_.clock.now();
  if (body.order == "prefetch") {
    return model_->prefetch(body.policy, body.version, body.epoch, now);
  }
  if (body.order == "load_version") {
    const auto running = parse_running(body.running);
    if (!running) {
      return invalid_argument("running: expected continue, finish or cancel");
    }
    return model_->load({body.policy, body.version, *running}, body.epoch, now);
  }
  if (body.order == "load_adapter") {
    return model_->load_adapter(body.adapter, body.version, body.epoch, now);
  }
  if (body.order == "change_role") {
    const auto role = parse_role(body.role);
    return role ? model_->change_role(*role, body.epoch, now)
                : core::Result<void>(invalid_argument("role: expected mixed, prefill or decode"));
  }
  return invalid_argument("order: expected prefetch, load_version, load_adapter or change_role");
}

void EngineListener::set_engine_faults(const EngineFaults& faults) {
  model_->set_faults(faults, world_.clock.now());
  wake();
}

void EngineListener::crash() {
  go_down();
  ++incarnation_;
  exports_.clear();
  model_ = make_model();
  wake();
  for (Reader* reader : readers_) {
    reader->timer.cancel();
  }
}

core::Result<void> EngineListener::restart() {
  model_->set_leaving(false);
  leave_watch_ = LeaveWatch{};
  return come_up();
}

void EngineListener::leave() {
  model_->set_leaving(true);
  leave_watch_.begin(time_.now());
}

json EngineListener::truth_json() {
  const core::MonotonicTime now = world_.clock.now();
  model_->advance(now);
  const EngineState state = model_->state();
  const LoadFigures load = model_->current_load();
  return {{"id", id_.value()},
          {"model", settings_.model.value()},
          {"ip", address().ip},
          {"port", address().port},
          {"up", up()},
          {"incarnation", incarnation_},
          {"version", state.version.value()},
          {"swapping", state.swapping},
          {"leaving", state.leaving},
          {"running", load.running},
          {"waiting", load.waiting},
          {"work_while_leaving", leave_watch_.work()},
          {"last_work_after_leave_ms", core::to_seconds(leave_watch_.last_work_after()) * 1000},
          {"totals", write_json(model_->totals())}};
}

}  // namespace stoneport::emulator
