/// \file
/// Commands `template ...` and `parameters ...`.
#include <fmt/format.h>

#include <cstdlib>
#include <limits>

#include "ctl/command.hpp"
#include "ctl/document_file.hpp"
#include "ctl/text_table.hpp"
#include "ctl/wait_in_force.hpp"
#include "http/message.hpp"

namespace stoneport::ctl {
namespace {

using config::DocumentGroup;
using Arguments = std::vector<std::string>;

const std::vector<std::string> kPublicationColumns = {"revision", "published_at", "author",
                                                      "comment"};

std::string path_of(DocumentGroup group) {
  return fmt::format("/v1/operator/{}", to_string(group));
}

std::string path_of(DocumentGroup group, const std::string& name) {
  return path_of(group) + "/" + http::percent_encode(name);
}

std::string path_of(const config::DocumentKey& key) {
  return path_of(key.group, key.name);
}

std::string default_author() {
  const char* user = std::getenv("USER");
  return user == nullptr ? "unknown" : user;
}

void add_note_options(cxxopts::Options& options) {
  options.add_options()                                                                    //
      ("author", "who publishes (default: $USER)", cxxopts::value<std::string>(), "NAME")  //
      ("comment", "why", cxxopts::value<std::string>()->default_value(""), "TEXT")         //
      ("base-revision",
       "revision of the document that the change starts from; default: the one "
       "that `get` wrote into the file, else the one in force now",
       cxxopts::value<std::uint64_t>(), "N");
  add_wait_options(options);
}

/// \return the document's revision in force; zero when it does not exist.
CallResult<core::Revision> revision_in_force(const CommandContext& context,
                                             const config::DocumentKey& key) {
  CallResult<Answer> answer = context.client.get(path_of(key));
  if (answer.has_value()) {
    return core::Revision(answer->body.value("revision", std::uint64_t{0}));
  }
  const CallFailure failure = answer.error();
  const bool missing = failure.body.is_object() && failure.body.value("code", "") == "not_found";
  if (missing) {
    return core::Revision();
  }
  return failure;
}

CallResult<core::Revision> base_revision(const CommandContext& context,
                                         const cxxopts::ParseResult& parsed,
                                         const config::DocumentKey& key,
                                         std::optional<core::Revision> from_file) {
  if (parsed.count("base-revision") > 0) {
    return core::Revision(parsed["base-revision"].as<std::uint64_t>());
  }
  if (from_file) {
    return *from_file;
  }
  return revision_in_force(context, key);
}

nlohmann::json note_of(const cxxopts::ParseResult& parsed, core::Revision base) {
  const bool named = parsed.count("author") > 0;
  return {{"author", named ? parsed["author"].as<std::string>() : default_author()},
          {"comment", parsed["comment"].as<std::string>()},
          {"base_revision", base.value()}};
}

/// Prints what was accepted and, with --wait, waits for it.
ExitCode finish_publication(const CommandContext& context, const WaitOptions& wait,
                            nlohmann::json accepted) {
  const core::Revision revision(accepted.value("revision", std::uint64_t{0}));
  const bool unchanged = accepted.value("unchanged", false);
  const std::string text =
      fmt::format("{} {} revision {}\n", accepted.value("document", ""),
                  unchanged ? "is unchanged since" : "accepted as", revision.value());
  ExitCode exit_code = ExitCode::kOk;
  if (wait.wait) {
    InForce counts;
    exit_code = wait_until_in_force(context, revision, wait.timeout, counts);
    accepted["in_force"] = counts.in_force;
    accepted["total"] = counts.total;
    accepted["missing"] = counts.missing;
  }
  context.print(text, accepted);
  return exit_code;
}

config::Problems wrong_group(const DocumentFile& file, DocumentGroup group) {
  const config::SourceEntry* kind = file.source.find("kind");
  return {{file.source.name, kind->line, "kind", kind->value.dump(),
           fmt::format("a kind of {}", to_string(group))}};
}

ExitCode publish_file(const CommandContext& context, const cxxopts::ParseResult& parsed,
                      DocumentGroup group, const WaitOptions& wait, const std::string& path) {
  const config::Checked<DocumentFile> file = read_document_file(path);
  if (file.has_error()) {
    return report_problems(context, file.error());
  }
  const config::DocumentKey key = key_of(file->document);
  if (key.group != group) {
    return report_problems(context, wrong_group(*file, group));
  }
  const CallResult<core::Revision> base = base_revision(context, parsed, key, file->base_revision);
  if (base.has_error()) {
    return context.fail(base.error());
  }
  nlohmann::json body = note_of(parsed, *base);
  body["document"] = write_document(file->document);
  const CallResult<Answer> answer = context.client.put(path_of(key), body);
  if (answer.has_error()) {
    return report_failure(context, answer.error(), {*file});
  }
  return finish_publication(context, wait, answer->body);
}

ExitCode bad_wait_timeout(const CommandContext& context) {
  context.err << "stoneportctl: --wait-timeout: allowed: a duration such as 500ms, 30s or 2m\n";
  return ExitCode::kUsage;
}

ExitCode publish(const CommandContext& context, const cxxopts::ParseResult& parsed,
                 DocumentGroup group, const Arguments& paths) {
  const std::optional<WaitOptions> wait = parse_wait_options(parsed);
  if (!wait) {
    return bad_wait_timeout(context);
  }
  for (const std::string& path : paths) {
    const ExitCode exit_code = publish_file(context, parsed, group, *wait, path);
    if (exit_code != ExitCode::kOk) {
      return exit_code;
    }
  }
  return ExitCode::kOk;
}

ExitCode get(const CommandContext& context, DocumentGroup group, const std::string& name) {
  const CallResult<Answer> answer = context.client.get(path_of(group, name));
  if (answer.has_error()) {
    return context.fail(answer.error());
  }
  const auto source =
      config::source_from_json(answer->body.value("document", nlohmann::json::object()), name);
  const auto document = config::read_document(*source, config::UnknownKeys::kIgnore);
  if (document.has_error()) {
    return report_problems(context, document.error());
  }
  const core::Revision revision(answer->body.value("revision", std::uint64_t{0}));
  context.print(base_revision_comment(revision) + document_to_toml(*document), answer->body);
  return ExitCode::kOk;
}

ExitCode list(const CommandContext& context, DocumentGroup group) {
  const CallResult<Answer> answer = context.client.get(path_of(group));
  if (answer.has_error()) {
    return context.fail(answer.error());
  }
  std::vector<std::string> columns = {"name", "kind"};
  columns.insert(columns.end(), kPublicationColumns.begin(), kPublicationColumns.end());
  context.print(format_objects(answer->body["documents"], columns), answer->body);
  return ExitCode::kOk;
}

ExitCode history(const CommandContext& context, DocumentGroup group, const std::string& name) {
  const CallResult<Answer> answer = context.client.get(path_of(group, name) + "/history");
  if (answer.has_error()) {
    return context.fail(answer.error());
  }
  context.print(format_objects(answer->body["publications"], kPublicationColumns), answer->body);
  return ExitCode::kOk;
}

ExitCode diff(const CommandContext& context, const cxxopts::ParseResult& parsed,
              DocumentGroup group, const std::string& name) {
  if (parsed.count("from") == 0) {
    context.err << "stoneportctl: --from is missing; `history` lists the revisions\n";
    return ExitCode::kUsage;
  }
  std::string target =
      fmt::format("{}/diff?from={}", path_of(group, name), parsed["from"].as<std::uint64_t>());
  if (parsed.count("to") > 0) {
    target += fmt::format("&to={}", parsed["to"].as<std::uint64_t>());
  }
  const CallResult<Answer> answer = context.client.get(target);
  if (answer.has_error()) {
    return context.fail(answer.error());
  }
  context.print(format_objects(answer->body["changes"], {"key", "before", "after"}), answer->body);
  return ExitCode::kOk;
}

ExitCode rollback(const CommandContext& context, const cxxopts::ParseResult& parsed,
                  DocumentGroup group, const std::string& name) {
  const std::optional<WaitOptions> wait = parse_wait_options(parsed);
  if (!wait) {
    return bad_wait_timeout(context);
  }
  if (parsed.count("to") == 0) {
    context.err << "stoneportctl: --to is missing; `history` lists the revisions\n";
    return ExitCode::kUsage;
  }
  const CallResult<core::Revision> base =
      base_revision(context, parsed, {group, name}, std::nullopt);
  if (base.has_error()) {
    return context.fail(base.error());
  }
  nlohmann::json body = note_of(parsed, *base);
  body["revision"] = parsed["to"].as<std::uint64_t>();
  const CallResult<Answer> answer = context.client.post(path_of(group, name) + "/rollback", body);
  if (answer.has_error()) {
    return report_failure(context, answer.error(), {});
  }
  return finish_publication(context, *wait, answer->body);
}

void add_diff_options(cxxopts::Options& options) {
  options.add_options()                                                           //
      ("from", "revision to compare from", cxxopts::value<std::uint64_t>(), "N")  //
      ("to", "revision to compare to (default: the one in force)", cxxopts::value<std::uint64_t>(),
       "N");
}

void add_rollback_options(cxxopts::Options& options) {
  options.add_options()("to", "revision to bring back as a new one",
                        cxxopts::value<std::uint64_t>(), "N");
  add_note_options(options);
}

std::vector<Command> commands_of(DocumentGroup group, const std::string& word,
                                 const std::string& file, const std::string& name) {
  constexpr std::size_t kMany = std::numeric_limits<std::size_t>::max();
  const std::string what = word == "template" ? "templates" : "parameters";
  return {
      {{word, "publish"},
       "FILE...",
       "publish " + what + " from TOML files",
       {word + " publish " + file, word + " publish --wait --comment 'why' " + file},
       1,
       kMany,
       add_note_options,
       [group](const CommandContext& context, const cxxopts::ParseResult& parsed,
               const Arguments& paths) { return publish(context, parsed, group, paths); }},
      {{word, "get"},
       "NAME",
       "print one as TOML, ready to edit and publish",
       {word + " get " + name + " > " + name + ".toml"},
       1,
       1,
       {},
       [group](const CommandContext& context, const cxxopts::ParseResult&,
               const Arguments& arguments) { return get(context, group, arguments[0]); }},
      {{word, "list"},
       "",
       "list the " + what + " in force",
       {word + " list --output json"},
       0,
       0,
       {},
       [group](const CommandContext& context, const cxxopts::ParseResult&, const Arguments&) {
         return list(context, group);
       }},
      {{word, "history"},
       "NAME",
       "list every publication of one",
       {word + " history " + name},
       1,
       1,
       {},
       [group](const CommandContext& context, const cxxopts::ParseResult&,
               const Arguments& arguments) { return history(context, group, arguments[0]); }},
      {{word, "diff"},
       "NAME",
       "compare two revisions of one",
       {word + " diff --from 3 " + name, word + " diff --from 3 --to 5 " + name},
       1,
       1,
       add_diff_options,
       [group](const CommandContext& context, const cxxopts::ParseResult& parsed,
               const Arguments& arguments) { return diff(context, parsed, group, arguments[0]); }},
      {{word, "rollback"},
       "NAME",
       "publish an old revision of one as a new one",
       {word + " rollback --to 3 --wait " + name},
       1,
       1,
       add_rollback_options,
       [group](const CommandContext& context, const cxxopts::ParseResult& parsed,
               const Arguments& arguments) {
         return rollback(context, parsed, group, arguments[0]);
       }},
  };
}

}  // namespace

std::vector<Command> document_commands() {
  std::vector<Command> commands = commands_of(DocumentGroup::kTemplates, "template",
                                              "compound-proposals.toml", "compound-proposals");
  for (Command& command :
       commands_of(DocumentGroup::kParameters, "parameters", "compounds.toml", "compounds")) {
    commands.push_back(std::move(command));
  }
  return commands;
}

}  // namespace stoneport::ctl
