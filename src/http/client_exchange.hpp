/// \file
/// One exchange of the client, from the first byte sent to the last byte read.
/// Private to src/http; lives on the client's thread.
#pragma once

#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/steady_timer.hpp>

#include "http/framing_budget.hpp"
#include "http/request_sender.hpp"

namespace stoneport::http {

/// A request as it goes over the wire.
struct WireRequest {
  std::string head;
  std::optional<std::uint64_t> content_length;
  bool is_head_method = false;
  /// The body never waits, so that nothing needs to run beside its sending.
  bool body_in_memory = false;
};

/// \return kInvalidArgument for a head that cannot be sent.
core::Result<WireRequest> to_wire(const core::Address& address, const RequestHead& head,
                                  std::optional<std::uint64_t> content_length);

class ClientExchange : public BodySource, public std::enable_shared_from_this<ClientExchange> {
 public:
  ClientExchange(std::weak_ptr<ConnectionPool> pool, std::unique_ptr<ClientConnection> connection,
                 WireRequest request, std::shared_ptr<BodySource> body, SendOptions options);

  /// Sends the request until the response's head has been read. The rest of an
  /// unfinished request is sent while the response's body is read.
  boost::asio::awaitable<std::optional<ClientError>> run();
  const ResponseHead& head() const { return head_; }
  /// \return whether any byte came where a response is due.
  bool response_began() const;
  /// \return the bytes of the body that were not read yet; nullopt if its length is not known.
  std::optional<std::uint64_t> body_bytes_left() const;
  void set_deadline(core::MonotonicTime deadline);
  boost::asio::awaitable<core::Result<std::optional<std::string>>> next() override;
  void cancel();
  /// Closes the connection unless the exchange is complete.
  void abandon();

 private:
  boost::asio::awaitable<std::optional<ClientError>> run_beside_sender();
  boost::asio::awaitable<std::optional<ClientError>> read_head();
  boost::asio::awaitable<boost::system::error_code> read_final_head();
  boost::asio::awaitable<core::Result<std::optional<std::string>>> read_beside_sender();
  boost::asio::awaitable<core::Result<std::optional<std::string>>> read_piece();
  void start_sender();
  boost::asio::awaitable<void> run_sender();
  boost::asio::awaitable<void> pause_sender();
  core::Error failure(const boost::system::error_code& error);
  ClientError protocol_failure(std::string message);
  RequestProgress progress() const;
  void complete();

  std::weak_ptr<ConnectionPool> pool_;
  std::unique_ptr<ClientConnection> connection_;
  boost::asio::any_io_executor executor_;
  SendOptions options_;
  bool is_head_method_;
  bool body_in_memory_;
  RequestSender sender_;
  bool sender_running_ = false;
  boost::asio::cancellation_signal stop_sender_;
  boost::asio::steady_timer sender_stopped_;
  std::optional<ResponseParser> parser_;
  PieceSizer sizer_;
  FramingBudget framing_;
  ResponseHead head_;
  std::optional<core::Error> failure_;
  bool cancelled_ = false;
};

}  // namespace stoneport::http
