/// \file
/// JSON text from outside: depth, malformed text, bytes that are no UTF-8.
#include "core/json_text.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace stoneport::core {
namespace {

std::string nested(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

class JsonTextTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JsonTextTest);
  CPPUNIT_TEST(refuses_what_is_no_json_or_too_deep);
  CPPUNIT_TEST(writes_invalid_bytes_replaced);
  CPPUNIT_TEST(knows_valid_utf8);
  CPPUNIT_TEST_SUITE_END();

 public:
  void refuses_what_is_no_json_or_too_deep() {
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

  void writes_invalid_bytes_replaced() {
    CPPUNIT_ASSERT_EQUAL(std::string("\"a\xef\xbf\xbd\""), write_json("a\xff"));
  }

  void knows_valid_utf8() {
    const std::vector<std::pair<std::string, bool>> cases = {
        {"", true},
        {"name-1", true},
        {std::string("a\0b", 3), true},
        {"\xe1\x88\x80 \xf0\x9f\x98\x80", true},
        {"\xff", false},
        {"a\xc3", false},
        {"\xc3(", false},
        {"\x80", false},
        {"\xc0\x80", false},          // longer than needed
        {"\xed\xa0\x80", false},      // a surrogate
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
