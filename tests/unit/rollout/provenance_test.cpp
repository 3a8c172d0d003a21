#include "rollout/provenance.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include "rollout/event_ownership.hpp"
#include "rollout/stream_name.hpp"

namespace stoneport::rollout {
namespace {

using core::WeightVersion;

class ProvenanceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProvenanceTest);
  CPPUNIT_TEST(chunks_to_spans);
  CPPUNIT_TEST(stream_names_round_trip);
  CPPUNIT_TEST(foreign_stream_names_are_refused);
  CPPUNIT_TEST(epochs_of_events);
  CPPUNIT_TEST_SUITE_END();

  struct Case {
    std::string name;
    std::vector<GeneratedChunk> chunks;
    std::uint64_t stated_count;
    std::optional<SampleDefect> defect;
    std::vector<VersionSpan> spans;
  };

  void chunks_to_spans() {
    const WeightVersion v3(3);
    const WeightVersion v4(4);
    const Case cases[] = {
        {"one version", {{0, 2, "ab", v3}, {2, 1, "c", v3}}, 3, {}, {{v3, 3}}},
        {"swap in mid-stream", {{0, 2, "ab", v3}, {2, 1, "c", v4}}, 3, {}, {{v3, 2}, {v4, 1}}},
        {"swap and back",
         {{0, 1, "a", v4}, {1, 1, "b", v3}, {2, 1, "c", v4}},
         3,
         {},
         {{v4, 1}, {v3, 1}, {v4, 1}}},
        {"no version", {{0, 2, "ab", v3}, {2, 1, "c", {}}}, 3, SampleDefect::kVersionMissing, {}},
        {"gap", {{0, 2, "ab", v3}, {3, 1, "c", v3}}, 4, SampleDefect::kGap, {}},
        {"overlap", {{0, 2, "ab", v3}, {1, 2, "bc", v3}}, 3, SampleDefect::kOverlap, {}},
        {"fault stays", {{1, 1, "a", v3}, {0, 1, "a", v3}}, 1, SampleDefect::kGap, {}},
        {"other count", {{0, 2, "ab", v3}}, 3, SampleDefect::kCountMismatch, {}},
        {"empty", {}, 0, SampleDefect::kEmpty, {}},
    };
    for (const Case& one : cases) {
      ProvenanceBuilder builder;
      for (const GeneratedChunk& chunk : one.chunks) {
        builder.add(chunk);
      }
      CPPUNIT_ASSERT_MESSAGE(one.name, builder.finish(one.stated_count) == one.defect);
      if (!one.defect) {
        CPPUNIT_ASSERT_MESSAGE(one.name, builder.spans() == one.spans);
        CPPUNIT_ASSERT_MESSAGE(one.name, builder.text() == "abc");
        CPPUNIT_ASSERT_MESSAGE(one.name, builder.oldest() == v3);
      }
    }
  }

  void stream_names_round_trip() {
    const StreamName name{
        core::EventName("abay.props"), core::StepNumber(12), {3, 4}, 2, core::Epoch(7), 99, 5};
    const core::StreamId stream = to_stream_id(name);
    CPPUNIT_ASSERT_EQUAL(std::string("abay.props/12/3.4.2.7.99.5"), stream.value());
    CPPUNIT_ASSERT(parse_stream_id(stream) == name);
  }

  void foreign_stream_names_are_refused() {
    for (const std::string text :
         {"", "a", "a/1", "/1/0.0.1.1.5.6", "a/x/0.0.1.1.5.6", "a/1/0.0.1.1.5", "a/1/0.0.1.1.5.6.1",
          "a/1/0.0.1.1.5.6/", "a/1/00.0.1.1.5.6", "a/1/-1.0.1.1.5.6", "a/1/4294967296.0.1.1.5.6"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !parse_stream_id(core::StreamId(text)));
    }
    CPPUNIT_ASSERT(!is_valid_event_name(core::EventName("a/b")));
  }

  void epochs_of_events() {
    const core::EventName event("e");
    EventOwnership ownership;
    CPPUNIT_ASSERT(ownership.open(event, core::Epoch(0)).epoch == core::Epoch(1));
    CPPUNIT_ASSERT(!ownership.open(event, core::Epoch(1)).taken_over);
    ownership.grant(core::Epoch(9));
    CPPUNIT_ASSERT(ownership.open(event, core::Epoch(1)).epoch == core::Epoch(1));
    CPPUNIT_ASSERT(!ownership.is_fenced(event, core::Epoch(1)));
    CPPUNIT_ASSERT(ownership.is_fenced(event, core::Epoch(2)));
    const auto again = ownership.open(event, core::Epoch(12));
    CPPUNIT_ASSERT(again.epoch == core::Epoch(13));
    CPPUNIT_ASSERT(again.taken_over);
    ownership.mark_lost(event);
    const auto after_loss = ownership.open(event, core::Epoch(0));
    CPPUNIT_ASSERT(after_loss.epoch == core::Epoch(14));
    CPPUNIT_ASSERT(after_loss.taken_over);
    CPPUNIT_ASSERT(!ownership.open(event, core::Epoch(0)).taken_over);
    CPPUNIT_ASSERT(ownership.open(core::EventName("f"), core::Epoch(3)).epoch == core::Epoch(9));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProvenanceTest);

}  // namespace
}  // namespace stoneport::rollout
