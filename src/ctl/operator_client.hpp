/// \file
/// Calls the operators' interface of one daemon and waits for the answer. Runs
/// its own event loop on the calling thread.
#pragma once

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "core/identifiers.hpp"
#include "core/metrics.hpp"
#include "core/time.hpp"
#include "ctl/exit_code.hpp"
#include "http/client.hpp"

namespace stoneport::ctl {

/// A call that did not succeed, as an exit code and a text for the operator.
struct CallFailure {
  ExitCode exit_code = ExitCode::kRefused;
  std::string message;
  nlohmann::json body;  ///< the daemon's error document; null when there is none
};

[[noreturn]] inline void throw_exception_from_error(const CallFailure& failure,
                                                    const boost::source_location&) {
  throw std::logic_error("value() taken from a failed call: " + failure.message);
}

template <class T>
using CallResult = boost::system::result<T, CallFailure>;

/// The daemon's JSON answer.
struct Answer {
  nlohmann::json body;
};

class OperatorClient {
 public:
  /// \param timeout longest time of one call
  OperatorClient(core::Address server, core::Duration timeout);

  CallResult<Answer> get(const std::string& target);
  CallResult<Answer> post(const std::string& target, const nlohmann::json& body);
  CallResult<Answer> put(const std::string& target, const nlohmann::json& body);

 private:
  CallResult<Answer> call(http::Request request);
  http::ClientResult<http::Response> exchange(http::Request request);

  core::Address server_;
  core::Duration timeout_;
  core::SystemTimeSource time_;
  core::Metrics metrics_;
  boost::asio::io_context context_;
  http::Client client_;
};

/// \return what a response of that status and body comes to.
CallResult<Answer> interpret(unsigned status, const std::string& body);

}  // namespace stoneport::ctl
