/// \file
/// Numbers in the answers and entries of others that this program's types cannot hold. Casts of
/// them were undefined, wrapped around, or gave durations that overflow when added to a time.
#include <nlohmann/json.hpp>

#include "contract/scripted_server.hpp"
#include "platform/configuration_codec.hpp"
#include "platform/job_codec.hpp"
#include "platform/names.hpp"
#include "platform/replica_http_client.hpp"
#include "platform/settings.hpp"
#include "platform/store_client.hpp"

namespace stoneport::platform {
namespace asio = boost::asio;
using asio::ip::tcp;
using http_test::run;
using http_test::ScriptedServer;
namespace {

constexpr core::MonotonicTime kNow{std::chrono::hours(1)};
constexpr core::Duration kTimeout = std::chrono::seconds(5);

/// JSON texts of numbers; the parser refuses the last one.
const std::vector<std::string> kNumbers = {"-1",
                                           "-1e308",
                                           "1e30",
                                           "1e308",
                                           "18446744073709551615",
                                           "1e-9",
                                           "18446744073709551616",
                                           "9223372036854775808",
                                           "1e400"};

/// Answers each request on a connection with \p json.
http_test::Script answer_json(std::string fields, std::string json) {
  const std::string answer = "HTTP/1.1 200 OK\r\n" + fields +
                             "Content-Length: " + std::to_string(json.size()) + "\r\n\r\n" + json;
  return [answer](tcp::socket socket) -> asio::awaitable<void> {
    std::string request;
    while (co_await http_test::read_until(socket, request, "\r\n\r\n")) {
      request.clear();
      co_await http_test::write_raw(socket, answer);
    }
  };
}

std::optional<ingress::ReplicaRecord> decode_row(const std::string& field,
                                                 const std::string& number) {
  nlohmann::json row = {{"service", "models"}, {"address", "10.0.0.1:8000"}, {"zone", "hall"},
                        {"slots", 6},          {"state", "ready"},           {"sequence", 1}};
  row.erase(field);
  std::string text = row.dump();
  text.insert(1, "\"" + field + "\":" + number + ",");
  ports::Record record;
  record.key = "a";
  record.value = text;
  return decode_replica(record, kNow);
}

}  // namespace

class NumbersOutOfRangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NumbersOutOfRangeTest);
  CPPUNIT_TEST(in_the_slots_of_a_replica);
  CPPUNIT_TEST(in_the_port_of_a_replica);
  CPPUNIT_TEST(in_the_cold_time_of_a_replica);
  CPPUNIT_TEST(in_other_fields_of_a_replica);
  CPPUNIT_TEST(in_a_deeply_nested_entry);
  CPPUNIT_TEST(in_a_configuration);
  CPPUNIT_TEST(in_a_named_version);
  CPPUNIT_TEST(in_a_job);
  CPPUNIT_TEST(in_the_settings);
  CPPUNIT_TEST(in_a_report);
  CPPUNIT_TEST(in_an_answer_of_the_store);
  CPPUNIT_TEST(in_a_refusal_of_a_replica);
  CPPUNIT_TEST_SUITE_END();

  void in_the_slots_of_a_replica() {
    for (const std::string valid : {"1", "6", "65535"}) {
      CPPUNIT_ASSERT_MESSAGE(valid, decode_row("slots", valid).has_value());
    }
    for (const std::string other : {"0", "65536", "4294967295", "4294967296", "4294967302"}) {
      CPPUNIT_ASSERT_MESSAGE(other, !decode_row("slots", other));
    }
    for (const std::string& number : kNumbers) {
      CPPUNIT_ASSERT_MESSAGE(number, !decode_row("slots", number));
    }
  }

  void in_the_port_of_a_replica() {
    for (const std::string port :
         {"0", "65536", "4294967297", "-1", "", "1e3", "18446744073709551617"}) {
      CPPUNIT_ASSERT_MESSAGE(port, !decode_row("address", "\"10.0.0.1:" + port + "\""));
    }
    CPPUNIT_ASSERT(decode_row("address", "\"10.0.0.1:65535\""));
  }

  void in_the_cold_time_of_a_replica() {
    for (const std::string& number : kNumbers) {
      const auto replica = decode_row("coldRemainingMs", number);
      if (number == "1e400") {
        CPPUNIT_ASSERT(!replica);
        continue;
      }
      CPPUNIT_ASSERT_MESSAGE(number, replica.has_value());
      const bool is_positive = number.front() != '-' && number != "1e-9";
      CPPUNIT_ASSERT_EQUAL_MESSAGE(number, is_positive, replica->cold_until > kNow);
    }
  }

  void in_other_fields_of_a_replica() {
    for (const std::string& number : kNumbers) {
      decode_row("sequence", number);
      decode_row("born", number);
      decode_row("models", R"([{"name":"m","version":)" + number + "}]");
      CPPUNIT_ASSERT_MESSAGE(number, !decode_row("version", number));
    }
  }

  void in_a_deeply_nested_entry() {
    constexpr std::size_t kDepth = 1'000'000;
    for (const std::string& open : {std::string("["), std::string(R"({"a":)")}) {
      std::string nested;
      for (std::size_t depth = 0; depth < kDepth; ++depth) {
        nested += open;
      }
      CPPUNIT_ASSERT(!decode_row("models", nested));
      ports::Record record;
      record.key = "a";
      record.value = nested;
      CPPUNIT_ASSERT(!decode_replica(record, kNow));
    }
    const std::string closed = std::string(kDepth, '[') + std::string(kDepth, ']');
    CPPUNIT_ASSERT(!decode_row("models", closed));
  }

  void in_a_configuration() {
    for (const std::string& number : kNumbers) {
      std::string text = R"({"version":N,"limits":{"headerBytes":N,"bodyBytes":N},"routes":[{)"
                         R"("name":"r","host":"h","pathPrefix":"/","kind":"safe","service":"s",)"
                         R"("timeoutMs":N,"targetLatencyMs":N,"maxAttempts":N,"priority":N,)"
                         R"("runDeadlineMs":N,"queueTtlS":N}],"services":[{"name":"s",)"
                         R"("coldStartS":N,"coldPerS":N,"scaling":{"maxReplicas":N}}],)"
                         R"("tenants":[{"name":"t","priority":N,"apiKeys":["k"]}]})";
      for (std::size_t at = text.find('N'); at != std::string::npos; at = text.find('N')) {
        text.replace(at, 1, number);
      }
      const auto table = decode_configuration(text);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(number, number != "1e400", table != nullptr);
      if (table) {
        const ingress::Route* route = table->find("h", "/");
        CPPUNIT_ASSERT_MESSAGE(number, route != nullptr);
        CPPUNIT_ASSERT_MESSAGE(number, kNow + route->timeout + route->timeout < kNow.max());
      }
    }
  }

  void in_a_named_version() {
    for (const std::string& number : kNumbers) {
      ports::Record record;
      record.value = R"({"model":"m","version":)" + number + "}";
      records::TableMirror::Records records;
      records[std::string(kVersionKeyStart) + "m"] = record;
      const auto named = decode_named_versions(records);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(number, std::size_t{number == "1e400" ? 0u : 1u}, named.size());
    }
  }

  void in_a_job() {
    for (const std::string& number : kNumbers) {
      jobs::JobSubmission submission;
      submission.id = "job";
      submission.body = R"({"model":"m","minVersion":)" + number + R"(,"desiredCount":)" + number +
                        R"(,"requests":[{"id":"i","path":"/x","body":""}]})";
      CPPUNIT_ASSERT_EQUAL_MESSAGE(number, number != "1e400",
                                   JobCodec().parse(submission).has_value());
    }
  }

  void in_the_settings() {
    for (const std::string& number : kNumbers) {
      const std::string text =
          R"({"nodeName":"n","zone":"z","region":"r","ipAddress":"10.1.0.10","listen":{)"
          R"("front":"10.1.0.10:1","ready":"10.1.0.10:2","directory":"10.1.0.10:3"},)"
          R"("internalPorts":[7720,7735],"limits":{"memoryMb":)" +
          number + R"(},"bounds":{"leaseMs":)" + number +
          R"(},"platform":{"address":"10.200.1.7:8169","row_bytes":)" + number + "}}";
      CPPUNIT_ASSERT_EQUAL_MESSAGE(number, number != "1e400", parse_settings(text).has_value());
    }
  }

  void in_a_report() {
    for (const std::string& number : kNumbers) {
      ScriptedServer server(answer_json("", R"({"busy":false,"sequence":)" + number +
                                                R"(,"models":[{"name":"m","version":)" + number +
                                                "}]}"));
      core::SystemTimeSource time;
      http::BodyMemory answers(server.context.get_executor(), "answers", {}, server.metrics);
      ReplicaHttpClient replicas(server.client, answers, time);
      const auto report =
          run(server.context, replicas.report({core::ReplicaId("a"), server.address()}));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(number, number != "1e400", report.has_value());
    }
  }

  /// A time that the store cannot have must not move the clock that all processes share.
  void in_an_answer_of_the_store() {
    for (const std::string& number : kNumbers) {
      ScriptedServer server(answer_json(
          "", R"({"ver":)" + number + R"(,"now_ms":)" + number +
                  R"(,"rows":[{"table":"t","part":"p","privateKey":"k","ver":)" + number + "}]}"));
      core::SystemTimeSource time;
      StoreClient store(server.client, server.address(), {}, time);
      const auto page = run(server.context, store.read({"t", "p", "", ""}, kTimeout));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(number, number != "1e400", page.has_value());
      const bool is_time = number == "1e-9";
      CPPUNIT_ASSERT_EQUAL_MESSAGE(number, is_time, store.now().has_value());
      if (page) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(number, is_time, page->answered_at.has_value());
      }
    }
  }

  /// The time is added to the clock of whoever waits for it.
  void in_a_refusal_of_a_replica() {
    for (const std::string seconds :
         {"18446744073709551615", "9223372036854775807", "9223372036855", "1e308", "1e400"}) {
      const std::string fields = std::string(kRequestIdHeader) + ": q\r\n" +
                                 std::string(kNotRunHeader) + ": 1\r\nRetry-After: " + seconds +
                                 "\r\n";
      ScriptedServer server(answer_json(fields, "{}"));
      core::SystemTimeSource time;
      http::BodyMemory answers(server.context.get_executor(), "answers", {}, server.metrics);
      ReplicaHttpClient replicas(server.client, answers, time);
      ports::ReplicaCall call;
      call.request_id = "q";
      call.time_left = kTimeout;
      const auto answer = run(
          server.context, replicas.call({core::ReplicaId("a"), server.address()}, std::move(call)));
      CPPUNIT_ASSERT_MESSAGE(seconds, !answer);
      CPPUNIT_ASSERT_MESSAGE(seconds, answer.error().kind == ports::CallFailureKind::kNotRun);
      const auto retry_after = answer.error().retry_after.value_or(core::Duration(0));
      CPPUNIT_ASSERT_MESSAGE(seconds, retry_after >= core::Duration(0));
      CPPUNIT_ASSERT_MESSAGE(seconds, retry_after <= std::chrono::hours(1));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NumbersOutOfRangeTest);

}  // namespace stoneport::platform
