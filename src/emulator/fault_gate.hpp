/// \file
/// Stands before a listener's handler and applies the listener's fault switches.
/// Lives on the listener's event loop.
#pragma once

#include "core/metrics.hpp"
#include "emulator/listener_faults.hpp"
#include "emulator/token_bucket.hpp"
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
  boost::asio::awaitable<void> refuse(core::ErrorCode code, core::Duration retry_after,
                                      http::ResponseWriter& response);

  http::RequestHandler& inner_;
  ListenerFaults faults_;
  TokenBucket bucket_;
  core::SystemTimeSource clock_;
};

}  // namespace stoneport::emulator
