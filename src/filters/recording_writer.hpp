/// \file
/// Passes a response on and keeps a copy of it while it is short, so that it can
/// be given to a repeat of the request. Goes on recording after the caller left.
#pragma once

#include "filters/claim_registry.hpp"
#include "http/server.hpp"

namespace stoneport::filters {

class RecordingWriter : public http::ResponseWriter {
 public:
  RecordingWriter(http::ResponseWriter& inner, std::size_t limit_bytes)
      : inner_(inner), limit_bytes_(limit_bytes) {}

  boost::asio::awaitable<core::Result<void>> start(
      http::ResponseHead head, std::optional<std::uint64_t> content_length) override;
  boost::asio::awaitable<core::Result<void>> write(std::string_view piece) override;
  boost::asio::awaitable<core::Result<void>> finish() override;
  boost::asio::awaitable<core::Result<void>> send(http::Response message) override;
  bool started() const override { return inner_.started(); }
  bool client_gone() const override { return inner_.client_gone(); }
  void when_client_gone(std::function<void()> callback) override {
    inner_.when_client_gone(std::move(callback));
  }

  /// \return the response, when its end was seen and it was short enough.
  std::optional<RecordedOutcome> take_recorded();

 private:
  void keep_head(const http::ResponseHead& head);

  http::ResponseWriter& inner_;
  std::size_t limit_bytes_;
  RecordedOutcome recorded_;
  bool too_long_ = false;
  bool ended_ = false;
};

}  // namespace stoneport::filters
