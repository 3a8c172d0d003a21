/// \file
/// Reads and writes plain structs as JSON objects. A struct lists its fields
/// once, in a function visit_fields(visitor, value); settings, requests and
/// fault switches all go through it.
#pragma once

#include <concepts>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <type_traits>
#include <vector>

#include "core/error.hpp"
#include "core/identifiers.hpp"
#include "core/json_text.hpp"
#include "core/time.hpp"

namespace stoneport::emulator {

enum class UnknownKeys { kRefuse, kIgnore };

/// A year. Longer durations are refused; they would not fit a clock.
inline constexpr double kLongestDurationMilliseconds = 365.0 * 24 * 3600 * 1000;

/// Visitor that fills a struct from an object. Absent keys leave the field as it
/// is; a wrong type or an unknown key becomes an error, and all are collected.
class JsonFieldReader {
 public:
  JsonFieldReader(const nlohmann::json& object, std::string path, std::vector<std::string>& errors)
      : object_(object), path_(std::move(path)), errors_(errors) {}

  template <class Value>
  void operator()(const char* name, Value& value) {
    known_.insert(name);
    const auto found = object_.find(name);
    if (found != object_.end()) {
      read(*found, path_ + name, value);
    }
  }

  void refuse_unknown() {
    for (const auto& [name, value] : object_.items()) {
      if (!known_.contains(name)) {
        errors_.push_back(path_ + name + ": unknown key");
      }
    }
  }

 private:
  template <class Value>
  void read(const nlohmann::json& json, const std::string& path, Value& value) {
    if constexpr (std::is_same_v<Value, bool>) {
      json.is_boolean() ? void(value = json.get<bool>()) : expected(path, "true or false");
    } else if constexpr (std::is_same_v<Value, std::string>) {
      json.is_string() ? void(value = json.get<std::string>()) : expected(path, "a string");
    } else if constexpr (std::is_floating_point_v<Value>) {
      json.is_number() ? void(value = json.get<double>()) : expected(path, "a number");
    } else if constexpr (std::is_unsigned_v<Value>) {
      read_unsigned(json, path, value);
    } else if constexpr (std::is_integral_v<Value>) {
      json.is_number_integer() ? void(value = json.get<Value>()) : expected(path, "a whole number");
    } else if constexpr (std::is_same_v<Value, core::Duration>) {
      const bool valid = json.is_number() && json.get<double>() >= 0 &&
                         json.get<double>() <= kLongestDurationMilliseconds;
      valid ? void(value = core::from_seconds(json.get<double>() / 1000))
            : expected(path, "milliseconds");
    } else {
      read_composed(json, path, value);
    }
  }

  template <class Value>
  void read_unsigned(const nlohmann::json& json, const std::string& path, Value& value) {
    const bool valid = json.is_number_integer() && json >= 0 &&
                       json.get<std::uint64_t>() <= std::numeric_limits<Value>::max();
    valid ? void(value = json.get<Value>()) : expected(path, "a whole number in range");
  }

  template <class Tag>
  void read_composed(const nlohmann::json& json, const std::string& path, core::Name<Tag>& name) {
    std::string text = name.value();
    read(json, path, text);
    name = core::Name<Tag>(std::move(text));
  }
  template <class Tag>
  void read_composed(const nlohmann::json& json, const std::string& path,
                     core::Counter<Tag>& counter) {
    std::uint64_t number = counter.value();
    read(json, path, number);
    counter = core::Counter<Tag>(number);
  }
  template <class Element>
  void read_composed(const nlohmann::json& json, const std::string& path,
                     std::optional<Element>& optional) {
    optional.reset();
    if (!json.is_null()) {
      read(json, path, optional.emplace());
    }
  }
  template <class Element>
  void read_composed(const nlohmann::json& json, const std::string& path,
                     std::vector<Element>& list) {
    if (!json.is_array()) {
      expected(path, "a list");
      return;
    }
    list.clear();
    for (const nlohmann::json& element : json) {
      read(element, path + "[" + std::to_string(list.size()) + "]", list.emplace_back());
    }
  }
  template <class Struct>
  void read_composed(const nlohmann::json& json, const std::string& path, Struct& value) {
    if (!json.is_object()) {
      expected(path, "an object");
      return;
    }
    JsonFieldReader reader(json, path + ".", errors_);
    visit_fields(reader, value);
    reader.refuse_unknown();
  }

  void expected(const std::string& path, const char* what) {
    errors_.push_back(path + ": expected " + what);
  }

  const nlohmann::json& object_;
  std::string path_;
  std::vector<std::string>& errors_;
  std::set<std::string> known_;
};

/// Visitor that writes a struct into an object.
class JsonFieldWriter {
 public:
  template <class Value>
  void operator()(const char* name, const Value& value) {
    object[name] = to_json(value);
  }
  nlohmann::json object = nlohmann::json::object();

  template <class Value>
  static nlohmann::json to_json(const Value& value) {
    if constexpr (std::is_arithmetic_v<Value> || std::is_same_v<Value, std::string>) {
      return value;
    } else if constexpr (std::is_same_v<Value, core::Duration>) {
      return core::to_seconds(value) * 1000;
    } else {
      return composed(value);
    }
  }

 private:
  template <class Tag>
  static nlohmann::json composed(const core::Name<Tag>& name) {
    return name.value();
  }
  template <class Tag>
  static nlohmann::json composed(const core::Counter<Tag>& counter) {
    return counter.value();
  }
  template <class Element>
  static nlohmann::json composed(const std::optional<Element>& optional) {
    return optional ? to_json(*optional) : nlohmann::json();
  }
  template <class Element>
  static nlohmann::json composed(const std::vector<Element>& list) {
    nlohmann::json array = nlohmann::json::array();
    for (const Element& element : list) {
      array.push_back(to_json(element));
    }
    return array;
  }
  template <class Struct>
  static nlohmann::json composed(const Struct& value) {
    JsonFieldWriter writer;
    Struct copy = value;
    visit_fields(writer, copy);
    return std::move(writer.object);
  }
};

/// \return \p value as a JSON object.
template <class Struct>
nlohmann::json write_json(const Struct& value) {
  return JsonFieldWriter::to_json(value);
}

/// Changes \p value by the fields that \p json names.
/// \return kInvalidArgument with every error in one text; then \p value is as before.
template <class Struct>
core::Result<void> read_json(const nlohmann::json& json, Struct& value,
                             UnknownKeys unknown = UnknownKeys::kRefuse) {
  if (!json.is_object()) {
    return core::make_error(core::ErrorCode::kInvalidArgument, "expected a JSON object");
  }
  std::vector<std::string> errors;
  Struct changed = value;
  JsonFieldReader reader(json, "", errors);
  visit_fields(reader, changed);
  if (unknown == UnknownKeys::kRefuse) {
    reader.refuse_unknown();
  }
  if (errors.empty()) {
    value = std::move(changed);
    return {};
  }
  std::string text;
  for (const std::string& error : errors) {
    text += text.empty() ? error : "; " + error;
  }
  return core::make_error(core::ErrorCode::kInvalidArgument, text);
}

/// As read_json(), from text.
template <class Struct>
core::Result<Struct> parse_json(const std::string& text,
                                UnknownKeys unknown = UnknownKeys::kRefuse) {
  const nlohmann::json json =
      text.empty() ? nlohmann::json::object() : core::parse_json(text).value_or(nlohmann::json());
  Struct value;
  const auto read = read_json(json, value, unknown);
  if (!read) {
    return read.error();
  }
  return value;
}

}  // namespace stoneport::emulator
