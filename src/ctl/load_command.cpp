/// \file
/// Command `load`: who waits, who is refused and why, and where places are free, summed over the
/// processes whose operators' ports are named.
#include "config/value_codec.hpp"
#include "ctl/command.hpp"
#include "ctl/load_summary.hpp"

namespace stoneport::ctl {
namespace {

/// For one process: an operator waits for the table, and one that hangs must not hold it up.
constexpr core::Duration kPageTimeout = std::chrono::seconds(2);
/// More processes than any command line holds.
constexpr std::size_t kMostAddresses = 4096;

/// \return \p failure with the process that it is about; without the error document, as the output
/// holds one document.
CallFailure failure_at(const core::Address& address, CallFailure failure) {
  failure.body = nullptr;
  if (failure.exit_code != ExitCode::kUnreachable) {  // that one names it already
    failure.message = config::format_address(address) + ": " + failure.message;
  }
  return failure;
}

/// Adds the page of the process at \p address.
/// \return kOk, or why there is none, after a line that tells so.
ExitCode add_page(const CommandContext& context, const core::Address& address,
                  LoadSummary& summary) {
  OperatorClient client(address, kPageTimeout);
  const CallResult<Answer> answer = client.get("/load");
  if (!answer) {
    return context.fail(failure_at(address, answer.error()));
  }
  const core::Result<void> added = summary.add(answer->body);
  if (!added) {
    return context.fail(failure_at(address, {ExitCode::kRefused, added.error().message, nullptr}));
  }
  return ExitCode::kOk;
}

ExitCode show_load(const CommandContext& context, const std::vector<std::string>& arguments) {
  std::vector<core::Address> addresses;
  for (const std::string& argument : arguments) {
    const std::optional<core::Address> address = config::parse_address(argument);
    if (!address) {
      context.err << "stoneportctl: found " << argument << "; allowed: an IP number and a port\n";
      return ExitCode::kUsage;
    }
    addresses.push_back(*address);
  }
  LoadSummary summary;
  ExitCode end = ExitCode::kOk;
  for (const core::Address& address : addresses) {
    const ExitCode one = add_page(context, address, summary);
    end = one == ExitCode::kOk ? end : one;
  }
  if (summary.processes() > 0) {
    context.print(summary.table(), summary.to_json());
  }
  return end;
}

}  // namespace

std::vector<Command> load_commands() {
  Command command;
  command.words = {"load"};
  command.arguments = "ADDRESS...";
  command.summary = "show who waits, who is refused and why, and where places are free";
  command.examples = {"load 10.1.0.4:9100 10.1.0.5:9100", "load --json 10.1.0.4:9100"};
  command.fewest_arguments = 1;
  command.most_arguments = kMostAddresses;
  command.add_options = [](cxxopts::Options& options) {
    options.add_options()("json", "the same as --output json");
  };
  command.run = [](const CommandContext& context, const cxxopts::ParseResult& parsed,
                   const std::vector<std::string>& arguments) {
    const bool is_json = parsed.count("json") > 0;
    const OutputFormat format = is_json ? OutputFormat::kJson : context.format;
    return show_load({context.client, format, context.out, context.err}, arguments);
  };
  return {command};
}

}  // namespace stoneport::ctl
