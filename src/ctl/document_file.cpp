#include "ctl/document_file.hpp"

#include <fmt/format.h>

#include <fstream>

#include "config/value_codec.hpp"
#include "ctl/text_table.hpp"

namespace stoneport::ctl {
namespace {

const std::string kBaseRevisionComment = "# base revision: ";

std::optional<core::Revision> read_base_revision(const std::string& path) {
  std::ifstream file(path);
  std::string line;
  std::getline(file, line);
  if (!line.starts_with(kBaseRevisionComment)) {
    return std::nullopt;
  }
  return config::parse_revision(std::string_view(line).substr(kBaseRevisionComment.size()));
}

/// Names the place in a file where \p problem is about a document read from it.
config::Problem place_in_file(config::Problem problem, const std::vector<DocumentFile>& files) {
  for (const DocumentFile& file : files) {
    if (problem.file == to_string(key_of(file.document))) {
      const config::SourceEntry* entry = file.source.find(problem.key);
      problem.file = file.source.name;
      problem.line = entry == nullptr ? 0 : entry->line;
      break;
    }
  }
  return problem;
}

}  // namespace

config::Checked<DocumentFile> read_document_file(const std::string& path) {
  config::Checked<config::SourceDocument> source = config::source_from_toml_file(path);
  if (source.has_error()) {
    return source.error();
  }
  config::Checked<config::Document> document = config::read_document(*source);
  if (document.has_error()) {
    return document.error();
  }
  return DocumentFile{std::move(*source), std::move(*document), read_base_revision(path)};
}

std::string base_revision_comment(core::Revision revision) {
  return fmt::format("{}{}\n", kBaseRevisionComment, revision.value());
}

ExitCode report_problems(const CommandContext& context, const config::Problems& problems) {
  const nlohmann::json body = {{"code", "invalid_document"},
                               {"message", to_string(problems)},
                               {"problems", to_json_value(problems)}};
  return context.fail({ExitCode::kInvalidDocument, to_string(problems), body});
}

ExitCode report_failure(const CommandContext& context, const CallFailure& failure,
                        const std::vector<DocumentFile>& files) {
  if (failure.body.is_object() && failure.body.contains("conflict")) {
    context.err << format_objects(failure.body["conflict"]["changes"], {"key", "before", "after"});
  }
  if (failure.exit_code != ExitCode::kInvalidDocument || !failure.body.contains("problems")) {
    return context.fail(failure);
  }
  config::Problems problems;
  for (config::Problem& problem : config::problems_from_json(failure.body["problems"])) {
    problems.push_back(place_in_file(std::move(problem), files));
  }
  return report_problems(context, problems);
}

}  // namespace stoneport::ctl
