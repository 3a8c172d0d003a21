#include "ports/json_fields.hpp"

#include "core/json_text.hpp"

namespace stoneport::ports {
namespace {
using nlohmann::json;

core::Error fault(std::string message) {
  return core::make_error(core::ErrorCode::kProtocol, std::move(message));
}
}  // namespace

JsonFields::JsonFields(const json& object, std::optional<core::Error>& error)
    : object_(&object), error_(&error) {}

const json* JsonFields::find(std::string_view field) const {
  const auto found = object_->find(std::string(field));
  return found == object_->end() ? nullptr : &*found;
}

void JsonFields::reject(std::string_view field, std::string_view reason) const {
  if (!error_->has_value()) {
    *error_ = fault("field \"" + std::string(field) + "\": " + std::string(reason));
  }
}

bool JsonFields::has(std::string_view field) const {
  const json* value = find(field);
  return value != nullptr && !value->is_null();
}

std::string JsonFields::text(std::string_view field) const {
  const json* value = find(field);
  if (value == nullptr || !value->is_string()) {
    reject(field, "expected a string");
    return {};
  }
  return value->get_ref<const std::string&>();
}

double JsonFields::number(std::string_view field) const {
  const json* value = find(field);
  if (value == nullptr || !value->is_number()) {
    reject(field, "expected a number");
    return 0;
  }
  return value->get<double>();
}

bool JsonFields::flag(std::string_view field) const {
  const json* value = find(field);
  if (value == nullptr || !value->is_boolean()) {
    reject(field, "expected a boolean");
    return false;
  }
  return value->get<bool>();
}

std::uint64_t JsonFields::unsigned64(std::string_view field) const {
  const json* value = find(field);
  if (value == nullptr || !value->is_number_unsigned()) {
    reject(field, "expected a non-negative integer");
    return 0;
  }
  return value->get<std::uint64_t>();
}

std::uint32_t JsonFields::unsigned32(std::string_view field) const {
  const std::uint64_t value = unsigned64(field);
  if (value > std::numeric_limits<std::uint32_t>::max()) {
    reject(field, "number out of range");
    return 0;
  }
  return static_cast<std::uint32_t>(value);
}

std::optional<std::uint64_t> JsonFields::optional_unsigned64(std::string_view field) const {
  if (!has(field)) {
    return std::nullopt;
  }
  return unsigned64(field);
}

std::vector<JsonFields> JsonFields::objects(std::string_view field) const {
  std::vector<JsonFields> found;
  const json* value = find(field);
  if (value == nullptr || !value->is_array()) {
    reject(field, "expected an array");
    return found;
  }
  found.reserve(value->size());
  for (const json& element : *value) {
    if (!element.is_object()) {
      reject(field, "expected an array of objects");
      return {};
    }
    found.emplace_back(element, *error_);
  }
  return found;
}

core::Result<JsonDocument> JsonDocument::parse(std::string_view text) {
  std::optional<json> value = core::parse_json(text);
  if (!value || !value->is_object()) {
    return fault("expected a JSON object");
  }
  JsonDocument document;
  document.value_ = std::move(*value);
  return document;
}

core::Result<void> JsonDocument::status() const {
  if (error_) {
    return *error_;
  }
  return {};
}

core::Result<std::string> encode_json(const json& value) {
  try {
    return value.dump();
  } catch (const json::exception&) {
    return core::make_error(core::ErrorCode::kInvalidArgument, "string is not valid UTF-8");
  }
}

}  // namespace stoneport::ports
