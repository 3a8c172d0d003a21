/// \file
/// Passing on the answer of a back end: nothing that the server keeps may refer to the answer once
/// it has been passed on.
#include "filters/back_end_exchange.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

namespace stoneport::filters {
namespace asio = boost::asio;

class BackEndExchangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BackEndExchangeTest);
  CPPUNIT_TEST(a_client_that_leaves_after_its_answer_reaches_nobody);
  CPPUNIT_TEST_SUITE_END();

  class Writer : public http::ResponseWriter {
   public:
    asio::awaitable<core::Result<void>> start(http::ResponseHead,
                                              std::optional<std::uint64_t>) override {
      was_watched = callback != nullptr;
      co_return core::Result<void>();
    }
    asio::awaitable<core::Result<void>> write(std::string_view) override {
      co_return fails
          ? core::Result<void>(core::make_error(core::ErrorCode::kUnavailable, "the client left"))
          : core::Result<void>();
    }
    asio::awaitable<core::Result<void>> finish() override { co_return core::Result<void>(); }
    bool started() const override { return true; }
    bool client_gone() const override { return false; }
    void when_client_gone(std::function<void()> given) override { callback = std::move(given); }

    std::function<void()> callback;
    bool was_watched = false;
    bool fails = false;
  };

  class Answer : public http::ClientResponse {
   public:
    const http::ResponseHead& head() const override { return head_; }
    http::BodySource& body() override { return body_; }
    std::optional<std::uint64_t> body_bytes_left() const override { return std::nullopt; }
    void set_deadline(core::MonotonicTime) override {}
    void cancel() override {}

   private:
    http::ResponseHead head_;
    http::StringBody body_{"answer"};
  };

  /// Guards against a call of an answer that is freed, when the client leaves before its handler
  /// has ended.
  void a_client_that_leaves_after_its_answer_reaches_nobody() {
    for (const bool fails : {false, true}) {
      asio::io_context context;
      Writer writer;
      writer.fails = fails;
      RequestContext request;
      request.response = &writer;
      request.repeatable = true;
      Answer answer;
      asio::co_spawn(context, relay(request, answer), asio::detached);
      context.run();
      CPPUNIT_ASSERT(writer.was_watched);
      CPPUNIT_ASSERT(!writer.callback);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackEndExchangeTest);

}  // namespace stoneport::filters
