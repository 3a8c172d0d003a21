/// \file
/// Header fields, targets and the documents of errors.
#include "http/message.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>

#include "http/server.hpp"

namespace stoneport::http {
namespace {

class MessageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MessageTest);
  CPPUNIT_TEST(header_names_compare_without_case);
  CPPUNIT_TEST(hop_by_hop_fields_are_removed);
  CPPUNIT_TEST(targets_are_taken_apart);
  CPPUNIT_TEST(encoding_and_decoding_are_inverse);
  CPPUNIT_TEST(error_documents_carry_retry_after);
  CPPUNIT_TEST_SUITE_END();

 public:
  void header_names_compare_without_case() {
    HeaderMap headers;
    headers.add("A", "1");
    headers.add("a", "2");
    headers.add("B", "3");
    CPPUNIT_ASSERT(headers.find("a") == "1");
    CPPUNIT_ASSERT(!headers.find("C"));
    headers.set("a", "4");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, headers.fields().size());
    CPPUNIT_ASSERT(headers.find("A") == "4");
    headers.erase("b");
    CPPUNIT_ASSERT(!headers.find("B"));
    // A name that lies within the field that is replaced.
    headers.set(headers.fields().front().first, "5");
    CPPUNIT_ASSERT(headers.find("A") == "5");
  }

  void hop_by_hop_fields_are_removed() {
    HeaderMap headers;
    for (const char* name : {"Connection", "Keep-Alive", "TE", "Trailer", "transfer-encoding",
                             "Upgrade", "Proxy-Authorization", "Proxy-Connection"}) {
      headers.add(name, "x");
    }
    headers.add("Connection", "close ,\tX-One");
    headers.add("connection", "x-two");
    headers.add("X-One", "1");
    headers.add("X-Two", "2");
    headers.add("X-Three", "3");
    headers.add("Content-Length", "4");
    remove_hop_by_hop(headers);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, headers.fields().size());
    CPPUNIT_ASSERT(headers.find("X-Three") && headers.find("Content-Length"));
  }

  void targets_are_taken_apart() {
    struct Case {
      std::string target;
      std::string path;
      std::vector<std::string> segments;
      std::optional<std::string> parameter;  ///< the one called "q"
    };
    const std::vector<Case> cases = {
        {"/", "/", {}, std::nullopt},
        {"/a/b", "/a/b", {"a", "b"}, std::nullopt},
        {"/a/b/?q=", "/a/b/", {"a", "b", ""}, ""},
        {"/a%2Fb/%zz%4?q=1&q=2", "/a%2Fb/%zz%4", {"a/b", "%zz%4"}, "1"},
        {"/a+b?p=0&q=x%20y+z", "/a+b", {"a+b"}, "x y z"},
        {"/?%71=encoded", "/", {}, "encoded"},
        {"/?qq=1&q", "/", {}, ""},
        {"", "", {}, std::nullopt},
    };
    for (const Case& example : cases) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(example.target, example.path,
                                   std::string(path_of(example.target)));
      CPPUNIT_ASSERT_MESSAGE(example.target, path_segments(example.target) == example.segments);
      CPPUNIT_ASSERT_MESSAGE(example.target,
                             query_parameter(example.target, "q") == example.parameter);
    }
  }

  void encoding_and_decoding_are_inverse() {
    std::string every_byte;
    for (int byte = 0; byte < 256; ++byte) {
      every_byte.push_back(static_cast<char>(byte));
    }
    const std::string encoded = percent_encode(every_byte);
    CPPUNIT_ASSERT(encoded.find('/') == std::string::npos);
    CPPUNIT_ASSERT(path_segments("/" + encoded) == std::vector<std::string>{every_byte});
    CPPUNIT_ASSERT(query_parameter("/?a=" + encoded, "a") == every_byte);
  }

  void error_documents_carry_retry_after() {
    struct Case {
      std::optional<core::Duration> retry_after;
      nlohmann::json milliseconds;
      std::optional<std::string> header;
    };
    const std::vector<Case> cases = {
        {std::nullopt, nullptr, std::nullopt},
        {std::chrono::milliseconds(1500), 1500, "2"},
        {std::chrono::microseconds(1), 1, "1"},
        {std::chrono::seconds(3), 3000, "3"},
    };
    for (const Case& example : cases) {
      core::Error error = core::make_error(core::ErrorCode::kOverloaded, "bad byte \xff");
      error.retry_after = example.retry_after;
      const Response response = error_response(503, error);
      const auto document = nlohmann::json::parse(response.body);
      CPPUNIT_ASSERT_EQUAL(std::string("overloaded"), document["code"].get<std::string>());
      CPPUNIT_ASSERT(document["retry_after_ms"] == example.milliseconds);
      const auto header = response.head.headers.find("Retry-After");
      CPPUNIT_ASSERT(header.has_value() == example.header.has_value());
      CPPUNIT_ASSERT(!header || *header == *example.header);
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(MessageTest);

}  // namespace
}  // namespace stoneport::http
