/// \file
/// Bytes that are no valid HTTP answer, for tests of what reads answers. Their sender closes the
/// connection after them.
#pragma once

#include <string>
#include <vector>

namespace stoneport::tests {

struct BrokenAnswer {
  std::string name;
  std::string bytes;
};

/// \return answers whose status lies outside 100 to 599. \param fields of their heads
inline std::vector<BrokenAnswer> answers_with_invalid_status(const std::string& fields) {
  std::vector<BrokenAnswer> answers;
  for (const std::string status : {"000", "001", "099", "600", "999"}) {
    answers.push_back({"status " + status, "HTTP/1.1 " + status + " OK\r\n" + fields +
                                               "Content-Length: 4\r\n\r\nbody"});
  }
  return answers;
}

/// \return answers of which one line of the head is invalid. \param fields the valid ones
inline std::vector<BrokenAnswer> answers_with_invalid_fields(const std::string& fields) {
  using std::string_literals::operator""s;
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string end = "Content-Length: 4\r\n\r\nbody";
  std::vector<BrokenAnswer> answers;
  const std::vector<std::pair<std::string, std::string>> lines = {
      {"a blank in a name", "X Name: x"},
      {"a blank at the end of a name", "X-Name : x"},
      {"a tab in a name", "X\tName: x"},
      {"a control byte in a name", "X\x01Name: x"},
      {"a control byte at the end of a name", "X-Name\x1f: x"},
      {"a delete byte in a name", "X\x7fName: x"},
      {"a zero byte in a name", "X\0Name: x"s},
      {"no name", ": x"},
      {"no colon", "X-Name"},
      {"a blank before the first name", " X-Name: x"},
      {"a control byte in a value", "X-Name: a\x01z"},
      {"a zero byte in a value", "X-Name: a\0z"s},
  };
  for (const auto& [name, line] : lines) {
    answers.push_back({name, ok + line + "\r\n" + fields + end});
  }
  const std::vector<std::pair<std::string, std::string>> framings = {
      {"a blank at the end of Content-Length", "Content-Length : 4\r\n"},
      {"a control byte in Content-Length", "Content\x01-Length: 4\r\n"},
      {"a blank at the end of Transfer-Encoding", "Transfer-Encoding : chunked\r\n"},
      {"two lengths", "Content-Length: 4\r\nContent-Length: 5\r\n"},
      {"a length with a plus sign", "Content-Length: +4\r\n"},
      {"a negative length", "Content-Length: -4\r\n"},
      {"a length beyond 64 bits", "Content-Length: 18446744073709551616\r\n"},
      {"a length and chunks", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"},
  };
  for (const auto& [name, framing] : framings) {
    answers.push_back({name, ok + fields + framing + "\r\nbody"});
  }
  return answers;
}

/// \return answers that end within their head. \param fields of the head
inline std::vector<BrokenAnswer> answers_cut_in_head(const std::string& fields) {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string length = "Content-Length: 4\r\n";
  return {
      {"cut before the first byte", ""},
      {"cut in the version", "HTT"},
      {"cut in the status", "HTTP/1.1 20"},
      {"cut after the status line", ok},
      {"cut in a name", ok + fields + "Content-Le"},
      {"cut in a value", ok + fields + "Content-Length: 4"},
      {"cut before the blank line", ok + fields + length},
      {"cut in the blank line", ok + fields + length + "\r"},
  };
}

/// \return answers whose head is broken in any way. \param fields of the heads
inline std::vector<BrokenAnswer> answers_with_broken_head(const std::string& fields) {
  std::vector<BrokenAnswer> answers = answers_with_invalid_status(fields);
  for (const auto& others : {answers_with_invalid_fields(fields), answers_cut_in_head(fields)}) {
    answers.insert(answers.end(), others.begin(), others.end());
  }
  return answers;
}

/// \return answers with a whole head that end within their body. \param fields of the heads
inline std::vector<BrokenAnswer> answers_cut_in_body(const std::string& fields) {
  const std::string head = "HTTP/1.1 200 OK\r\n" + fields;
  const std::string sized = head + "Content-Length: 4\r\n\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  return {
      {"cut before a sized body", sized},
      {"cut in a sized body", sized + "bo"},
      {"cut before the first chunk", chunked},
      {"cut in a chunk", chunked + "4\r\nbo"},
      {"cut before the last chunk", chunked + "4\r\nbody\r\n"},
  };
}

}  // namespace stoneport::tests
