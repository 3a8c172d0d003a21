#include "ctl/command.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <boost/algorithm/string/join.hpp>
#include <cstdlib>
#include <set>

#include "config/nearest_name.hpp"
#include "config/value_codec.hpp"

namespace stoneport::ctl {
namespace {

constexpr core::Duration kCallTimeout = std::chrono::seconds(30);
const std::string kDefaultServer = "127.0.0.1:7001";
const char* const kArgumentsOption = "arguments";

const char* const kExitCodes = R"(
Exit codes:
  0  done
  1  refused: conflict, not found, overloaded; surely not accepted
  2  wrong command line
  3  invalid document
  4  the daemon cannot be reached; nothing was sent
  5  unknown outcome: it may or may not have taken effect
  6  accepted, but not in force everywhere within --wait-timeout
)";

std::vector<Command> all_commands() {
  std::vector<Command> commands;
  for (auto group : {document_commands(), validate_commands(), view_commands(), drain_commands(),
                     explain_commands(), load_commands()}) {
    std::move(group.begin(), group.end(), std::back_inserter(commands));
  }
  std::vector<Command> completion = completion_commands(commands);
  std::move(completion.begin(), completion.end(), std::back_inserter(commands));
  return commands;
}

std::string overview(const std::vector<Command>& commands) {
  std::string text =
      "stoneportctl: publishes templates and parameters and shows the state of stoneport\n\n"
      "Usage: stoneportctl [--server IP:PORT] [--output table|json] COMMAND ...\n"
      "       stoneportctl COMMAND --help\n\nCommands:\n";
  for (const Command& command : commands) {
    const std::string usage = name_of(command) + " " + command.arguments;
    text += fmt::format("  {:<36}{}\n", usage, command.summary);
  }
  return text +
         "\nThe server is a daemon's admin listener: --server, else STONEPORT_SERVER, else " +
         kDefaultServer + ".\n" + kExitCodes;
}

/// The command line taken apart: the command's words, and everything else.
struct SplitArguments {
  const Command* command = nullptr;
  std::string words;  ///< what stood in the command's place
  std::vector<std::string> rest;
};

bool is_flag(const std::string& argument) {
  return argument.size() > 1 && argument[0] == '-';
}

/// Common flags may stand before the command; their values are no words of it.
bool takes_value_from_next(const std::string& argument) {
  return argument == "--server" || argument == "--output";
}

const Command* find_command(const std::vector<Command>& commands,
                            const std::vector<std::string>& words) {
  const auto matches = [&words](const Command& command) {
    return command.words.size() <= words.size() &&
           std::equal(command.words.begin(), command.words.end(), words.begin());
  };
  const auto found = std::find_if(commands.begin(), commands.end(), matches);
  return found == commands.end() ? nullptr : &*found;
}

SplitArguments split(const std::vector<Command>& commands,
                     const std::vector<std::string>& arguments) {
  std::size_t first = 0;
  while (first < arguments.size() && is_flag(arguments[first])) {
    first += takes_value_from_next(arguments[first]) ? 2 : 1;
  }
  first = std::min(first, arguments.size());
  const std::vector<std::string> words(arguments.begin() + static_cast<std::ptrdiff_t>(first),
                                       arguments.end());
  SplitArguments result;
  result.command = find_command(commands, words);
  const std::size_t taken = result.command == nullptr ? 0 : result.command->words.size();
  result.rest.assign(arguments.begin(), arguments.begin() + static_cast<std::ptrdiff_t>(first));
  result.rest.insert(result.rest.end(), words.begin() + static_cast<std::ptrdiff_t>(taken),
                     words.end());
  const std::size_t shown = std::min<std::size_t>(words.size(), 2);
  result.words = boost::algorithm::join(
      std::vector<std::string>(words.begin(), words.begin() + static_cast<std::ptrdiff_t>(shown)),
      " ");
  return result;
}

std::string help_of(const Command& command, const cxxopts::Options& options) {
  std::string text = options.help({""}) + "\nExamples:\n";
  for (const std::string& example : command.examples) {
    text += "  stoneportctl " + example + "\n";
  }
  return text + kExitCodes;
}

std::string server_text(const cxxopts::ParseResult& parsed) {
  if (parsed.count("server") > 0) {
    return parsed["server"].as<std::string>();
  }
  const char* from_environment = std::getenv("STONEPORT_SERVER");
  return from_environment == nullptr ? kDefaultServer : from_environment;
}

ExitCode usage_error(std::ostream& err, const std::string& message) {
  err << "stoneportctl: " << message << "\n";
  return ExitCode::kUsage;
}

ExitCode run_parsed(const Command& command, const cxxopts::ParseResult& parsed, std::ostream& out,
                    std::ostream& err) {
  std::vector<std::string> arguments;
  if (parsed.count(kArgumentsOption) > 0) {
    arguments = parsed[kArgumentsOption].as<std::vector<std::string>>();
  }
  if (arguments.size() < command.fewest_arguments || arguments.size() > command.most_arguments) {
    return usage_error(
        err, fmt::format("usage: stoneportctl {} {}", name_of(command), command.arguments));
  }
  const std::string format = parsed["output"].as<std::string>();
  if (format != "table" && format != "json") {
    return usage_error(err, "--output: found " + format + "; allowed: table, json");
  }
  const std::string server = server_text(parsed);
  const std::optional<core::Address> address = config::parse_address(server);
  if (!address) {
    return usage_error(err, "server: found " + server + "; allowed: an IP number and a port");
  }
  OperatorClient client(*address, kCallTimeout);
  const OutputFormat output = format == "json" ? OutputFormat::kJson : OutputFormat::kTable;
  const CommandContext context{client, output, out, err};
  return command.run(context, parsed, arguments);
}

ExitCode run_command(const Command& command, const std::vector<std::string>& arguments,
                     std::ostream& out, std::ostream& err) {
  std::vector<const char*> values = {"stoneportctl"};
  for (const std::string& argument : arguments) {
    values.push_back(argument.c_str());
  }
  cxxopts::Options options = options_of(command);
  try {
    const auto parsed = options.parse(static_cast<int>(values.size()), values.data());
    if (parsed.count("help") > 0) {
      out << help_of(command, options);
      return ExitCode::kOk;
    }
    return run_parsed(command, parsed, out, err);
  } catch (const cxxopts::exceptions::exception& exception) {
    return usage_error(err, exception.what());
  }
}

ExitCode unknown_command(const std::vector<Command>& commands, const std::string& words,
                         std::ostream& err) {
  std::vector<std::string> names;
  std::transform(commands.begin(), commands.end(), std::back_inserter(names), name_of);
  return usage_error(err, fmt::format("unknown command '{}'; the nearest is '{}'", words,
                                      config::nearest_name(words, names)));
}

}  // namespace

std::string name_of(const Command& command) {
  return boost::algorithm::join(command.words, " ");
}

cxxopts::Options options_of(const Command& command) {
  cxxopts::Options options("stoneportctl " + name_of(command), command.summary);
  options.custom_help("[OPTION...]");
  options.positional_help(command.arguments);
  options.add_options()                                                                        //
      ("server", "admin listener of a daemon", cxxopts::value<std::string>(), "IP:PORT")       //
      ("output", "form of the output", cxxopts::value<std::string>()->default_value("table"),  //
       "table|json")                                                                           //
      ("h,help", "print this help and end");
  options.add_options("hidden")(kArgumentsOption, "", cxxopts::value<std::vector<std::string>>());
  if (command.add_options) {
    command.add_options(options);
  }
  options.parse_positional({kArgumentsOption});
  return options;
}

void CommandContext::print(const std::string& text, const nlohmann::json& json) const {
  if (format == OutputFormat::kJson) {
    out << json.dump(2) << "\n";
  } else {
    out << text;
  }
}

ExitCode CommandContext::fail(const CallFailure& failure) const {
  err << "stoneportctl: " << failure.message << "\n";
  if (format == OutputFormat::kJson && !failure.body.is_null()) {
    out << failure.body.dump(2) << "\n";
  }
  return failure.exit_code;
}

ExitCode run(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err) {
  const std::vector<Command> commands = all_commands();
  const SplitArguments split_arguments = split(commands, arguments);
  if (split_arguments.command != nullptr) {
    return run_command(*split_arguments.command, split_arguments.rest, out, err);
  }
  const std::set<std::string> help_words = {"help", "--help", "-h"};
  if (!arguments.empty() && help_words.contains(arguments.front())) {
    out << overview(commands);
    return ExitCode::kOk;
  }
  if (split_arguments.words.empty()) {
    err << overview(commands);
    return ExitCode::kUsage;
  }
  return unknown_command(commands, split_arguments.words, err);
}

}  // namespace stoneport::ctl
