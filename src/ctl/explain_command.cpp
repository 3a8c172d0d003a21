/// \file
/// Command `explain`: from the id of a request, job or item to what the daemons
/// decided about it, out of their logs. Needs no daemon.
#include <fstream>
#include <iostream>

#include "ctl/command.hpp"
#include "ctl/decision_timeline.hpp"

namespace stoneport::ctl {
namespace {

ExitCode explain(const CommandContext& context, const std::vector<std::string>& arguments) {
  const std::string& id = arguments.front();
  const bool from_file = arguments.size() > 1 && arguments[1] != "-";
  Timeline timeline;
  if (from_file) {
    std::ifstream file(arguments[1]);
    if (!file) {
      context.err << "cannot read " << arguments[1] << "\n";
      return ExitCode::kUsage;
    }
    timeline = read_timeline(file, id);
  } else {
    timeline = read_timeline(std::cin, id);
  }
  if (timeline.entries.empty()) {
    context.err << "no line of the log names " << id << "\n";
    return ExitCode::kRefused;
  }
  context.print(describe(timeline), to_json(timeline));
  return ExitCode::kOk;
}

}  // namespace

std::vector<Command> explain_commands() {
  Command command;
  command.words = {"explain"};
  command.arguments = "ID [LOG_FILE]";
  command.summary = "show what the daemons' logs tell of a request, job or item";
  command.examples = {"explain 9c41d07be2a35f68 daemons.log",
                      "explain 7c41e09b52d6a3f8 - < daemons.log"};
  command.fewest_arguments = 1;
  command.most_arguments = 2;
  command.add_options = [](cxxopts::Options&) {};
  command.run = [](const CommandContext& context, const cxxopts::ParseResult&,
                   const std::vector<std::string>& arguments) {
    return explain(context, arguments);
  };
  return {command};
}

}  // namespace stoneport::ctl
