/// \file
/// The requests of a load run as plain data, drawn from a seed. Owned by one
/// load thread.
#pragma once

#include <cstdint>
#include <string>

#include "core/random.hpp"

namespace stoneport::bench {

enum class LoadKind {
  kLookup,  ///< GET /items/{id}?size=, repeatable
  kTopUp,   ///< POST /topups, not repeatable, with an idempotency key
  kEcho,    ///< POST /echo, a body of many bytes that comes back whole
};

struct LoadMix {
  double top_up_share = 0.1;
  double echo_share = 0.05;
  std::uint32_t echo_bytes_max = 64 * 1024;
  std::uint64_t item_count = 10'000;
  std::uint32_t item_bytes_max = 2'048;
};

struct LoadRequest {
  LoadKind kind = LoadKind::kLookup;
  std::string request_id;       ///< unique over the run
  std::string idempotency_key;  ///< top-ups only
  std::string path;             ///< below the service
  std::string body;             ///< empty for lookups
  std::string item;             ///< that a lookup asks for
  std::size_t item_bytes = 0;   ///< of the answer that a lookup asks for
};

/// Draws one request after another.
class LoadPlan {
 public:
  /// \param prefix start of every request id, so that two load runs differ
  LoadPlan(LoadMix mix, std::string prefix, std::uint64_t seed);
  LoadRequest next();

 private:
  LoadRequest make_lookup();
  LoadRequest make_top_up();
  LoadRequest make_echo();

  LoadMix mix_;
  std::string prefix_;
  core::RandomSource random_;
  std::uint64_t drawn_ = 0;
};

}  // namespace stoneport::bench
