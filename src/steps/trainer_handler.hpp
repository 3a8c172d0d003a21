/// \file
/// HTTP handler of the trainer interface: parses requests, calls the StepService and formats the
/// responses. Must run on the steps thread.
#pragma once

#include "http/router.hpp"
#include "steps/step_service.hpp"
#include "steps/trainer_messages.hpp"

namespace stoneport::steps {

class TrainerHandler : public http::RequestHandler {
 public:
  explicit TrainerHandler(StepService& service);

  boost::asio::awaitable<void> handle(const http::RequestHead& request, http::BodySource& body,
                                      http::ResponseWriter& response) override;

 private:
  boost::asio::awaitable<http::Response> publish(http::RoutedRequest request);
  boost::asio::awaitable<http::Response> open(http::RoutedRequest request);
  boost::asio::awaitable<http::Response> poll(http::RoutedRequest request);
  boost::asio::awaitable<http::Response> acknowledge(http::RoutedRequest request);
  boost::asio::awaitable<http::Response> cancel(http::RoutedRequest request);

  StepService& service_;
  http::Router router_;
};

}  // namespace stoneport::steps
