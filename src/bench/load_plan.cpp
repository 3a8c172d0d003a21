#include "bench/load_plan.hpp"

#include <nlohmann/json.hpp>

namespace stoneport::bench {

namespace {
constexpr std::uint64_t kMeterCount = 5'000;
constexpr std::uint64_t kLargestTopUp = 500;
}  // namespace

LoadPlan::LoadPlan(LoadMix mix, std::string prefix, std::uint64_t seed)
    : mix_(mix), prefix_(std::move(prefix)), random_(seed) {}

LoadRequest LoadPlan::next() {
  ++drawn_;
  const double draw = random_.fraction();
  LoadRequest request;
  if (draw < mix_.top_up_share) {
    request = make_top_up();
  } else if (draw < mix_.top_up_share + mix_.echo_share) {
    request = make_echo();
  } else {
    request = make_lookup();
  }
  request.request_id = prefix_ + "-" + std::to_string(drawn_);
  if (request.kind == LoadKind::kTopUp) {
    request.idempotency_key = "key-" + request.request_id;
  }
  return request;
}

LoadRequest LoadPlan::make_lookup() {
  LoadRequest request;
  request.kind = LoadKind::kLookup;
  request.item = std::to_string(random_.uniform(0, mix_.item_count - 1));
  request.item_bytes = random_.uniform(1, mix_.item_bytes_max);
  request.path = "/items/" + request.item + "?size=" + std::to_string(request.item_bytes);
  return request;
}

LoadRequest LoadPlan::make_top_up() {
  LoadRequest request;
  request.kind = LoadKind::kTopUp;
  request.path = "/topups";
  const nlohmann::json body = {
      {"meter", "meter-" + std::to_string(random_.uniform(0, kMeterCount - 1))},
      {"account", "account-" + std::to_string(random_.uniform(0, kMeterCount - 1))},
      {"amount", random_.uniform(1, kLargestTopUp)}};
  request.body = body.dump();
  return request;
}

LoadRequest LoadPlan::make_echo() {
  LoadRequest request;
  request.kind = LoadKind::kEcho;
  request.path = "/echo";
  const std::uint64_t size = random_.uniform(1, mix_.echo_bytes_max);
  const auto first = static_cast<char>('a' + random_.uniform(0, 25));
  request.body.reserve(size);
  for (std::uint64_t index = 0; index < size; ++index) {
    request.body.push_back(static_cast<char>('a' + (first - 'a' + index % 23) % 26));
  }
  return request;
}

}  // namespace stoneport::bench
