#include "config/source_document.hpp"

#include <toml++/toml.h>

#include <algorithm>
#include <fstream>
#include <sstream>

#include "config/schema.hpp"

namespace stoneport::config {
namespace {

nlohmann::json json_from_node(const toml::node& node);

nlohmann::json json_from_table(const toml::table& table) {
  nlohmann::json object = nlohmann::json::object();
  for (const auto& [key, value] : table) {
    object[std::string(key.str())] = json_from_node(value);
  }
  return object;
}

nlohmann::json json_from_array(const toml::array& array) {
  nlohmann::json list = nlohmann::json::array();
  for (const toml::node& item : array) {
    list.push_back(json_from_node(item));
  }
  return list;
}

template <class Value>
nlohmann::json json_from_text_of(const Value& value) {
  std::ostringstream text;
  text << value;
  return text.str();
}

nlohmann::json json_from_node(const toml::node& node) {
  switch (node.type()) {
    case toml::node_type::table:
      return json_from_table(*node.as_table());
    case toml::node_type::array:
      return json_from_array(*node.as_array());
    case toml::node_type::string:
      return node.as_string()->get();
    case toml::node_type::integer:
      return node.as_integer()->get();
    case toml::node_type::floating_point:
      return node.as_floating_point()->get();
    case toml::node_type::boolean:
      return node.as_boolean()->get();
    case toml::node_type::date:
      return json_from_text_of(node.as_date()->get());
    case toml::node_type::time:
      return json_from_text_of(node.as_time()->get());
    case toml::node_type::date_time:
      return json_from_text_of(node.as_date_time()->get());
    default:
      return nullptr;
  }
}

bool earlier(const SourceEntry& left, const SourceEntry& right) {
  return left.line < right.line;
}

}  // namespace

const SourceEntry* SourceDocument::find(std::string_view key) const {
  const auto found = std::find_if(entries.begin(), entries.end(),
                                  [key](const SourceEntry& entry) { return entry.key == key; });
  return found == entries.end() ? nullptr : &*found;
}

Checked<SourceDocument> source_from_toml(std::string_view text, const std::string& file) {
  SourceDocument document{file, {}};
  try {
    const toml::table table = toml::parse(text, file);
    for (const auto& [key, value] : table) {
      const std::uint32_t line = value.source().begin.line;
      document.entries.push_back({std::string(key.str()), json_from_node(value), file, line});
    }
  } catch (const toml::parse_error& error) {
    return Problems{
        {file, error.source().begin.line, "", std::string(error.description()), "a TOML document"}};
  }
  std::stable_sort(document.entries.begin(), document.entries.end(), earlier);
  return document;
}

Checked<SourceDocument> source_from_toml_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    return Problems{{path, 0, "", "a file that cannot be read", "a readable TOML file"}};
  }
  return source_from_toml(text.str(), path);
}

Checked<SourceDocument> source_from_json(const nlohmann::json& object, const std::string& name) {
  if (!object.is_object()) {
    return Problems{{name, 0, "", quote(object), "a JSON object"}};
  }
  SourceDocument document{name, {}};
  for (const auto& [key, value] : object.items()) {
    document.entries.push_back({key, value, name, 0});
  }
  return document;
}

}  // namespace stoneport::config
