/// \file
/// Malformed answers to every call of every port that reads one: each must give a typed error, for
/// success responses and for error responses.
#include <cppunit/extensions/HelperMacros.h>

#include "contract/platform_fixture.hpp"
#include "contract/scripted_server.hpp"
#include "controllers/configuration_peers.hpp"
#include "ports/engine_codec.hpp"
#include "ports/http_machine_list.hpp"
#include "ports/http_model_engine.hpp"
#include "ports/http_object_store.hpp"
#include "ports/http_scoring_service.hpp"
#include "ports/http_table_service.hpp"
#include "ports/http_weight_store.hpp"
#include "support/broken_answers.hpp"
#include "support/malformed_input.hpp"

namespace stoneport::platform_test {
namespace {

using http_test::tcp;
using ports::HttpEndpoint;
using ports::TablePriority;

template <class Port, class Function>
PortCall port_call(const char* name, CallKind kind, Function function) {
  return {name, kind, [function](HttpEndpoint endpoint) -> asio::awaitable<CallEnd> {
            Port port(endpoint);
            co_return co_await end_of(function(port));
          }};
}

std::vector<PortCall> calls_that_read_an_answer() {
  using Table = ports::HttpTableService;
  using Engine = ports::HttpModelEngine;
  return {
      port_call<Table>("table read", CallKind::kRead,
                       [](Table& table) {
                         return table.read({"claims", "key"}, TablePriority::kInteractive);
                       }),
      port_call<Table>("table scan", CallKind::kRead,
                       [](Table& table) {
                         return table.scan("claims", "", core::Revision(),
                                           TablePriority::kBackground);
                       }),
      port_call<Table>("table commit", CallKind::kEffect,
                       [](Table& table) {
                         ports::Transaction transaction;
                         transaction.write_id = core::WriteId("write");
                         transaction.writes.push_back({{"claims", "key"}, "value"});
                         return table.commit(std::move(transaction), TablePriority::kOwnership);
                       }),
      port_call<ports::HttpMachineList>("machine list", CallKind::kRead,
                                        [](auto& list) { return list.list(); }),
      port_call<ports::HttpWeightStore>(
          "weight store", CallKind::kRead,
          [](auto& store) { return store.status(core::PolicyName("policy")); }),
      port_call<ports::HttpScoringService>(
          "scoring", CallKind::kRead,
          [](auto& service) {
            ports::ScoringRequest request{"prompt", "completion"};
            return service.score(core::ServiceName("judge"), std::move(request), http_test::soon());
          }),
      port_call<Engine>("engine report", CallKind::kRead,
                        [](Engine& engine) { return engine.report(); }),
      port_call<Engine>("engine streams", CallKind::kRead,
                        [](Engine& engine) { return engine.list_streams("a"); }),
      port_call<Engine>("engine cache", CallKind::kRead,
                        [](Engine& engine) { return engine.cache_events(0); }),
      port_call<Engine>("engine export", CallKind::kEffect,
                        [](Engine& engine) { return engine.export_kv(core::StreamId("s")); }),
  };
}

/// \return those calls, and the ones that take any body for their answer.
std::vector<PortCall> calls_that_read_a_head() {
  using Objects = ports::HttpObjectStore;
  std::vector<PortCall> calls = calls_that_read_an_answer();
  calls.push_back(port_call<Objects>("object read", CallKind::kRead,
                                     [](Objects& objects) { return objects.get("name"); }));
  calls.push_back(port_call<Objects>("object write", CallKind::kEffect, [](Objects& objects) {
    return objects.put("name", "content");
  }));
  return calls;
}

/// Reads a request's head, sends \p bytes and closes in order.
http_test::Script answer_raw(std::string bytes) {
  return [bytes](tcp::socket socket) -> asio::awaitable<void> {
    std::string request;
    co_await http_test::read_until(socket, request, "\r\n\r\n");
    co_await http_test::write_raw(socket, bytes);
    socket.shutdown(tcp::socket::shutdown_send);
    co_await http_test::read_to_end(socket);
  };
}

/// \return whether \p end is the error of an answer that could not be read: one beyond the size
/// limit or, for an effect, any that leaves its outcome unknown.
bool is_unreadable(const PortCall& call, const core::Error& end) {
  const ErrorCode code =
      call.kind == CallKind::kEffect ? ErrorCode::kOutcomeUnknown : ErrorCode::kTooLarge;
  return end.code == code;
}

class MalformedAnswersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MalformedAnswersTest);
  CPPUNIT_TEST(answers_get_typed_errors);
  CPPUNIT_TEST(refusals_keep_their_code);
  CPPUNIT_TEST(broken_heads_get_typed_errors);
  CPPUNIT_TEST(broken_heads_of_peers_are_no_configurations);
  CPPUNIT_TEST(stream_events_get_typed_errors);
  CPPUNIT_TEST_SUITE_END();

 public:
  void answers_get_typed_errors() {
    for (const PortCall& call : calls_that_read_an_answer()) {
      for (const tests::MalformedDocument& document : tests::malformed_documents()) {
        const CallEnd end = call_scripted(call, {200, document.bytes, ""});
        const std::string name = std::string(call.name) + ", " + document.fault;
        CPPUNIT_ASSERT_MESSAGE(
            name + ": " + describe(end),
            end && (end->code == ErrorCode::kProtocol || is_unreadable(call, *end)));
      }
    }
  }

  void refusals_keep_their_code() {
    for (const PortCall& call : calls_that_read_an_answer()) {
      for (const tests::MalformedDocument& document : tests::malformed_documents()) {
        const CallEnd end = call_scripted(call, {429, document.bytes, "1e999"});
        const std::string name = std::string(call.name) + ", " + document.fault;
        CPPUNIT_ASSERT_MESSAGE(
            name + ": " + describe(end),
            end && (end->code == ErrorCode::kRateLimited || is_unreadable(call, *end)));
        CPPUNIT_ASSERT_MESSAGE(name, !end->retry_after);
      }
    }
  }

  /// A status outside 100 to 599 was taken for a success or for the server's refusal.
  void broken_heads_get_typed_errors() {
    for (const PortCall& call : calls_that_read_a_head()) {
      for (const tests::BrokenAnswer& answer : tests::answers_with_broken_head("")) {
        http_test::ScriptedServer server(answer_raw(answer.bytes));
        ClientFixture client(server.context);
        const CallEnd end =
            http_test::run(server.context, call.call(client.endpoint(server.address())));
        const std::string name = std::string(call.name) + ", " + answer.name;
        // A read whose answer is cut may be tried again.
        const bool is_typed =
            end && (call.kind == CallKind::kEffect ? end->code == ErrorCode::kOutcomeUnknown
                                                   : end->code == ErrorCode::kProtocol ||
                                                         end->code == ErrorCode::kUnavailable);
        CPPUNIT_ASSERT_MESSAGE(name + ": " + describe(end), is_typed);
      }
    }
  }

  void broken_heads_of_peers_are_no_configurations() {
    for (const tests::BrokenAnswer& answer : tests::answers_with_broken_head("")) {
      http_test::ScriptedServer server(answer_raw(answer.bytes));
      core::SystemTimeSource time;
      controllers::ConfigurationPeers peers(server.client, time);
      wire::Member peer;
      peer.peer_address = server.address();
      const auto fetched =
          http_test::run(server.context, peers.fetch(peer, core::Revision(), http_test::kPatience));
      CPPUNIT_ASSERT_MESSAGE(answer.name, !fetched);
      const auto pushed =
          http_test::run(server.context, peers.push(peer, {}, http_test::kPatience));
      CPPUNIT_ASSERT_MESSAGE(answer.name, !pushed);
    }
  }

  void stream_events_get_typed_errors() {
    for (const tests::MalformedDocument& document : tests::malformed_documents()) {
      ports::StreamEventParser parser(core::StreamId("stream"), 0);
      const auto item = parser.parse(document.bytes);
      CPPUNIT_ASSERT_MESSAGE(document.fault, !item && item.error().code == ErrorCode::kProtocol);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MalformedAnswersTest);

}  // namespace
}  // namespace stoneport::platform_test
