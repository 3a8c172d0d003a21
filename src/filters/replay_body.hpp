/// \file
/// A request body that can be sent again as long as it is short: what was read
/// is kept up to a limit. One request's, on its thread.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "http/body.hpp"

namespace stoneport::filters {

class ReplayBody : public http::BodySource {
 public:
  /// \param limit_bytes most bytes kept; beyond, the body cannot be sent again
  ReplayBody(http::BodySource& source, std::size_t limit_bytes)
      : source_(source), limit_bytes_(limit_bytes) {}

  boost::asio::awaitable<core::Result<std::optional<std::string>>> next() override;

  /// \return whether every byte read so far is still kept.
  bool can_rewind() const { return !overflowed_; }
  /// Starts over from the first byte. Only while can_rewind().
  void rewind() { position_ = 0; }
  /// \return why the caller's side of the body failed, if it did.
  const std::optional<core::Error>& source_failure() const { return source_failure_; }

 private:
  void keep(const std::string& piece);

  http::BodySource& source_;
  std::size_t limit_bytes_;
  std::vector<std::string> kept_;
  std::size_t kept_bytes_ = 0;
  std::size_t position_ = 0;
  bool overflowed_ = false;
  std::optional<core::Error> source_failure_;
};

}  // namespace stoneport::filters
