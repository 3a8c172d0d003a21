/// \file
/// A running emulator in this process, over loopback, and a client that speaks
/// to its interfaces. The emulator has threads of its own; the client blocks.
#pragma once

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "emulator/emulator.hpp"
#include "http/client.hpp"

namespace stoneport::emulator {

namespace asio = boost::asio;
using nlohmann::json;

inline constexpr core::Duration kPatience = std::chrono::seconds(20);

inline const char* const kSettings = R"(
time_scale = 50.0
[[policies]]
name = "policy"
[[engines]]
model = "model"
policy = "policy"
zone = "hall"
count = 2
[[services]]
service = "desk"
zone = "hall"
[[trainers]]
name = "trainer"
)";

inline const std::string kReplica = "desk-hall-1";

/// What came of one exchange; status 0 when it was cut, refused or timed out.
struct Outcome {
  unsigned status = 0;
  std::string body;
  json document() const { return json::parse(body, nullptr, false); }
};

/// A blocking client for tests.
class TestClient {
 public:
  Outcome send(const core::Address& address, const std::string& method, const std::string& target,
               const std::string& body = "", core::Duration patience = kPatience) {
    http::Request request;
    request.head.method = method;
    request.head.target = target;
    request.body = body;
    http::SendOptions options;
    options.deadline = time_.now() + patience;
    options.fresh_connection = true;
    auto fetched = asio::co_spawn(context_, client_.fetch(address, std::move(request), options),
                                  asio::use_future);
    context_.restart();
    while (fetched.wait_for(std::chrono::seconds(0)) != std::future_status::ready) {
      context_.run_one();
    }
    const auto answer = fetched.get();
    return answer ? Outcome{answer->head.status, answer->body} : Outcome{};
  }

 private:
  asio::io_context context_;
  core::Metrics metrics_;
  core::SystemTimeSource time_;
  http::Client client_{context_.get_executor(), "test", metrics_};
};

/// Sets up an emulator of two engines, one replica and one trainer for each test.
class EmulatorFixture : public CppUnit::TestFixture {
 public:
  void setUp() override {
    auto settings = parse_settings(kSettings);
    CPPUNIT_ASSERT(settings);
    emulator_ = std::make_unique<Emulator>(*settings);
    CPPUNIT_ASSERT(emulator_->start());
    ports_ = emulator_->ports();
  }
  void tearDown() override { emulator_.reset(); }

 protected:
  std::unique_ptr<Emulator> emulator_;
  json ports_;
  TestClient client_;

  static core::Address address_in(const json& entry) {
    return {entry.at("ip").get<std::string>(), entry.at("port").get<std::uint16_t>()};
  }
  Outcome control(const std::string& method, const std::string& path,
                  const std::string& body = "") {
    return client_.send(address_in(ports_.at("control")), method, "/control/" + path, body);
  }
  void set_faults(const std::string& party, const std::string& switches) {
    CPPUNIT_ASSERT_EQUAL(204U, control("PUT", "faults/" + party, switches).status);
  }
  core::Address engine(const std::string& id) { return address_in(ports_.at("engines").at(id)); }
  core::Address replica() { return address_in(ports_.at("services").at(kReplica)); }
  core::Address table() { return address_in(ports_.at("table_service")); }
  json machine(const std::string& id) {
    const Outcome list = client_.send(address_in(ports_.at("machine_list")), "GET", "/v1/machines");
    const json machines = list.document().at("machines");
    for (const json& entry : machines) {
      if (entry.at("id") == id) {
        return entry;
      }
    }
    return {};
  }
};

}  // namespace stoneport::emulator
