/// \file
/// HTTP messages of which one part never ends, for tests of what reads them.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <vector>

namespace stoneport::tests {

/// A message that begins with \a start and goes on with \a repeated until its reader closes.
struct EndlessMessage {
  std::string name;
  std::string start;
  std::string repeated;
};

/// \return the parts of a chunked body without end, after a complete head of \p start_line and
/// \p fields.
inline std::vector<EndlessMessage> endless_chunked_bodies(const std::string& start_line,
                                                          const std::string& fields) {
  const std::string head = start_line + fields + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string many(4096, 'x');
  return {
      {"digits of a chunk's size", head, std::string(4096, '0')},
      {"a chunk's extension", head + "1;", many},
      {"small chunks with extensions", head, "1;" + many + "\r\na\r\n"},
      {"a trailer field", head + "0\r\nT: ", many},
      {"trailer fields", head + "0\r\n", "T: x\r\n"},
      {"chunks", head, "1000\r\n" + many + "\r\n"},
  };
}

/// \return heads without end.
inline std::vector<EndlessMessage> endless_heads(const std::string& start_line) {
  const std::string many(4096, 'x');
  return {
      {"a head without a line's end", "", many},
      {"a start line", start_line.substr(0, start_line.size() - 2), many},
      {"a header field", start_line + "A: ", many},
      {"header fields", start_line, "A: x\r\n"},
  };
}

/// \return answers without end. \param fields of their heads, where these are complete
inline std::vector<EndlessMessage> endless_answers(const std::string& fields) {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  std::vector<EndlessMessage> messages = endless_heads(ok);
  messages.push_back({"interim responses", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"});
  for (EndlessMessage& message : endless_chunked_bodies(ok, fields)) {
    messages.push_back(std::move(message));
  }
  return messages;
}

/// Sends \p message until the other side closes; blocks.
inline void send_endlessly(boost::asio::ip::tcp::socket& socket, const EndlessMessage& message) {
  std::string block;
  while (block.size() < 64 * 1024) {
    block += message.repeated;
  }
  boost::system::error_code error;
  boost::asio::write(socket, boost::asio::buffer(message.start), error);
  while (!error) {
    boost::asio::write(socket, boost::asio::buffer(block), error);
  }
}

}  // namespace stoneport::tests
