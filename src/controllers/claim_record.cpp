#include "controllers/claim_record.hpp"

#include <nlohmann/json.hpp>

#include "http/message.hpp"
#include "ports/json_fields.hpp"

namespace stoneport::controllers {
namespace {
using nlohmann::json;
using ports::JsonFields;

json encode_outcome(const StoredOutcome& outcome) {
  json value = {{"status", outcome.status}, {"content_type", outcome.content_type}};
  if (outcome.object.empty()) {
    value["body"] = outcome.body;
  } else {
    value["object"] = outcome.object;
  }
  return value;
}

StoredOutcome decode_outcome(const JsonFields& fields) {
  StoredOutcome outcome;
  outcome.status = fields.unsigned32("status");
  outcome.content_type = fields.text("content_type");
  if (fields.has("object")) {
    outcome.object = fields.text("object");
  } else {
    outcome.body = fields.text("body");
  }
  return outcome;
}

ClaimRecord decode_claim(const JsonFields& fields) {
  ClaimRecord record;
  record.claim = core::WriteId(fields.text("claim"));
  record.fingerprint = fields.unsigned64("fingerprint");
  const auto claimed_at = static_cast<std::int64_t>(fields.unsigned64("claimed_at_ms"));
  record.claimed_at = core::WallTime(std::chrono::milliseconds(claimed_at));
  const std::vector<JsonFields> outcomes = fields.objects("outcome");
  if (!outcomes.empty()) {
    record.outcome = decode_outcome(outcomes.front());
  }
  return record;
}

}  // namespace

core::Result<std::string> encode_claim(const ClaimRecord& record) {
  json outcomes = json::array();
  if (record.outcome) {
    outcomes.push_back(encode_outcome(*record.outcome));
  }
  const auto claimed_at = static_cast<std::uint64_t>(record.claimed_at.time_since_epoch().count());
  return ports::encode_json({{"claim", record.claim.value()},
                             {"fingerprint", record.fingerprint},
                             {"claimed_at_ms", claimed_at},
                             {"outcome", std::move(outcomes)}});
}

core::Result<ClaimRecord> parse_claim(const std::string& text) {
  return ports::decode_json(text, decode_claim);
}

std::string claim_row_key(const filters::ClaimKey& key) {
  return http::percent_encode(key.tenant.value()) + "/" +
         http::percent_encode(key.service.value()) + "/" +
         http::percent_encode(key.idempotency_key);
}

}  // namespace stoneport::controllers
