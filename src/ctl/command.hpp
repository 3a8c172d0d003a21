/// \file
/// What a command of stoneportctl is: one table of commands drives the dispatch,
/// the help texts and the shell completion.
#pragma once

#include <cxxopts.hpp>
#include <functional>
#include <ostream>
#include <string>
#include <vector>

#include "ctl/exit_code.hpp"
#include "ctl/operator_client.hpp"

namespace stoneport::ctl {

enum class OutputFormat { kTable, kJson };

/// What every command gets.
struct CommandContext {
  OperatorClient& client;
  OutputFormat format = OutputFormat::kTable;
  std::ostream& out;
  std::ostream& err;  ///< errors and progress

  /// Prints \p text, or \p json when asked for JSON.
  void print(const std::string& text, const nlohmann::json& json) const;
  /// Prints a failed call.
  /// \return its exit code.
  ExitCode fail(const CallFailure& failure) const;
};

struct Command {
  std::vector<std::string> words;  ///< such as {"template", "publish"}
  std::string arguments;           ///< as it stands in the usage line
  std::string summary;
  std::vector<std::string> examples;
  std::size_t fewest_arguments = 0;
  std::size_t most_arguments = 0;
  std::function<void(cxxopts::Options&)> add_options;
  std::function<ExitCode(const CommandContext&, const cxxopts::ParseResult&,
                         const std::vector<std::string>& arguments)>
      run;
};

std::vector<Command> document_commands();
std::vector<Command> validate_commands();
std::vector<Command> view_commands();
std::vector<Command> drain_commands();
std::vector<Command> explain_commands();
std::vector<Command> load_commands();
/// \param others the commands that are completed
std::vector<Command> completion_commands(const std::vector<Command>& others);

/// \return the words of \p command with spaces between.
std::string name_of(const Command& command);

/// \return the options that \p command takes, common ones included.
cxxopts::Options options_of(const Command& command);

/// Runs the command line \p arguments, the program's name left out.
ExitCode run(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err);

}  // namespace stoneport::ctl
