/// \file
/// Command `validate`: checks documents alone, and together with those in force.
#include <fmt/format.h>

#include <limits>

#include "ctl/command.hpp"
#include "ctl/document_file.hpp"

namespace stoneport::ctl {
namespace {

std::string describe(const nlohmann::json& documents) {
  std::string text;
  for (const nlohmann::json& document : documents) {
    const nlohmann::json changes = document.value("changes", nlohmann::json::array());
    text += fmt::format("{}: valid, {} changes to what is in force\n",
                        document.value("document", ""), changes.size());
  }
  return text;
}

ExitCode validate(const CommandContext& context, const std::vector<std::string>& paths,
                  bool offline) {
  config::Problems problems;
  std::vector<DocumentFile> files;
  for (const std::string& path : paths) {
    config::Checked<DocumentFile> file = read_document_file(path);
    if (file.has_error()) {
      append(problems, file.error());
    } else {
      files.push_back(std::move(*file));
    }
  }
  if (!problems.empty()) {
    return report_problems(context, problems);
  }
  if (offline) {
    context.print("valid by themselves\n", {{"valid", true}});
    return ExitCode::kOk;
  }
  nlohmann::json documents = nlohmann::json::array();
  for (const DocumentFile& file : files) {
    documents.push_back(write_document(file.document));
  }
  const CallResult<Answer> answer =
      context.client.post("/v1/operator/validate", {{"documents", documents}});
  if (answer.has_error()) {
    return report_failure(context, answer.error(), files);
  }
  context.print(describe(answer->body["documents"]), answer->body);
  return ExitCode::kOk;
}

}  // namespace

std::vector<Command> validate_commands() {
  Command command;
  command.words = {"validate"};
  command.arguments = "FILE...";
  command.summary = "check documents against those in force, without publishing";
  command.examples = {"validate compound-proposals.toml compounds.toml",
                      "validate --offline compounds.toml"};
  command.fewest_arguments = 1;
  command.most_arguments = std::numeric_limits<std::size_t>::max();
  command.add_options = [](cxxopts::Options& options) {
    options.add_options()("offline", "check each document by itself, without a daemon");
  };
  command.run = [](const CommandContext& context, const cxxopts::ParseResult& parsed,
                   const std::vector<std::string>& paths) {
    return validate(context, paths, parsed.count("offline") > 0);
  };
  return {command};
}

}  // namespace stoneport::ctl
