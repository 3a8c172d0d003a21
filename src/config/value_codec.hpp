/// \file
/// Codecs between JSON values and the typed values of settings and documents.
/// Each states what it allows in words, for help texts and problems.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "core/identifiers.hpp"
#include "core/time.hpp"

namespace stoneport::config {

/// How a value is written as the text of a flag.
enum class TextForm {
  kString,   ///< as it is
  kLiteral,  ///< a number, true or false
  kList,     ///< items separated by commas
};

/// Reads and writes one kind of value.
template <class T>
struct ValueCodec {
  std::string allowed;      ///< in words
  std::string placeholder;  ///< stands for the value in help texts
  TextForm form = TextForm::kString;
  std::function<std::optional<T>(const nlohmann::json&)> read;
  std::function<nlohmann::json(const T&)> write;
};

/// \return the JSON value that \p text stands for as a flag of that form.
nlohmann::json value_from_text(const std::string& text, TextForm form);

/// \return the text of a duration in its largest whole unit, such as "90s".
std::string format_duration(core::Duration value);
/// Reads a whole number with a unit: us, ms, s, m or h.
std::optional<core::Duration> parse_duration(const std::string& text);
/// \return RFC 3339 in UTC, such as "2026-12-02T08:00:00Z"; milliseconds where not zero.
std::string format_wall_time(core::WallTime time);
/// Reads RFC 3339 with "Z" or an offset from UTC.
std::optional<core::WallTime> parse_wall_time(const std::string& text);
/// \return "ip:port", with brackets around an IPv6 number.
std::string format_address(const core::Address& address);
/// Reads an IP number and a port; names are not resolved.
std::optional<core::Address> parse_address(const std::string& text);
/// Reads a revision: a whole number and nothing else.
std::optional<core::Revision> parse_revision(std::string_view text);
/// \return whether \p text is 1 to 63 letters, digits, '.', '_' or '-', the
/// first one a letter or digit.
bool is_valid_name(const std::string& text);

extern const char* const kNameRule;

ValueCodec<std::string> name_text_codec();
ValueCodec<std::string> choice_codec(std::vector<std::string> choices);
ValueCodec<bool> boolean_codec();
ValueCodec<double> real_codec(double lowest, double highest);
ValueCodec<std::int64_t> integer_codec(std::int64_t lowest, std::int64_t highest);
ValueCodec<core::Duration> duration_codec(core::Duration lowest, core::Duration highest);
ValueCodec<core::WallTime> wall_time_codec();

/// Where an address is used, and so what it may be.
enum class AddressUse {
  kListener,           ///< any IP number; port 0 takes a free one
  kAnnouncedListener,  ///< others connect to it: not a wildcard
  kRemote,             ///< we connect to it: neither wildcard nor port 0
};
ValueCodec<core::Address> address_codec(AddressUse use);

/// A codec of \p To made from that of \p From by \p convert and \p revert.
template <class To, class From, class Convert, class Revert>
ValueCodec<To> map_codec(ValueCodec<From> inner, Convert convert, Revert revert) {
  ValueCodec<To> codec;
  codec.allowed = inner.allowed;
  codec.placeholder = inner.placeholder;
  codec.form = inner.form;
  codec.read = [read = inner.read, convert](const nlohmann::json& json) -> std::optional<To> {
    const std::optional<From> value = read(json);
    return value ? std::optional<To>(convert(*value)) : std::nullopt;
  };
  codec.write = [write = inner.write, revert](const To& value) { return write(revert(value)); };
  return codec;
}

/// A name of the type \p Name.
template <class Name>
ValueCodec<Name> name_codec() {
  return map_codec<Name>(
      name_text_codec(), [](const std::string& text) { return Name(text); },
      [](const Name& name) { return name.value(); });
}

/// A whole number of the type \p Integer.
template <class Integer>
ValueCodec<Integer> number_codec(Integer lowest, Integer highest) {
  return map_codec<Integer>(
      integer_codec(lowest, highest),
      [](std::int64_t value) { return static_cast<Integer>(value); },
      [](Integer value) { return std::int64_t{value}; });
}

/// One of the words in \p choices, each standing for a value.
template <class T>
ValueCodec<T> enum_codec(std::vector<std::pair<std::string, T>> choices) {
  std::vector<std::string> words;
  for (const auto& choice : choices) {
    words.push_back(choice.first);
  }
  const auto to_value = [choices](const std::string& word) {
    std::size_t index = 0;
    while (choices[index].first != word) {
      ++index;
    }
    return choices[index].second;
  };
  const auto to_word = [choices](const T& value) {
    std::size_t index = 0;
    while (choices[index].second != value) {
      ++index;
    }
    return choices[index].first;
  };
  return map_codec<T>(choice_codec(std::move(words)), to_value, to_word);
}

/// A value that may be left out; written as null, which means "not there".
template <class T>
ValueCodec<std::optional<T>> optional_codec(ValueCodec<T> inner) {
  ValueCodec<std::optional<T>> codec;
  codec.allowed = inner.allowed;
  codec.placeholder = inner.placeholder;
  codec.form = inner.form;
  codec.read = [read = inner.read](const nlohmann::json& json) {
    const std::optional<T> value = read(json);
    return value ? std::optional<std::optional<T>>(value) : std::nullopt;
  };
  codec.write = [write = inner.write](const std::optional<T>& value) {
    return value ? write(*value) : nlohmann::json(nullptr);
  };
  return codec;
}

/// A name that may be left out; an empty one is written as null.
template <class Name>
ValueCodec<Name> unset_when_empty(ValueCodec<Name> inner) {
  inner.write = [write = inner.write](const Name& name) {
    return name.empty() ? nlohmann::json(nullptr) : write(name);
  };
  return inner;
}

/// A list of values without repeats.
template <class T>
ValueCodec<std::vector<T>> list_codec(ValueCodec<T> inner) {
  ValueCodec<std::vector<T>> codec;
  codec.allowed = "a list without repeats, each item " + inner.allowed;
  codec.placeholder = inner.placeholder + ",...";
  codec.form = TextForm::kList;
  codec.read = [read = inner.read](const nlohmann::json& json) -> std::optional<std::vector<T>> {
    if (!json.is_array()) {
      return std::nullopt;
    }
    std::vector<T> values;
    for (const nlohmann::json& item : json) {
      std::optional<T> value = read(item);
      if (!value || std::find(values.begin(), values.end(), *value) != values.end()) {
        return std::nullopt;
      }
      values.push_back(std::move(*value));
    }
    return values;
  };
  codec.write = [write = inner.write](const std::vector<T>& values) {
    nlohmann::json array = nlohmann::json::array();
    for (const T& value : values) {
      array.push_back(write(value));
    }
    return array;
  };
  return codec;
}

}  // namespace stoneport::config
