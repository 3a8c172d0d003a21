#include "quarantine/request_fingerprint.hpp"

#include <fmt/format.h>

#include "core/hash.hpp"

namespace stoneport::quarantine {
namespace {

constexpr std::uint64_t kFirstSeed = 1;
constexpr std::uint64_t kSecondSeed = 2;

/// The hash of each part is the seed of the next, so that bytes cannot move between parts.
std::uint64_t chained_hash(const RequestContent& content, std::uint64_t seed) {
  std::uint64_t hash = seed;
  for (const std::string_view part :
       {content.tenant, content.method, content.host, content.target, content.body}) {
    hash = core::hash64(part, hash);
  }
  return hash;
}

}  // namespace

core::RequestFingerprint fingerprint_of(const RequestContent& content) {
  return core::RequestFingerprint(fmt::format("{:016x}{:016x}", chained_hash(content, kFirstSeed),
                                              chained_hash(content, kSecondSeed)));
}

}  // namespace stoneport::quarantine
