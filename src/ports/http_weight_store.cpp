#include "ports/http_weight_store.hpp"

#include "core/json_text.hpp"
#include "ports/json_fields.hpp"

namespace stoneport::ports {
namespace {

std::string policy_target(const core::PolicyName& policy) {
  return "/v1/policies/" + http::percent_encode(policy.value());
}

core::Result<WeightStoreStatus> parse_status(const core::PolicyName& policy,
                                             const std::string& body) {
  return decode_json(body, [&policy](const JsonFields& fields) {
    WeightStoreStatus status;
    status.bytes_per_second = fields.unsigned64("bytes_per_second");
    for (const JsonFields& element : fields.objects("sets")) {
      WeightSet set;
      set.policy = policy;
      set.version = core::WeightVersion(element.unsigned64("version"));
      set.size_bytes = element.unsigned64("size_bytes");
      status.sets.push_back(std::move(set));
    }
    return status;
  });
}

}  // namespace

boost::asio::awaitable<core::Result<WeightStoreStatus>> HttpWeightStore::status(
    core::PolicyName policy) {
  std::string target = policy_target(policy);
  auto body = co_await endpoint_.get(std::move(target));
  if (!body) {
    co_return body.error();
  }
  co_return parse_status(policy, *body);
}

boost::asio::awaitable<core::Result<void>> HttpWeightStore::publish(WeightSet set) {
  std::string target =
      policy_target(set.policy) + "/versions/" + std::to_string(set.version.value());
  const nlohmann::json body = {{"size_bytes", set.size_bytes}};
  std::string content_type = "application/json";
  std::string encoded = core::write_json(body);
  auto answer =
      co_await endpoint_.put(std::move(target), std::move(encoded), std::move(content_type));
  if (!answer) {
    co_return answer.error();
  }
  co_return core::Result<void>();
}

}  // namespace stoneport::ports
