/// \file
/// Bytes that should not have been sent, to every interface of the real programs:
/// each gets a typed error or is counted and dropped, and the next good request
/// is served. The answers of the platform are in malformed_answers_test.cpp.
#include "support/malformed_input.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <boost/asio/ip/udp.hpp>

#include "support/test_cluster.hpp"
#include "wire/gossip_codec.hpp"

namespace stoneport::tests {
namespace {

namespace asio = boost::asio;
using nlohmann::json;

/// One request, as bytes.
struct RawRequest {
  std::string method;
  std::string target;
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers;
};

/// One listener with the routes that take documents and one request that is good.
struct Interface {
  std::string name;
  core::Address address;
  RawRequest good;
  /// Routes to which every malformed document goes.
  std::vector<RawRequest> routes;
  /// Routes whose "{}" becomes every malformed path segment.
  std::vector<RawRequest> paths;
  /// Bytes of the longest body; 0 when the interface takes none.
  std::size_t body_limit = 0;
};

const char* const kVersionBody = R"({"version":1,"size_bytes":4000000000})";
const char* const kOpenBody =
    R"({"step":9,"policy_version":1,"prompts":["one"],"samples_per_prompt":1})";
const char* const kCompletionBody = R"({"model":"proposal","prompt":"one","max_tokens":4})";
constexpr std::size_t kUsualLimit = std::size_t{8} << 20;
constexpr std::size_t kLongLimit = std::size_t{64} << 20;

Interface caller_interface(const TestCluster& cluster) {
  return {"caller",
          cluster.caller(0),
          {"POST", "/v1/completions", kCompletionBody, {}},
          {{"POST", "/v1/completions", "", {}}},
          {{"POST", "/v1/{}", "", {}}, {"GET", "/{}", "", {}}, {"GET", "/materials/{}", "", {}}},
          kLongLimit};
}

Interface trainer_interface(const TestCluster& cluster) {
  const std::string step = "/v1/events/compounds/steps/1";
  return {"trainer",
          cluster.trainer(0),
          {"POST", "/v1/policies/proposal-policy/versions", kVersionBody, {}},
          {{"POST", "/v1/policies/proposal-policy/versions", "", {}},
           {"POST", "/v1/events/compounds/steps", "", {}},
           {"POST", step + "/poll", "", {}},
           {"POST", step + "/ack", "", {}}},
          {{"POST", "/v1/policies/{}/versions", kVersionBody, {}},
           {"POST", "/v1/events/{}/steps", kOpenBody, {}},
           {"POST", "/v1/events/{}/steps/1/poll", R"({"held":""})", {}},
           {"POST", "/v1/events/compounds/steps/{}/ack", R"({"held":""})", {}},
           {"DELETE", "/v1/events/{}/steps/1", "", {}}},
          kLongLimit};
}

Interface admin_interface(const TestCluster& cluster) {
  const std::string base = "/v1/operator/";
  return {"admin",
          cluster.admin(0),
          {"GET", base + "members", "", {}},
          {{"PUT", base + "templates/materials", "", {}},
           {"PUT", base + "parameters/compounds", "", {}},
           {"POST", base + "templates/materials/rollback", "", {}},
           {"POST", base + "validate", "", {}}},
          {{"GET", base + "templates/{}", "", {}},
           {"PUT", base + "templates/{}", "{}", {}},
           {"GET", base + "parameters/{}/history", "", {}},
           {"GET", base + "parameters/{}/diff", "", {}},
           {"POST", base + "parameters/{}/rollback", "{}", {}},
           {"POST", base + "members/{}/drain", "", {}},
           {"POST", base + "replicas/{}/drain", "", {}}},
          kUsualLimit};
}

Interface peer_interface(const TestCluster& cluster) {
  return {"peer",
          cluster.peer(0),
          {"GET", "/peer/configuration?since=0", "", {}},
          {{"POST", "/peer/configuration", "", {}}, {"POST", "/peer/drain", "", {}}},
          {{"GET", "/peer/configuration?since={}", "", {}}, {"GET", "/peer/{}", "", {}}},
          kUsualLimit};
}

Interface emulator_interface(const TestCluster& cluster) {
  return {"emulator",
          cluster.emulator_control(),
          {"GET", "/control/engines", "", {}},
          {{"PUT", "/control/faults/table_service", "", {}},
           {"PUT", "/control/faults/machine_list", "", {}},
           {"PUT", "/control/trainers/trainer/daemon", "", {}},
           {"POST", "/control/trainers/trainer/run", "", {}}},
          {{"PUT", "/control/faults/{}", "{}", {}}, {"GET", "/control/trainers/{}", "", {}}},
          kLongLimit};
}

wire::Member stranger(const std::string& node) {
  wire::Member member;
  member.node = core::NodeId(node);
  member.incarnation = wire::first_incarnation(1);
  member.zone = core::ZoneName("bole-hall");
  member.region = core::RegionName("addis");
  member.gossip_address = {"127.0.0.1", 1};
  member.peer_address = {"127.0.0.1", 1};
  return member;
}

std::string news_of(wire::Member member) {
  wire::GossipPacket packet;
  packet.sender = std::move(member);
  packet.message = wire::StateUpdate{};
  return wire::encode_packet(packet);
}

/// \return packets of which every one is malformed.
std::vector<MalformedDocument> malformed_packets() {
  const std::string good = news_of(stranger("node-8"));
  wire::Member no_utf8 = stranger("node-8");
  no_utf8.zone = core::ZoneName("\xff\xfe");
  std::vector<MalformedDocument> packets = {
      {"empty", ""},
      {"too long", std::string(4000, 'x')},
      {"cut", good.substr(0, good.size() / 2)},
      {"a byte too many", good + "x"},
      {"deep arrays", std::string(wire::kMaxPacketBytes, '\x81')},
      {"deep maps", repeated(std::string("\xa1\x61x"), 400)},
      {"an absurd array", std::string("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff", 9)},
      {"an absurd string", std::string("\x7b\x7f\xff\xff\xff\xff\xff\xff\xff", 9)},
      {"a text", std::string("\x65hello")},
      {"a name of invalid UTF-8", news_of(stranger("\xff\xfe"))},
      {"a zone of invalid UTF-8", news_of(std::move(no_utf8))},
      {"a name too long", news_of(stranger(std::string(200, 'n')))},
  };
  for (MalformedDocument& document : random_documents(20, wire::kMaxPacketBytes)) {
    packets.push_back(std::move(document));
  }
  return packets;
}

class MalformedInputTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MalformedInputTest);
  CPPUNIT_TEST(documents_get_typed_errors);
  CPPUNIT_TEST(path_segments_get_typed_errors);
  CPPUNIT_TEST(oversize_bodies_are_refused);
  CPPUNIT_TEST(header_values_get_typed_answers);
  CPPUNIT_TEST(gossip_packets_are_counted_and_dropped);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    ClusterOptions options;
    options.daemons = 1;
    cluster_ = std::make_unique<TestCluster>(options);
    cluster_->publish_examples();
    wait_until("every interface serves its good request", [this] {
      const std::vector<Interface> all = interfaces();
      return std::all_of(all.begin(), all.end(), [this](const Interface& interface) {
        return exchange(interface.address, interface.good).ok();
      });
    });
  }
  void tearDown() override { cluster_.reset(); }

 private:
  std::vector<Interface> interfaces() const {
    return {caller_interface(*cluster_), trainer_interface(*cluster_), admin_interface(*cluster_),
            peer_interface(*cluster_), emulator_interface(*cluster_)};
  }

  HttpAnswer exchange(const core::Address& address, const RawRequest& raw) {
    HttpCall call{address, {}};
    call.request.head.method = raw.method;
    call.request.head.target = raw.target;
    for (const auto& [name, value] : raw.headers) {
      call.request.head.headers.set(name, value);
    }
    call.request.body = raw.body;
    return cluster_->http().send_all({call}, nullptr).front();
  }

  static std::string describe(const Interface& interface, const std::string& fault,
                              const RawRequest& raw, const HttpAnswer& answer) {
    return interface.name + ", " + raw.method + " " + raw.target + ", " + fault + ": status " +
           std::to_string(answer.status) + " " + answer.failure + " " + answer.body.substr(0, 200);
  }

  void check_good(const Interface& interface, const std::string& after) {
    const HttpAnswer answer = exchange(interface.address, interface.good);
    CPPUNIT_ASSERT_MESSAGE(describe(interface, "good, after " + after, interface.good, answer),
                           answer.ok());
  }

  /// Sends \p raw, which must be refused with a JSON error, then the good request.
  void check_refused(const Interface& interface, const std::string& fault, const RawRequest& raw) {
    const HttpAnswer answer = exchange(interface.address, raw);
    const std::string message = describe(interface, fault, raw, answer);
    CPPUNIT_ASSERT_MESSAGE(message, answer.status >= 400 && answer.status < 500);
    CPPUNIT_ASSERT_MESSAGE(message, answer.document().is_object());
    check_good(interface, fault);
  }

  void documents_get_typed_errors() {
    for (const Interface& interface : interfaces()) {
      for (const RawRequest& route : interface.routes) {
        for (const MalformedDocument& document : malformed_documents()) {
          RawRequest raw = route;
          raw.body = document.bytes;
          check_refused(interface, document.fault, raw);
        }
      }
    }
  }

  void path_segments_get_typed_errors() {
    for (const Interface& interface : interfaces()) {
      for (const RawRequest& path : interface.paths) {
        for (const std::string& segment : malformed_segments()) {
          RawRequest raw = path;
          raw.target.replace(raw.target.find("{}"), 2, segment);
          check_refused(interface, "path", raw);
        }
      }
    }
  }

  void oversize_bodies_are_refused() {
    for (const Interface& interface : interfaces()) {
      RawRequest raw = interface.routes.front();
      raw.body = std::string(interface.body_limit + 1, ' ');
      const HttpAnswer answer = exchange(interface.address, raw);
      CPPUNIT_ASSERT_MESSAGE(describe(interface, "oversize", raw, answer), answer.status == 413);
      check_good(interface, "an oversize body");
    }
  }

  /// Header values may hold any byte; some of these requests are good ones.
  void header_values_get_typed_answers() {
    const Interface interface = caller_interface(*cluster_);
    const std::vector<std::string> values = {
        "\xff\xfe", "%00", std::string(4000, 'h'), "99999999999999999999999", "-1",
        "1e999",    "\xc3"};
    for (const char* name : {"Stoneport-Tenant", "Stoneport-Deadline-Ms", "Stoneport-Priority",
                             "Stoneport-Repeatable", "Idempotency-Key"}) {
      for (const std::string& value : values) {
        for (RawRequest raw : {interface.good, RawRequest{"POST", "/topups/a", "b", {}}}) {
          raw.headers.emplace_back(name, value);
          const HttpAnswer answer = exchange(interface.address, raw);
          CPPUNIT_ASSERT_MESSAGE(describe(interface, name, raw, answer),
                                 answer.status >= 200 && answer.status < 500);
          check_good(interface, name);
        }
      }
    }
  }

  /// \return how many gossip packets the daemon has dropped as malformed.
  double dropped_packets() {
    const std::string text = cluster_->http().get(cluster_->admin(0), "/metrics").body;
    const std::string name = "stoneport_gossip_dropped_total{reason=\"malformed\"} ";
    const std::size_t found = text.find(name);
    return found == std::string::npos ? -1 : std::stod(text.substr(found + name.size()));
  }
  bool knows(const std::string& node) {
    const HttpAnswer answer = cluster_->http().get(cluster_->admin(0), "/v1/operator/members");
    CPPUNIT_ASSERT_MESSAGE("members: " + answer.failure + answer.body, answer.ok());
    const json document = answer.document();
    for (const json& member : document.at("members")) {
      if (member.at("node") == node) {
        return true;
      }
    }
    return false;
  }

  void gossip_packets_are_counted_and_dropped() {
    asio::io_context context;
    asio::ip::udp::socket socket(context, asio::ip::udp::v4());
    const core::Address gossip = cluster_->gossip(0);
    const asio::ip::udp::endpoint target(asio::ip::make_address(gossip.ip), gossip.port);
    CPPUNIT_ASSERT_EQUAL(0.0, dropped_packets());
    double sent = 0;
    for (const MalformedDocument& packet : malformed_packets()) {
      socket.send_to(asio::buffer(packet.bytes), target);
      ++sent;
      wait_until(packet.fault + " is counted", [&] { return dropped_packets() >= sent; });
      CPPUNIT_ASSERT_EQUAL_MESSAGE(packet.fault, sent, dropped_packets());
      CPPUNIT_ASSERT_MESSAGE(packet.fault, knows("node-0"));
    }
    CPPUNIT_ASSERT(!knows("node-8"));
    socket.send_to(asio::buffer(news_of(stranger("node-8"))), target);
    wait_until("a good packet is taken", [&] { return knows("node-8"); });
  }

  std::unique_ptr<TestCluster> cluster_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(MalformedInputTest);

}  // namespace
}  // namespace stoneport::tests
