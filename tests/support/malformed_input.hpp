/// \file
/// Documents that no well-behaved party sends, for the tests of every interface
/// that takes bytes from outside.
#pragma once

#include <random>
#include <string>
#include <vector>

namespace stoneport::tests {

/// One malformed document and what is wrong with it.
struct MalformedDocument {
  std::string fault;
  std::string bytes;
};

inline std::string repeated(const std::string& text, std::size_t times) {
  std::string whole;
  whole.reserve(text.size() * times);
  for (std::size_t count = 0; count < times; ++count) {
    whole += text;
  }
  return whole;
}

/// \return \p count documents of random bytes, the same ones in each run.
inline std::vector<MalformedDocument> random_documents(std::size_t count, std::size_t longest) {
  std::mt19937_64 random(20'261'202);
  std::vector<MalformedDocument> documents;
  for (std::size_t index = 0; index < count; ++index) {
    MalformedDocument document{"random bytes " + std::to_string(index), ""};
    const std::size_t length = 1 + random() % longest;
    while (document.bytes.size() < length) {
      document.bytes.push_back(static_cast<char>(random() % 256));
    }
    documents.push_back(std::move(document));
  }
  return documents;
}

/// \return documents that no interface accepts as JSON of the right form.
inline std::vector<MalformedDocument> malformed_documents() {
  constexpr std::size_t kDepth = 20'000;
  const std::string deep = repeated("[", kDepth) + repeated("]", kDepth);
  const std::string deep_object = repeated(R"({"step":)", kDepth) + "1" + repeated("}", kDepth);
  std::vector<MalformedDocument> documents = {
      {"no JSON", "hello"},
      {"cut in an object", R"({"step":)"},
      {"cut in a string", R"({"policy_version":"1)"},
      {"cut in an escape", R"({"held":"\u12)"},
      {"opened only", repeated("[", kDepth)},
      {"deep arrays", deep},
      {"deep objects", deep_object},
      {"deep in a known field", R"({"prompts":)" + deep + R"(,"step":1})"},
      {"an array", "[]"},
      {"a string", R"("step")"},
      {"null", "null"},
      {"a number", "17"},
      {"wrong types", R"({"step":"x","policy_version":[],"version":{},"held":1,"model":2,)"
                      R"("prompt":null,"node":3,"life":"x","document":4,"documents":{},)"
                      R"("revision":"r","configuration":[],"event":{},"code":1,"message":[]})"},
      {"invalid UTF-8 in a value", "{\"model\":\"\xff\xfe\",\"held\":\"\xc3\"}"},
      {"invalid UTF-8 in a key", "{\"\xed\xa0\x80\":1}"},
      {"lone surrogate", R"({"model":"\ud800","prompt":"p"})"},
      {"infinite number", R"({"version":1e999,"step":1e999,"temperature":1e999})"},
      {"number beyond 64 bits", R"({"version":99999999999999999999,"step":184467440737095516160})"},
      {"negative number", R"({"version":-1,"step":-9223372036854775808,"life":-1})"},
      {"NUL bytes", std::string("{\"step\":1\0}", 11) + std::string(16, '\0')},
  };
  for (MalformedDocument& document : random_documents(8, 600)) {
    documents.push_back(std::move(document));
  }
  return documents;
}

/// \return path segments that hold no name.
inline std::vector<std::string> malformed_segments() {
  return {"%ff", "%00", "%c3%28", "a%ffb", "%0a", std::string(300, 'n'), "%ed%a0%80"};
}

}  // namespace stoneport::tests
