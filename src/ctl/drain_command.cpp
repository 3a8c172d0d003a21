/// \file
/// Command `drain`: marks a member as leaving.
#include "ctl/command.hpp"
#include "http/message.hpp"

namespace stoneport::ctl {

std::vector<Command> drain_commands() {
  Command command;
  command.words = {"drain"};
  command.arguments = "NODE";
  command.summary = "let a daemon finish what runs, take nothing new, and leave";
  command.examples = {"drain node-3"};
  command.fewest_arguments = 1;
  command.most_arguments = 1;
  command.run = [](const CommandContext& context, const cxxopts::ParseResult&,
                   const std::vector<std::string>& arguments) {
    const std::string target =
        "/v1/operator/members/" + http::percent_encode(arguments[0]) + "/drain";
    const CallResult<Answer> answer = context.client.post(target, nlohmann::json::object());
    if (answer.has_error()) {
      return context.fail(answer.error());
    }
    context.print(arguments[0] + " is draining\n", answer->body);
    return ExitCode::kOk;
  };
  return {command};
}

}  // namespace stoneport::ctl
