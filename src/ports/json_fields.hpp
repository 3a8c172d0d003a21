/// \file
/// Strict, exception-free reading of JSON answers.
#pragma once

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.hpp"

namespace stoneport::ports {

/// Reads the fields of a JSON object. A field that is missing or has the wrong type yields a
/// default value and sets the document's error, which the caller checks once, after the last field.
class JsonFields {
 public:
  /// \param error receives the first error
  JsonFields(const nlohmann::json& object, std::optional<core::Error>& error);

  std::string text(std::string_view field) const;
  double number(std::string_view field) const;
  bool flag(std::string_view field) const;
  std::uint64_t unsigned64(std::string_view field) const;
  std::uint32_t unsigned32(std::string_view field) const;
  /// \return the value; nullopt if the field is missing or null.
  std::optional<std::uint64_t> optional_unsigned64(std::string_view field) const;
  std::vector<JsonFields> objects(std::string_view field) const;
  bool has(std::string_view field) const;
  /// Sets the document's error because the caller found the field's value to be invalid.
  void reject(std::string_view field, std::string_view reason) const;

 private:
  const nlohmann::json* find(std::string_view field) const;
  const nlohmann::json* object_;
  std::optional<core::Error>* error_;
};

/// One parsed JSON document whose root is an object.
class JsonDocument {
 public:
  /// \return the document; kProtocol if \p text is not a JSON object.
  static core::Result<JsonDocument> parse(std::string_view text);
  JsonFields root() { return JsonFields(value_, error_); }
  /// \return kProtocol if a field that was read was missing or invalid.
  core::Result<void> status() const;

 private:
  nlohmann::json value_;
  std::optional<core::Error> error_;
};

/// \return \p value as JSON text; kInvalidArgument if it contains a string that is not UTF-8.
core::Result<std::string> encode_json(const nlohmann::json& value);

/// Parses \p text and converts its root object with \p decode (JsonFields to a value).
/// \return the value; kProtocol if the text is not a JSON object or a field is missing or invalid.
template <class Decode>
auto decode_json(std::string_view text, Decode decode)
    -> core::Result<decltype(decode(std::declval<JsonFields>()))> {
  auto document = JsonDocument::parse(text);
  if (!document) {
    return document.error();
  }
  auto value = decode(document->root());
  const auto status = document->status();
  if (!status) {
    return status.error();
  }
  return value;
}

}  // namespace stoneport::ports
