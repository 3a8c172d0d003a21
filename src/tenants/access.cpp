#include "tenants/access.hpp"

#include <algorithm>

namespace stoneport::tenants {
namespace {

constexpr std::string_view kScheme = "bearer";

bool is_blank(char character) {
  return character == ' ' || character == '\t';
}

char lower(char character) {
  const bool is_upper = character >= 'A' && character <= 'Z';
  return is_upper ? static_cast<char>(character - 'A' + 'a') : character;
}

bool starts_with_scheme(std::string_view text) {
  return text.size() > kScheme.size() && is_blank(text[kScheme.size()]) &&
         std::equal(kScheme.begin(), kScheme.end(), text.begin(),
                    [](char wanted, char given) { return wanted == lower(given); });
}

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && is_blank(text.front())) {
    text.remove_prefix(1);
  }
  while (!text.empty() && is_blank(text.back())) {
    text.remove_suffix(1);
  }
  return text;
}

Access refusal(AccessOutcome end) {
  Access access;
  access.end = end;
  return access;
}

Access check_key(const TenantTable& tenants, const std::vector<std::string_view>& authorization) {
  if (authorization.empty()) {
    return refusal(AccessOutcome::kNoKey);
  }
  if (authorization.size() > 1) {
    return refusal(AccessOutcome::kManyKeys);
  }
  const std::optional<std::string_view> key = bearer_key(authorization.front());
  if (!key) {
    return refusal(AccessOutcome::kNoKey);
  }
  const Tenant* holder = tenants.find_by_key(*key);
  if (holder == nullptr) {
    return refusal(AccessOutcome::kUnknownKey);
  }
  Access access;
  access.tenant = holder->name;
  return access;
}

}  // namespace

std::string_view to_string(AccessOutcome end) {
  switch (end) {
    case AccessOutcome::kGranted:
      return "granted";
    case AccessOutcome::kNoKey:
      return "no_key";
    case AccessOutcome::kManyKeys:
      return "many_keys";
    case AccessOutcome::kUnknownKey:
      return "unknown_key";
  }
  return "unknown";
}

std::optional<std::string_view> bearer_key(std::string_view authorization) {
  const std::string_view text = trimmed(authorization);
  if (!starts_with_scheme(text)) {
    return std::nullopt;
  }
  const std::string_view key = trimmed(text.substr(kScheme.size()));
  const bool has_blank = std::any_of(key.begin(), key.end(), is_blank);
  return key.empty() || has_blank ? std::nullopt : std::optional(key);
}

Access check_access(const TenantTable& tenants, const std::vector<std::string_view>& authorization,
                    bool is_public) {
  if (!tenants.requires_keys()) {
    return {};
  }
  Access access = check_key(tenants, authorization);
  // A public route serves any request; a valid key still identifies the tenant.
  if (access.end != AccessOutcome::kGranted && is_public) {
    return {};
  }
  return access;
}

}  // namespace stoneport::tenants
