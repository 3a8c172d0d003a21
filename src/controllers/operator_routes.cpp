#include "controllers/operator_routes.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "controllers/operator_json.hpp"
#include "core/json_text.hpp"
#include "http/server.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::controllers {
namespace asio = boost::asio;

namespace {

using Json = nlohmann::json;
using Context = std::shared_ptr<OperatorContext>;
using Answer = asio::awaitable<http::Response>;
using Handler = std::function<Answer(Context, http::RoutedRequest)>;

constexpr unsigned kOk = 200;
constexpr unsigned kAccepted = 202;
/// Timeout for another daemon to confirm that it is draining.
constexpr core::Duration kPeerTimeout = std::chrono::seconds(1);
constexpr std::uint64_t kMaxPeerAnswerBytes = 64 * 1024;
constexpr const char* kPeerDrainPath = "/peer/drain";

http::Response error_answer(core::ErrorCode code, std::string message) {
  return http::error_response(http::status_for(code), core::make_error(code, std::move(message)));
}

Answer answer_members(Context context, http::RoutedRequest) {
  co_return http::json_response(kOk, members_json(context->gossip.members()));
}

Answer answer_replicas(Context context, http::RoutedRequest) {
  const auto table = context->routing.current();
  co_return http::json_response(kOk, replicas_json(*table, context->time.now()));
}

Answer answer_weights(Context context, http::RoutedRequest) {
  const auto configuration = context->configuration();
  std::multimap<core::PolicyName, core::ModelName> models_of_policies;
  for (const auto& [model, policy] : policies_of_models(*configuration)) {
    models_of_policies.emplace(policy, model);
  }
  const auto table = context->routing.current();
  co_return http::json_response(kOk,
                                weights_json(context->versions.all(), models_of_policies, *table));
}

Answer answer_status(Context context, http::RoutedRequest) {
  const std::vector<wire::Member> members = context->gossip.members();
  StatusSummary status;
  status.self = context->gossip.self();
  status.ready = context->ready() && !context->drain.draining();
  status.members = static_cast<std::size_t>(std::count_if(
      members.begin(), members.end(),
      [](const wire::Member& member) { return member.state != wire::MemberState::kDead; }));
  status.store = context->store_state();
  co_return http::json_response(kOk, status_json(status));
}

/// Asks \p member to drain.
/// \return whether it confirmed
asio::awaitable<bool> ask_to_drain(Context context, wire::Member member) {
  http::Request request;
  request.head.method = "POST";
  request.head.target = kPeerDrainPath;
  request.body = core::write_json(
      {{"node", member.node.value()}, {"life", wire::life_of(member.incarnation)}});
  http::SendOptions options;
  options.deadline = context->time.now() + kPeerTimeout;
  options.connect_timeout = kPeerTimeout;
  options.max_body_bytes = kMaxPeerAnswerBytes;
  const auto response =
      co_await context->client.fetch(member.peer_address, std::move(request), options);
  co_return response.has_value() && response->head.status == kAccepted;
}

Answer drain_member(Context context, http::RoutedRequest request) {
  const core::NodeId node(request.parameters.at("node"));
  const std::vector<wire::Member> members = context->gossip.members();
  const auto found = std::find_if(members.begin(), members.end(),
                                  [&](const wire::Member& member) { return member.node == node; });
  if (found == members.end()) {
    co_return error_answer(core::ErrorCode::kNotFound, "no member " + node.value());
  }
  bool confirmed = true;
  if (node == context->gossip.self().node) {
    context->drain.begin_drain("requested by an operator");
  } else {
    // The mark spreads by gossip and is permanent, even when the daemon itself cannot be
    // reached. The direct request only speeds this up and confirms that the daemon received
    // it.
    context->gossip.mark_leaving(node);
    confirmed = co_await ask_to_drain(context, *found);
  }
  const Json answer = {{"node", node.value()}, {"state", "leaving"}, {"confirmed", confirmed}};
  co_return http::json_response(kAccepted, core::write_json(answer));
}

Answer drain_replica(Context context, http::RoutedRequest request) {
  const core::ReplicaId replica(request.parameters.at("id"));
  if (!context->routing.drain_replica(replica)) {
    co_return error_answer(core::ErrorCode::kNotFound, "no replica " + replica.value());
  }
  const Json answer = {{"replica", replica.value()}, {"state", "leaving"}};
  co_return http::json_response(kAccepted, core::write_json(answer));
}

Answer drain_for_peer(Context context, http::RoutedRequest request) {
  const Json body = core::parse_json(request.body).value_or(Json());
  const bool well_formed = body.is_object() && body.contains("node") &&
                           body.at("node").is_string() && body.contains("life") &&
                           body.at("life").is_number_unsigned();
  if (!well_formed) {
    co_return error_answer(core::ErrorCode::kInvalidArgument, "expected {\"node\",\"life\"}");
  }
  const wire::Member self = context->gossip.self();
  const bool meant = body.at("node").get<std::string>() == self.node.value() &&
                     body.at("life").get<std::uint64_t>() == wire::life_of(self.incarnation);
  if (!meant) {
    co_return error_answer(core::ErrorCode::kConflict,
                           "this address now belongs to another process");
  }
  context->drain.begin_drain("requested by another daemon");
  co_return http::json_response(kAccepted, "{}");
}

/// Runs \p handler on the control thread.
http::Router::WholeRoute on_control(Context context, Handler handler) {
  return [context, handler](http::RoutedRequest request) -> Answer {
    Answer answer = handler(context, std::move(request));
    http::Response response = co_await runtime::run_on(context->control, std::move(answer));
    co_return response;
  };
}

}  // namespace

void register_operator_routes(http::Router& router, Context context) {
  router.add("GET", "/v1/operator/members", on_control(context, answer_members));
  router.add("GET", "/v1/operator/replicas", on_control(context, answer_replicas));
  router.add("GET", "/v1/operator/weights", on_control(context, answer_weights));
  router.add("GET", "/v1/operator/status", on_control(context, answer_status));
  router.add("GET", "/status", on_control(context, answer_status));
  router.add("POST", "/v1/operator/members/{node}/drain", on_control(context, drain_member));
  router.add("POST", "/v1/operator/replicas/{id}/drain", on_control(context, drain_replica));
}

void register_drain_peer_route(http::Router& router, Context context) {
  router.add("POST", kPeerDrainPath, on_control(context, drain_for_peer));
}

}  // namespace stoneport::controllers
