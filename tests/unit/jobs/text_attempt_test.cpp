/// \file
/// Attempts at texts on replicas that never end them. Each event is valid, so that the text was
/// kept until the machine had no memory left.
#include "jobs/text_attempt.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>

#include "support/fake_replica_client.hpp"
#include "support/run_task.hpp"

namespace stoneport::jobs {

class TextAttemptTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TextAttemptTest);
  CPPUNIT_TEST(a_text_without_end_is_given_up);
  CPPUNIT_TEST_SUITE_END();

  void a_text_without_end_is_given_up() {
    constexpr std::size_t kMaxBytes = std::size_t{4} << 20;
    boost::asio::io_context context;
    support::FakeReplicaClient client;
    client.text_length = 10'000'000;
    client.replicas["r"].event_gap = core::Duration(0);
    ItemText text;
    ports::ReplicaCall call;
    call.request_id = "item";
    const AttemptEnd end =
        support::run_task(context, attempt_text(client, {core::ReplicaId("r"), {}}, std::move(call),
                                                text, {core::WeightVersion(1), false}, [] {}));
    CPPUNIT_ASSERT_EQUAL(std::string("unfit"), std::string(to_string(end.kind)));
    CPPUNIT_ASSERT(text.memory_bytes() <= kMaxBytes);
    CPPUNIT_ASSERT(text.memory_bytes() > kMaxBytes / 2);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TextAttemptTest);

}  // namespace stoneport::jobs
