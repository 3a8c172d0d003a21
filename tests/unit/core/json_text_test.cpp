/// \file
/// Untrusted JSON: nesting depth, malformed text and invalid UTF-8.
#include "core/json_text.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace stoneport::core {
namespace {

std::string nested(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

class JsonTextTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JsonTextTest);
  CPPUNIT_TEST(rejects_invalid_or_too_deep_json);
  CPPUNIT_TEST(replaces_invalid_utf8_on_output);
  CPPUNIT_TEST(recognizes_valid_utf8);
  CPPUNIT_TEST_SUITE_END();

 public:
  void rejects_invalid_or_too_deep_json() {
    const std::vector<std::pair<std::string, bool>> cases = {
        {"{\"a\":[1,{\"b\":null}]}", true},
        {"7", true},
        {nested(kMaxJsonDepth), true},
        {nested(kMaxJsonDepth + 1), false},
        {nested(1'000'000), false},
        {"{\"a\":" + nested(kMaxJsonDepth) + "}", false},
        {"", false},
        {"{\"a\":", false},
        {"{} {}", false},
        {"\"\xff\"", false},
    };
    for (const auto& [text, accepted] : cases) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text.substr(0, 40), accepted, parse_json(text).has_value());
    }
    CPPUNIT_ASSERT(*parse_json("{\"a\":[1]}") == nlohmann::json({{"a", {1}}}));
  }

  void replaces_invalid_utf8_on_output() {
    CPPUNIT_ASSERT_EQUAL(std::string("\"a\xef\xbf\xbd\""), write_json("a\xff"));
  }

  void recognizes_valid_utf8() {
    const std::vector<std::pair<std::string, bool>> cases = {
        {"", true},
        {"name-1", true},
        {std::string("a\0b", 3), true},
        {"\xe1\x88\x80 \xf0\x9f\x98\x80", true},
        {"\xff", false},
        {"a\xc3", false},
        {"\xc3(", false},
        {"\x80", false},
        {"\xc0\x80", false},          // overlong encoding
        {"\xed\xa0\x80", false},      // surrogate
        {"\xf4\x90\x80\x80", false},  // beyond U+10FFFF
    };
    for (const auto& [text, valid] : cases) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, valid, is_utf8(text));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JsonTextTest);

}  // namespace
}  // namespace stoneport::core
