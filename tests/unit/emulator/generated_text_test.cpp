/// \file
/// Text, lengths and prefix hashes are functions of their input alone.
#include "emulator/generated_text.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "emulator/trainer_ledger.hpp"

namespace stoneport::emulator {

class GeneratedTextTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GeneratedTextTest);
  CPPUNIT_TEST(same_input_gives_same_length_and_text);
  CPPUNIT_TEST(lengths_have_a_heavy_tail);
  CPPUNIT_TEST(text_does_not_depend_on_how_it_is_cut);
  CPPUNIT_TEST(versions_are_read_back_from_the_text);
  CPPUNIT_TEST(spans_are_judged_by_the_text);
  CPPUNIT_TEST_SUITE_END();

 public:
  void same_input_gives_same_length_and_text() {
    const LengthDistribution lengths;
    CPPUNIT_ASSERT_EQUAL(text_key("prompt", 7), text_key("prompt", 7));
    CPPUNIT_ASSERT(text_key("prompt", 7) != text_key("prompt", 8));
    CPPUNIT_ASSERT(text_key("prompt", 7) != text_key("other", 7));
    CPPUNIT_ASSERT_EQUAL(response_length(12, lengths), response_length(12, lengths));
  }

  void lengths_have_a_heavy_tail() {
    const LengthDistribution lengths{200, 0.9};
    std::vector<std::uint32_t> drawn;
    for (std::uint64_t seed = 0; seed < 4000; ++seed) {
      drawn.push_back(response_length(text_key("prompt", seed), lengths));
    }
    std::sort(drawn.begin(), drawn.end());
    const std::uint32_t median = drawn[drawn.size() / 2];
    const std::uint32_t high = drawn[drawn.size() * 99 / 100];
    CPPUNIT_ASSERT(median > 180 && median < 220);
    CPPUNIT_ASSERT(high > 6 * median);
    CPPUNIT_ASSERT(drawn.front() >= 1);
  }

  void text_does_not_depend_on_how_it_is_cut() {
    std::string whole;
    append_tokens(whole, 5, 0, 10, core::WeightVersion(3));
    std::string pieces;
    append_tokens(pieces, 5, 0, 4, core::WeightVersion(3));
    append_tokens(pieces, 5, 4, 6, core::WeightVersion(3));
    CPPUNIT_ASSERT_EQUAL(whole, pieces);
    CPPUNIT_ASSERT_EQUAL(std::size_t{10 * kCharactersPerToken}, whole.size());
  }

  void versions_are_read_back_from_the_text() {
    std::string text;
    append_tokens(text, 5, 0, 2, core::WeightVersion(61));
    append_tokens(text, 5, 2, 1, core::WeightVersion(62));
    const std::vector<std::uint32_t> expected = {61, 61, 62};
    CPPUNIT_ASSERT(decode_versions(text) == expected);
    CPPUNIT_ASSERT(!decode_versions(text + "x"));
    CPPUNIT_ASSERT(!decode_versions("--ab"));
  }

  void spans_are_judged_by_the_text() {
    std::string text;
    append_tokens(text, 5, 0, 3, core::WeightVersion(1));
    append_tokens(text, 5, 3, 2, core::WeightVersion(2));
    const auto span = [](std::uint64_t version, std::uint32_t tokens) {
      return VersionSpan{core::WeightVersion(version), tokens};
    };
    struct Case {
      const char* name;
      std::vector<VersionSpan> spans;
      std::uint64_t token_count;
      bool matches;
    };
    const std::vector<Case> cases = {
        {"the truth", {span(1, 3), span(2, 2)}, 5, true},
        {"the border is off by one", {span(1, 4), span(2, 1)}, 5, false},
        {"one version for all", {span(2, 5)}, 5, false},
        {"tokens missing", {span(1, 3)}, 5, false},
        {"tokens too many", {span(1, 3), span(2, 3)}, 5, false},
        {"wrong total", {span(1, 3), span(2, 2)}, 6, false},
        {"no span", {}, 5, false},
    };
    for (const Case& tried : cases) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(tried.name, tried.matches,
                                   spans_match_text(tried.spans, tried.token_count, text));
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(GeneratedTextTest);

}  // namespace stoneport::emulator
