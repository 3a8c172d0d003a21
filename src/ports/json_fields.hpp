/// \file
/// Strict reading of JSON answers, without exceptions. Plain code; a document
/// belongs to the function that parses it.
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

/// Reads the fields of one JSON object. A missing field or one of another type
/// gives a default value and sets the document's error, which the caller checks
/// once, after the last field.
class JsonFields {
 public:
  /// \param error where the first fault is kept
  JsonFields(const nlohmann::json& object, std::optional<core::Error>& error);

  std::string text(std::string_view field) const;
  double number(std::string_view field) const;
  bool flag(std::string_view field) const;
  std::uint64_t unsigned64(std::string_view field) const;
  std::uint32_t unsigned32(std::string_view field) const;
  /// \return nothing when the field is missing or null.
  std::optional<std::uint64_t> optional_unsigned64(std::string_view field) const;
  std::vector<JsonFields> objects(std::string_view field) const;
  bool has(std::string_view field) const;
  /// Records a fault that the caller found in a field's value.
  void reject(std::string_view field, std::string_view reason) const;

 private:
  const nlohmann::json* find(std::string_view field) const;
  const nlohmann::json* object_;
  std::optional<core::Error>* error_;
};

/// One parsed JSON document whose root is an object.
class JsonDocument {
 public:
  /// \return kProtocol when \p text is no JSON object.
  static core::Result<JsonDocument> parse(std::string_view text);
  JsonFields root() { return JsonFields(value_, error_); }
  /// \return kProtocol when a field was missing or of a wrong type.
  core::Result<void> status() const;

 private:
  nlohmann::json value_;
  std::optional<core::Error> error_;
};

/// \return kInvalidArgument when a string within \p value is not UTF-8.
core::Result<std::string> encode_json(const nlohmann::json& value);

/// Parses \p text and decodes its root with \p decode (JsonFields to a value).
/// \return kProtocol when the text or one of its fields is not as expected.
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
