/// \file
/// The router and the event reader over bodies and responses in memory.
#include "http/router.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio.hpp>

#include "http/server_sent_events.hpp"

namespace stoneport::http {
namespace {
namespace asio = boost::asio;

template <class Value>
Value run(asio::awaitable<Value> task) {
  asio::io_context context;
  std::future<Value> result = asio::co_spawn(context, std::move(task), asio::use_future);
  context.run();
  return result.get();
}

/// Body that comes in the given pieces and may be cut after them.
class PieceBody : public BodySource {
 public:
  PieceBody(std::vector<std::string> pieces, bool cut) : pieces_(std::move(pieces)), cut_(cut) {}
  asio::awaitable<core::Result<std::optional<std::string>>> next() override {
    if (position_ < pieces_.size()) {
      co_return std::optional<std::string>(pieces_[position_++]);
    }
    if (cut_) {
      co_return core::make_error(core::ErrorCode::kTruncated, "cut");
    }
    co_return std::optional<std::string>();
  }

 private:
  std::vector<std::string> pieces_;
  bool cut_;
  std::size_t position_ = 0;
};

class RecordedResponse : public ResponseWriter {
 public:
  asio::awaitable<core::Result<void>> start(ResponseHead head,
                                            std::optional<std::uint64_t>) override {
    response.head = std::move(head);
    co_return core::Result<void>();
  }
  asio::awaitable<core::Result<void>> write(std::string_view piece) override {
    response.body += piece;
    co_return core::Result<void>();
  }
  asio::awaitable<core::Result<void>> finish() override { co_return core::Result<void>(); }
  bool started() const override { return true; }
  bool client_gone() const override { return false; }
  Response response;
};

class RouterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RouterTest);
  CPPUNIT_TEST(requests_reach_the_route_of_their_pattern);
  CPPUNIT_TEST(events_are_read_across_pieces);
  CPPUNIT_TEST(formatted_events_read_back);
  CPPUNIT_TEST_SUITE_END();

 public:
  void requests_reach_the_route_of_their_pattern() {
    Router router(10);
    const auto route = [](std::string name) {
      return [name](RoutedRequest request) -> asio::awaitable<Response> {
        Response response;
        response.body = name;
        for (const auto& [key, value] : request.parameters) {
          response.body += " " + key + "=" + value;
        }
        response.body += request.body;
        co_return response;
      };
    };
    router.add("GET", "/items", route("list"));
    router.add("POST", "/items", route("create"));
    router.add("GET", "/items/{id}", route("get"));
    router.add("GET", "/items/{id}/parts/{part}", route("part"));
    router.add("GET", "/files/{path...}", route("file"));
    struct Case {
      std::string method;
      std::string target;
      unsigned status;
      std::string body;  ///< of a success
      std::string request_body = "";
    };
    const std::vector<Case> cases = {
        {"GET", "/items?x=1", 200, "list"},
        {"POST", "/items", 200, "create!!", "!!"},
        {"POST", "/items", 413, "", "more than ten"},
        {"DELETE", "/items", 405, ""},
        {"GET", "/items/a%2Fb", 200, "get id=a/b"},
        {"GET", "/items/1/parts/2", 200, "part id=1 part=2"},
        {"GET", "/items/1/parts", 404, ""},
        {"GET", "/items/1/parts/2/3", 404, ""},
        {"GET", "/files/a/b/c", 200, "file path=a/b/c"},
        {"GET", "/", 404, ""},
    };
    for (const Case& example : cases) {
      const std::string message = example.method + " " + example.target;
      RequestHead request;
      request.method = example.method;
      request.target = example.target;
      StringBody body(example.request_body);
      RecordedResponse recorded;
      auto handle = [&]() -> asio::awaitable<bool> {
        co_await router.handle(request, body, recorded);
        co_return true;
      };
      run(handle());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(message, example.status, recorded.response.head.status);
      if (example.status == 200) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message, example.body, recorded.response.body);
      }
      if (example.status == 405) {
        CPPUNIT_ASSERT(recorded.response.head.headers.find("Allow") == "GET, POST");
      }
    }
  }

  void events_are_read_across_pieces() {
    struct Case {
      std::string name;
      std::vector<std::string> pieces;
      bool cut;
      std::vector<std::string> events;
      std::optional<core::ErrorCode> end;
    };
    using core::ErrorCode;
    const std::vector<Case> cases = {
        {"one a piece", {"data: a\n\n", "data: b\n\n"}, false, {"a", "b"}, std::nullopt},
        {"split anywhere", {"da", "ta: a", "\n", "\ndata:b\n\n"}, false, {"a", "b"}, std::nullopt},
        {"many in one piece", {"data: a\n\ndata: b\n\ndata: c\n\n"}, false, {"a", "b", "c"}, {}},
        {"carriage returns", {"data: a\r\n\r\ndata: b\r\n\r\n"}, false, {"a", "b"}, std::nullopt},
        {"several data lines", {"data: a\ndata: b\n\n"}, false, {"a\nb"}, std::nullopt},
        {"other fields", {": comment\n\nevent: x\nid: 1\ndata: a\n\n"}, false, {"a"}, {}},
        {"empty data", {"data:\n\n"}, false, {""}, std::nullopt},
        {"ends within an event", {"data: a\n\ndata: b\n"}, false, {"a"}, ErrorCode::kTruncated},
        {"cut between events", {"data: a\n\n"}, true, {"a"}, ErrorCode::kTruncated},
        {"too long", {"data: " + std::string(200, 'a')}, false, {}, ErrorCode::kTooLarge},
        {"too long, whole",
         {"data: " + std::string(200, 'a') + "\n\n"},
         false,
         {},
         ErrorCode::kTooLarge},
    };
    for (const Case& example : cases) {
      PieceBody body(example.pieces, example.cut);
      ServerSentEventReader reader(body, 100);
      for (const std::string& expected : example.events) {
        const auto event = run(reader.next());
        CPPUNIT_ASSERT_MESSAGE(example.name, event.has_value() && event->has_value());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(example.name, expected, **event);
      }
      const auto end = run(reader.next());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(example.name, !example.end.has_value(), end.has_value());
      if (example.end) {
        CPPUNIT_ASSERT_MESSAGE(example.name, end.error().code == *example.end);
      } else {
        CPPUNIT_ASSERT_MESSAGE(example.name, !end->has_value());
      }
    }
  }

  void formatted_events_read_back() {
    for (const std::string& data : {std::string("{}"), std::string(""), std::string("a\n\nb"),
                                    std::string(" leading space")}) {
      PieceBody body({format_event(data)}, false);
      ServerSentEventReader reader(body);
      CPPUNIT_ASSERT_EQUAL(data, **run(reader.next()));
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RouterTest);

}  // namespace
}  // namespace stoneport::http
