/// \file
/// One table of fields a record type. The table drives parsing, flags, checks,
/// help and printing, so that a field is described once.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "config/problem.hpp"
#include "config/source_document.hpp"
#include "config/value_codec.hpp"

namespace stoneport::config {

enum class Presence { kRequired, kOptional };

/// What is known of a field without its record's type.
struct FieldDescription {
  std::string key;
  std::string help;
  std::string allowed;
  std::string placeholder;
  TextForm form = TextForm::kString;
  Presence presence = Presence::kOptional;
};

/// \return a problem for each entry of \p source whose key is not among
/// \p fields, with the nearest known name, and for each missing required field.
Problems check_keys(const SourceDocument& source, const std::vector<FieldDescription>& fields);
/// \return the problem of an entry whose value \p field does not allow.
Problem value_problem(const SourceEntry& entry, const FieldDescription& field);
/// \return \p value as it is quoted in a problem: as JSON, a long one shortened.
std::string quote(const nlohmann::json& value);
/// \return a problem at the place of \p key in \p source.
Problem problem_at(const SourceDocument& source, const std::string& key, std::string found,
                   std::string allowed);
/// \return \p value as TOML, which takes JSON's scalars and lists as they are.
std::string toml_line(const std::string& key, const nlohmann::json& value);

template <class Record>
class Schema {
 public:
  /// Adds a field. \p access takes the record, const or not, and returns a
  /// reference to the member.
  template <class Access, class T>
  Schema& add(std::string key, std::string help, Access access, ValueCodec<T> codec,
              Presence presence = Presence::kOptional) {
    descriptions_.push_back(
        {std::move(key), std::move(help), codec.allowed, codec.placeholder, codec.form, presence});
    readers_.push_back([access, read = codec.read](Record& record, const nlohmann::json& json) {
      auto value = read(json);
      if (!value) {
        return false;
      }
      access(record) = std::move(*value);
      return true;
    });
    writers_.push_back(
        [access, write = codec.write](const Record& record) { return write(access(record)); });
    return *this;
  }

  const std::vector<FieldDescription>& fields() const { return descriptions_; }

  /// Reads every field that \p source names into \p record.
  /// \return everything that is wrong.
  Problems read(const SourceDocument& source, Record& record) const {
    Problems problems = check_keys(source, descriptions_);
    for (std::size_t index = 0; index < descriptions_.size(); ++index) {
      const SourceEntry* entry = source.find(descriptions_[index].key);
      if (entry != nullptr && !readers_[index](record, entry->value)) {
        problems.push_back(value_problem(*entry, descriptions_[index]));
      }
    }
    return problems;
  }

  /// \return an object of every field that is set; its keys come out sorted.
  nlohmann::json write(const Record& record) const {
    nlohmann::json object = nlohmann::json::object();
    for (std::size_t index = 0; index < descriptions_.size(); ++index) {
      nlohmann::json value = writers_[index](record);
      if (!value.is_null()) {
        object[descriptions_[index].key] = std::move(value);
      }
    }
    return object;
  }

  /// \return \p record as TOML in the order of the table; with \p comments, each
  /// field's help and what it allows stand above it.
  std::string write_toml(const Record& record, bool comments) const {
    std::string text;
    for (std::size_t index = 0; index < descriptions_.size(); ++index) {
      const FieldDescription& field = descriptions_[index];
      const nlohmann::json value = writers_[index](record);
      if (comments) {
        text += "# " + field.help + "; " + field.allowed + "\n";
      }
      text += value.is_null() ? "# " + field.key + " is not set\n" : toml_line(field.key, value);
    }
    return text;
  }

 private:
  std::vector<FieldDescription> descriptions_;
  std::vector<std::function<bool(Record&, const nlohmann::json&)>> readers_;
  std::vector<std::function<nlohmann::json(const Record&)>> writers_;
};

}  // namespace stoneport::config
