/// \file
/// The two halves of one exchange on a server's connection: the request's body
/// and the response. Private to src/http.
#pragma once

#include "http/framing_budget.hpp"
#include "http/server_connection.hpp"

namespace stoneport::http {

class ServerRequestBody : public BodySource {
 public:
  ServerRequestBody(ServerState& state, ServerSocket& io, ClientWatch& watch,
                    RequestParser& parser);
  boost::asio::awaitable<core::Result<std::optional<std::string>>> next() override;

  bool complete() const { return parser_.is_done(); }
  /// \return whether what is left unread is small enough to be read and dropped.
  bool can_be_skipped() const;
  /// A "100 Continue" that is still due is not sent: it would stand within the
  /// response, which has started.
  void drop_continue() { must_send_continue_ = false; }
  /// Reads the rest. \return whether the body's end was reached.
  boost::asio::awaitable<bool> skip();

 private:
  boost::asio::awaitable<core::Result<void>> send_continue();
  core::Error fail(const boost::system::error_code& error);
  /// \return the end of the time for the next bytes.
  core::MonotonicTime next_bytes_due();

  ServerState& state_;
  ServerSocket& io_;
  ClientWatch& watch_;
  RequestParser& parser_;
  PieceSizer sizer_;
  FramingBudget framing_;
  /// End of the time for the whole body; unset until its first read.
  std::optional<core::MonotonicTime> give_up_at_;
  bool must_send_continue_;
  std::optional<core::Error> failure_;
};

class ServerResponseWriter : public ResponseWriter {
 public:
  ServerResponseWriter(ServerState& state, ServerSocket& io, ClientWatch& watch,
                       const RequestParser& parser, ServerRequestBody& body);

  boost::asio::awaitable<core::Result<void>> start(
      ResponseHead head, std::optional<std::uint64_t> content_length) override;
  boost::asio::awaitable<core::Result<void>> write(std::string_view piece) override;
  boost::asio::awaitable<core::Result<void>> finish() override;
  boost::asio::awaitable<core::Result<void>> send(Response message) override;
  bool started() const override { return started_; }
  bool client_gone() const override { return watch_.gone(); }
  void when_client_gone(std::function<void()> callback) override;

  bool finished() const { return finished_; }
  bool keep_alive() const { return keep_alive_; }
  /// \return why the last head given to start() or send() could not be sent, if so.
  const std::optional<core::Error>& head_error() const { return head_error_; }

 private:
  enum class Framing { kNoBody, kSized, kChunked, kUntilClose };

  core::Result<std::string> begin(const ResponseHead& head,
                                  std::optional<std::uint64_t> content_length);
  core::Result<std::string> make_head(const ResponseHead& head,
                                      std::optional<std::uint64_t> content_length);
  core::Result<void> count_bytes(std::size_t size);
  template <class Buffers>
  boost::asio::awaitable<core::Result<void>> transmit(const Buffers& buffers);

  ServerState& state_;
  ServerSocket& io_;
  ClientWatch& watch_;
  const RequestParser& parser_;
  ServerRequestBody& body_;
  Framing framing_ = Framing::kNoBody;
  std::uint64_t remaining_ = 0;
  bool started_ = false;
  bool finished_ = false;
  bool failed_ = false;
  bool keep_alive_ = false;
  std::optional<core::Error> head_error_;
};

}  // namespace stoneport::http
