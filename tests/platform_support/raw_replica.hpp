/// \file
/// A replica on raw sockets, for answers that no HTTP server can be made to send. Its calls run on
/// threads of their own, which end with their connections.
#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "core/identifiers.hpp"

namespace stoneport::tests {

class RawReplica {
 public:
  struct Request {
    std::string target;
    /// Header fields by which an answer is the one to this request, of a replica that ran it.
    std::string answer_fields;
  };
  /// Sends one answer; runs on the thread of its connection, which is closed after it.
  using Answer = std::function<void(boost::asio::ip::tcp::socket&, const Request&)>;

  explicit RawReplica(Answer answer);
  ~RawReplica();
  RawReplica(const RawReplica&) = delete;
  RawReplica& operator=(const RawReplica&) = delete;

  core::Address address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }
  std::uint32_t requests() const { return requests_; }
  /// \return the requests whose path was that of a report.
  std::uint32_t report_requests() const { return report_requests_; }
  /// \return its entry in the store, as JSON text; that of a replica of "models" names a model.
  std::string entry(const std::string& service) const;

 private:
  void accept();
  void serve(boost::asio::ip::tcp::socket& socket);

  Answer answer_;
  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::atomic<bool> stopped_ = false;
  std::atomic<std::uint32_t> requests_ = 0;
  std::atomic<std::uint32_t> report_requests_ = 0;
  std::vector<std::thread> calls_;  ///< used by the accepting thread, and after its end
  std::thread accepting_;
};

}  // namespace stoneport::tests
