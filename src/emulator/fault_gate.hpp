/// \file
/// Stands before a listener's handler and applies the listener's fault switches.
/// Lives on the listener's event loop.
#pragma once

#include "core/token_bucket.hpp"
#include "emulator/listener_faults.hpp"
#include "http/server.hpp"

namespace stoneport::emulator {

class FaultGate : public http::RequestHandler {
 public:
  /// \param inner outlives the gate
  explicit FaultGate(http::RequestHandler& inner) : inner_(inner) {}

  ListenerFaults& faults() { return faults_; }

  boost::asio::awaitable<void> handle(const http::RequestHead& request, http::BodySource& body,
                                      http::ResponseWriter& response) override;

 private:
  enum class Verdict { kPass, kAnswered, kLoseAnswer };
  boost::asio::awaitable<Verdict> judge(const http::RequestHead& request,
                                        http::ResponseWriter& response);
  std::optional<core::Duration> wait_by_rate_limit();
  boost::asio::awaitable<void> refuse(core::ErrorCode code, core::Duration retry_after,
                                      http::ResponseWriter& response);

  http::RequestHandler& inner_;
  ListenerFaults faults_;
  std::optional<core::TokenBucket> bucket_;
  double bucket_rate_ = 0;  ///< that bucket_ was made for
  core::SystemTimeSource clock_;
};

}  // namespace stoneport::emulator
