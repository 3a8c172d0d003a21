#include "controllers/operator_configuration_routes.hpp"

#include <fmt/format.h>

#include "controllers/operator_configuration_json.hpp"
#include "core/json_text.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::controllers {
namespace {

namespace asio = boost::asio;
using config::DocumentGroup;
using config::DocumentKey;
using config::DocumentRecord;

constexpr unsigned kOk = 200;

using Handler = asio::awaitable<http::Response> (*)(ConfigurationController&, DocumentKey,
                                                    http::RoutedRequest);

http::Response ok(const nlohmann::json& body) {
  return http::json_response(kOk, core::write_json(body));
}

http::Response invalid_argument(std::string message) {
  return failure_response(core::make_error(core::ErrorCode::kInvalidArgument, std::move(message)));
}

http::Response not_found(const DocumentKey& key) {
  return failure_response(
      core::make_error(core::ErrorCode::kNotFound, to_string(key) + " is not published"));
}

asio::awaitable<http::Response> publish(ConfigurationController& controller, DocumentKey key,
                                        http::RoutedRequest request) {
  config::Checked<config::PublishRequest> parsed = parse_publish(request.body, key);
  if (parsed.has_error()) {
    co_return problems_response(parsed.error());
  }
  core::Result<PublishOutcome> outcome = co_await controller.publish(std::move(*parsed));
  co_return outcome_response(outcome);
}

asio::awaitable<http::Response> get_one(ConfigurationController& controller, DocumentKey key,
                                        http::RoutedRequest) {
  const DocumentRecord* record = controller.record().find(key);
  if (record == nullptr) {
    co_return not_found(key);
  }
  co_return ok(describe(key, *record));
}

asio::awaitable<http::Response> list(ConfigurationController& controller, DocumentKey key,
                                     http::RoutedRequest) {
  nlohmann::json documents = nlohmann::json::array();
  for (const auto& [candidate, record] : controller.record().documents) {
    if (candidate.group == key.group) {
      nlohmann::json item = describe(candidate, record);
      item.erase("document");
      documents.push_back(std::move(item));
    }
  }
  co_return ok(
      {{"revision", controller.record().revision.value()}, {"documents", std::move(documents)}});
}

asio::awaitable<http::Response> history(ConfigurationController& controller, DocumentKey key,
                                        http::RoutedRequest) {
  core::Result<std::vector<DocumentRecord>> records = co_await controller.store().history(key);
  if (records.has_error()) {
    co_return failure_response(records.error());
  }
  if (records->empty()) {
    co_return not_found(key);
  }
  nlohmann::json publications = nlohmann::json::array();
  for (const DocumentRecord& record : *records) {
    publications.push_back(describe(key, record));
  }
  co_return ok({{"publications", std::move(publications)}});
}

/// \return the document as published at \p revision, or the one in force if no revision is
/// given; a record without a document if none is in force
asio::awaitable<core::Result<DocumentRecord>> record_at(ConfigurationController& controller,
                                                        DocumentKey key,
                                                        std::optional<core::Revision> revision) {
  if (revision) {
    co_return co_await controller.store().published_at(key, *revision);
  }
  const DocumentRecord* record = controller.record().find(key);
  co_return record == nullptr ? DocumentRecord() : *record;
}

asio::awaitable<http::Response> diff(ConfigurationController& controller, DocumentKey key,
                                     http::RoutedRequest request) {
  const std::optional<core::Revision> from = revision_parameter(request.head.target, "from");
  const std::optional<core::Revision> to = revision_parameter(request.head.target, "to");
  if (!from) {
    co_return invalid_argument("from must name a revision of the document");
  }
  core::Result<DocumentRecord> before = co_await record_at(controller, key, from);
  if (before.has_error()) {
    co_return failure_response(before.error());
  }
  core::Result<DocumentRecord> after = co_await record_at(controller, key, to);
  if (after.has_error()) {
    co_return failure_response(after.error());
  }
  const nlohmann::json changes =
      to_json_value(config::diff_documents(before->document, after->document));
  co_return ok({{"document", to_string(key)}, {"changes", changes}});
}

asio::awaitable<http::Response> rollback(ConfigurationController& controller, DocumentKey key,
                                         http::RoutedRequest request) {
  const config::Checked<RollbackOrder> order = parse_rollback(request.body);
  if (order.has_error()) {
    co_return problems_response(order.error());
  }
  core::Result<DocumentRecord> record =
      co_await controller.store().published_at(key, order->revision);
  if (record.has_error()) {
    co_return failure_response(record.error());
  }
  const auto source = config::source_from_json(record->document, to_string(key));
  config::Checked<config::Document> document = config::read_document(*source);
  if (document.has_error()) {
    co_return problems_response(document.error());
  }
  config::PublishRequest publication{std::move(*document), order->note.base_revision,
                                     order->note.author, order->note.comment};
  core::Result<PublishOutcome> outcome = co_await controller.publish(std::move(publication));
  co_return outcome_response(outcome);
}

/// \return the configuration in force with \p documents replaced or added
config::ConfigurationRecord overlay(config::ConfigurationRecord configuration,
                                    const std::vector<config::Document>& documents) {
  for (const config::Document& document : documents) {
    configuration.documents[key_of(document)].document = write_document(document);
  }
  return configuration;
}

nlohmann::json describe_changes(const config::ConfigurationRecord& in_force,
                                const std::vector<config::Document>& documents) {
  nlohmann::json list = nlohmann::json::array();
  for (const config::Document& document : documents) {
    const DocumentKey key = key_of(document);
    const DocumentRecord* record = in_force.find(key);
    const nlohmann::json before = record == nullptr ? nlohmann::json() : record->document;
    const auto changes = config::diff_documents(before, write_document(document));
    list.push_back({{"document", to_string(key)}, {"changes", to_json_value(changes)}});
  }
  return list;
}

asio::awaitable<http::Response> validate(ConfigurationController& controller, DocumentKey,
                                         http::RoutedRequest request) {
  config::Checked<ValidationInput> input = parse_validation(request.body);
  if (input.has_error()) {
    co_return problems_response(input.error());
  }
  const auto configuration =
      config::build_configuration(overlay(controller.record(), input->documents));
  if (configuration.has_error()) {
    append(input->problems, configuration.error());
  }
  if (!input->problems.empty()) {
    co_return problems_response(input->problems);
  }
  co_return ok(
      {{"valid", true}, {"documents", describe_changes(controller.record(), input->documents)}});
}

asio::awaitable<http::Response> in_force(ConfigurationController& controller, DocumentKey,
                                         http::RoutedRequest request) {
  const std::optional<core::Revision> asked = revision_parameter(request.head.target, "revision");
  const core::Revision revision = asked.value_or(controller.record().revision);
  const InForceCounts counts = controller.count_in_force(revision);
  nlohmann::json missing = nlohmann::json::array();
  for (const core::NodeId& node : counts.missing) {
    missing.push_back(node.value());
  }
  co_return ok({{"revision", revision.value()},
                {"in_force", counts.in_force},
                {"total", counts.total},
                {"missing", std::move(missing)}});
}

/// Adds a route whose handler runs on the control thread.
void add(http::Router& router, ConfigurationController& controller, const char* method,
         const std::string& pattern, DocumentGroup group, Handler handler) {
  router.add(method, pattern, [&controller, group, handler](http::RoutedRequest request) {
    const auto name = request.parameters.find("name");
    DocumentKey key{group, name == request.parameters.end() ? "" : name->second};
    return runtime::run_on(controller.executor(),
                           handler(controller, std::move(key), std::move(request)));
  });
}

}  // namespace

void register_operator_configuration_routes(http::Router& router,
                                            ConfigurationController& controller) {
  for (const DocumentGroup group : {DocumentGroup::kTemplates, DocumentGroup::kParameters}) {
    const std::string base = fmt::format("/v1/operator/{}", to_string(group));
    const std::string one = base + "/{name}";
    add(router, controller, "GET", base, group, list);
    add(router, controller, "GET", one, group, get_one);
    add(router, controller, "PUT", one, group, publish);
    add(router, controller, "GET", one + "/history", group, history);
    add(router, controller, "GET", one + "/diff", group, diff);
    add(router, controller, "POST", one + "/rollback", group, rollback);
  }
  const DocumentGroup unused = DocumentGroup::kTemplates;
  add(router, controller, "POST", "/v1/operator/validate", unused, validate);
  add(router, controller, "GET", "/v1/operator/in-force", unused, in_force);
}

}  // namespace stoneport::controllers
