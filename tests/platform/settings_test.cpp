/// \file
/// Load control switches in the settings file that the platform writes.
#include "platform/settings.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>

namespace stoneport::platform {

class SettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(load_control_defaults);
  CPPUNIT_TEST(each_feature_has_a_switch);
  CPPUNIT_TEST(a_switch_must_be_a_boolean);
  CPPUNIT_TEST_SUITE_END();

  static nlohmann::json settings() {
    return {{"nodeName", "front-1"},
            {"zone", "zone-a"},
            {"region", "region"},
            {"ipAddress", "10.1.0.10"},
            {"listen",
             {{"front", "10.1.0.10:8161"},
              {"ready", "10.1.0.10:8167"},
              {"directory", "10.1.0.10:8164"}}},
            {"internalPorts", {7720, 7735}},
            {"platform", {{"address", "10.200.1.7:8169"}}}};
  }

  void load_control_defaults() {
    const auto read = parse_settings(settings().dump());
    CPPUNIT_ASSERT(read);
    const node::LoadControlSettings defaults{true, true, true, false};
    CPPUNIT_ASSERT(read->load_control == defaults);
  }

  void each_feature_has_a_switch() {
    nlohmann::json text = settings();
    text["loadControl"] = {
        {"admission", false}, {"sharedHealth", false}, {"secondCalls", false}, {"fairSteps", true}};
    const auto read = parse_settings(text.dump());
    CPPUNIT_ASSERT(read);
    const node::LoadControlSettings changed{false, false, false, true};
    CPPUNIT_ASSERT(read->load_control == changed);
  }

  void a_switch_must_be_a_boolean() {
    for (const nlohmann::json& value : {nlohmann::json("on"), nlohmann::json({{"admission", 1}})}) {
      nlohmann::json text = settings();
      text["loadControl"] = value;
      CPPUNIT_ASSERT(!parse_settings(text.dump()));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

}  // namespace stoneport::platform
