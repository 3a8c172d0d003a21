#include "config/load_settings.hpp"

#include <algorithm>
#include <cxxopts.hpp>

#include "config/nearest_name.hpp"
#include "config/settings_schema.hpp"

namespace stoneport::config {
namespace {

const std::string kCommandLine = "command line";
const std::string kAnyFlag = "a flag that --help lists";

std::string flag_of(std::string key) {
  std::replace(key.begin(), key.end(), '_', '-');
  return key;
}

cxxopts::Options make_options() {
  cxxopts::Options options("stoneportd",
                           "The stoneport daemon. Settings come from the file that --config names "
                           "and from flags; a flag wins.");
  options.allow_unrecognised_options();
  options.add_options()                                                           //
      ("config", "settings file (TOML)", cxxopts::value<std::string>(), "FILE")   //
      ("check-config", "check the settings and end")                              //
      ("print-config", "print the settings in force as a settings file and end")  //
      ("h,help", "print this help and end");
  for (const FieldDescription& field : settings_schema().fields()) {
    const std::string help =
        field.help + (field.presence == Presence::kRequired ? " (required)" : "");
    options.add_options("Settings")(flag_of(field.key), help, cxxopts::value<std::string>(),
                                    field.placeholder);
  }
  return options;
}

std::vector<std::string> known_flags() {
  std::vector<std::string> flags = {"--config", "--check-config", "--print-config", "--help"};
  for (const FieldDescription& field : settings_schema().fields()) {
    flags.push_back("--" + flag_of(field.key));
  }
  return flags;
}

Problems unknown_arguments(const cxxopts::ParseResult& parsed) {
  Problems problems;
  for (const std::string& argument : parsed.unmatched()) {
    const std::string name = argument.substr(0, argument.find('='));
    problems.push_back(
        {kCommandLine, 0, name, "an unknown flag",
         "a known flag; the nearest is '" + nearest_name(name, known_flags()) + "'"});
  }
  return problems;
}

SourceDocument source_from_flags(const cxxopts::ParseResult& parsed) {
  SourceDocument source{kCommandLine, {}};
  for (const FieldDescription& field : settings_schema().fields()) {
    const std::string flag = flag_of(field.key);
    if (parsed.count(flag) > 0) {
      const nlohmann::json value = value_from_text(parsed[flag].as<std::string>(), field.form);
      source.entries.push_back({field.key, value, kCommandLine + " --" + flag, 0});
    }
  }
  return source;
}

/// Puts each entry of \p flags into \p file's place.
SourceDocument overlay(SourceDocument file, const SourceDocument& flags) {
  for (const SourceEntry& flag : flags.entries) {
    const auto replaced = [&flag](const SourceEntry& entry) { return entry.key == flag.key; };
    std::erase_if(file.entries, replaced);
    file.entries.push_back(flag);
  }
  return file;
}

std::string component_of(const DaemonSettings& settings) {
  return "stoneportd/" + settings.node.value();
}

ParsedCommandLine show(std::string text, DaemonSettings settings = {}) {
  return ParsedCommandLine{CommandLineAction::kShowText, std::move(settings), std::move(text)};
}

Checked<ParsedCommandLine> parse_options(const cxxopts::Options& options,
                                         const cxxopts::ParseResult& parsed) {
  if (parsed.count("help") > 0) {
    return show(options.help());
  }
  Problems problems = unknown_arguments(parsed);
  SourceDocument source{kCommandLine, {}};
  if (parsed.count("config") > 0) {
    Checked<SourceDocument> file = source_from_toml_file(parsed["config"].as<std::string>());
    if (file.has_error()) {
      append(problems, file.error());
      return problems;
    }
    source = std::move(*file);
  }
  source = overlay(std::move(source), source_from_flags(parsed));

  DaemonSettings settings;
  append(problems, settings_schema().read(source, settings));
  append(problems, check_settings(settings, source));
  if (!problems.empty()) {
    return problems;
  }
  settings.log.component = component_of(settings);
  if (parsed.count("print-config") > 0) {
    return show(print_settings(settings), settings);
  }
  if (parsed.count("check-config") > 0) {
    return show("settings are valid\n", settings);
  }
  return ParsedCommandLine{CommandLineAction::kRun, settings, ""};
}

}  // namespace

Checked<ParsedCommandLine> parse_command_line(int argument_count, const char* const* arguments) {
  cxxopts::Options options = make_options();
  try {
    const cxxopts::ParseResult parsed = options.parse(argument_count, arguments);
    return parse_options(options, parsed);
  } catch (const cxxopts::exceptions::exception& exception) {
    return Problems{{kCommandLine, 0, "", exception.what(), kAnyFlag}};
  }
}

core::Result<ParsedCommandLine> load_settings(int argument_count, const char* const* arguments) {
  Checked<ParsedCommandLine> parsed = parse_command_line(argument_count, arguments);
  if (parsed.has_error()) {
    return to_error(parsed.error());
  }
  return std::move(*parsed);
}

std::string print_settings(const DaemonSettings& settings) {
  return settings_schema().write_toml(settings, true);
}

}  // namespace stoneport::config
