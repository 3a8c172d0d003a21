/// \file
/// Command `completion`: a completion script for bash, made from the table of
/// commands.
#include <fmt/format.h>

#include <map>
#include <set>

#include "ctl/command.hpp"

namespace stoneport::ctl {
namespace {

constexpr const char* kScript = R"(_stoneportctl() {{
  local word="${{COMP_WORDS[COMP_CWORD]}}"
  local words=""
  if [ "$COMP_CWORD" -eq 1 ]; then
    words="{}"
  elif [ "$COMP_CWORD" -eq 2 ]; then
    case "${{COMP_WORDS[1]}}" in
{}    esac
  fi
  if [ "${{word:0:1}}" = "-" ]; then
    words="{}"
  fi
  if [ -n "$words" ]; then
    COMPREPLY=($(compgen -W "$words" -- "$word"))
  else
    COMPREPLY=($(compgen -f -- "$word"))
  fi
}}
complete -F _stoneportctl stoneportctl
)";

/// \return every flag that any of \p commands takes, each once.
std::set<std::string> flags_of(const std::vector<Command>& commands) {
  std::set<std::string> flags;
  for (const Command& command : commands) {
    const cxxopts::Options options = options_of(command);
    for (const cxxopts::HelpOptionDetails& option : options.group_help("").options) {
      for (const std::string& name : option.l) {
        flags.insert("--" + name);
      }
    }
  }
  return flags;
}

std::string script_for(const std::vector<Command>& commands) {
  std::set<std::string> first_words = {"completion"};
  std::map<std::string, std::string> second_words;
  for (const Command& command : commands) {
    first_words.insert(command.words[0]);
    if (command.words.size() > 1) {
      second_words[command.words[0]] += command.words[1] + " ";
    }
  }
  std::string cases;
  for (const auto& [first, seconds] : second_words) {
    cases += fmt::format("      {}) words=\"{}\" ;;\n", first, seconds);
  }
  return fmt::format(kScript, fmt::join(first_words, " "), cases,
                     fmt::join(flags_of(commands), " "));
}

}  // namespace

std::vector<Command> completion_commands(const std::vector<Command>& others) {
  Command command;
  command.words = {"completion"};
  command.summary = "print a completion script for bash";
  command.examples = {"completion > /etc/bash_completion.d/stoneportctl"};
  command.run = [script = script_for(others)](const CommandContext& context,
                                              const cxxopts::ParseResult&,
                                              const std::vector<std::string>&) {
    context.out << script;
    return ExitCode::kOk;
  };
  return {command};
}

}  // namespace stoneport::ctl
