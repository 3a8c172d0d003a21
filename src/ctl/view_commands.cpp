/// \file
/// Commands that show state: status, members, events, weights.
#include "ctl/command.hpp"
#include "ctl/text_table.hpp"

namespace stoneport::ctl {
namespace {

std::string status_text(const nlohmann::json& body) {
  std::vector<std::vector<std::string>> rows;
  for (const auto& [key, value] : body.items()) {
    rows.push_back({key, cell_text(value)});
  }
  return format_table({"WHAT", "VALUE"}, rows);
}

std::string members_text(const nlohmann::json& body) {
  return format_objects(body["members"], {"node", "state", "zone", "region", "incarnation",
                                          "configuration_revision"});
}

std::string events_text(const nlohmann::json& body) {
  nlohmann::json rows = nlohmann::json::array();
  nlohmann::json steps = nlohmann::json::array();
  for (const nlohmann::json& event : body["events"]) {
    nlohmann::json row = event;
    const nlohmann::json own = event.value("steps", nlohmann::json::array());
    row["steps"] = own.size();
    rows.push_back(std::move(row));
    for (nlohmann::json step : own) {
      step["event"] = event.value("event", nlohmann::json());
      steps.push_back(std::move(step));
    }
  }
  std::string text = format_objects(rows, {"event", "tenant", "policy", "steps", "phase",
                                           "scheduled_start", "template", "age_bound"});
  if (!steps.empty()) {
    text += "\n" + format_objects(
                       steps, {"event", "step", "epoch", "samples_expected", "samples_held",
                               "samples_ready", "running_attempts", "oldest_staleness", "since"});
  }
  return text;
}

/// One row a replica; a policy without replicas has one row of its own.
std::string weights_text(const nlohmann::json& body) {
  nlohmann::json rows = nlohmann::json::array();
  for (const nlohmann::json& policy : body["policies"]) {
    nlohmann::json replicas = policy.value("replicas", nlohmann::json::array());
    if (replicas.empty()) {
      replicas.push_back(nlohmann::json::object());
    }
    for (nlohmann::json& replica : replicas) {
      replica["policy"] = policy.value("policy", nlohmann::json());
      replica["newest"] = policy.value("newest", nlohmann::json());
      rows.push_back(std::move(replica));
    }
  }
  return format_objects(rows, {"policy", "newest", "replica", "version", "swapping"});
}

Command view(const std::string& word, const std::string& summary,
             std::string (*format)(const nlohmann::json&)) {
  Command command;
  command.words = {word};
  command.summary = summary;
  command.examples = {word, word + " --output json"};
  command.run = [word, format](const CommandContext& context, const cxxopts::ParseResult&,
                               const std::vector<std::string>&) {
    CallResult<Answer> answer = context.client.get("/v1/operator/" + word);
    if (answer.has_error()) {
      return context.fail(answer.error());
    }
    if (!answer->body.is_object()) {
      return context.fail({ExitCode::kRefused, "the daemon's answer is no JSON object", nullptr});
    }
    context.print(format(answer->body), answer->body);
    return ExitCode::kOk;
  };
  return command;
}

}  // namespace

std::vector<Command> view_commands() {
  return {view("status", "show the daemon's own state", status_text),
          view("members", "show every daemon", members_text),
          view("events", "show rollout events and their steps", events_text),
          view("weights", "show policies and the versions on their replicas", weights_text)};
}

}  // namespace stoneport::ctl
