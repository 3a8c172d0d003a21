#include "emulator/platform_services.hpp"

#include "core/hash.hpp"
#include "emulator/http_answers.hpp"
#include "emulator/json_fields.hpp"

namespace stoneport::emulator {
namespace {

namespace asio = boost::asio;
using nlohmann::json;

struct WeightSetBody {
  std::uint64_t size_bytes = 0;
};
template <class Visitor>
void visit_fields(Visitor& visitor, WeightSetBody& body) {
  visitor("size_bytes", body.size_bytes);
}

struct ScoreBody {
  std::string prompt;
  std::string completion;
};
template <class Visitor>
void visit_fields(Visitor& visitor, ScoreBody& body) {
  visitor("prompt", body.prompt);
  visitor("completion", body.completion);
}

json row_json(const std::string& key, const TableRow& row) {
  return {{"key", key},
          {"value", row.value},
          {"revision", row.revision},
          {"written_by", row.written_by}};
}

}  // namespace

TableListener::TableListener(asio::any_io_executor executor, core::Metrics& metrics)
    : FaultyListener(std::move(executor), "table_service", metrics) {
  const std::string rows = "/v1/tables/{table}/rows";
  // First the scan: the pattern of a row also takes an empty key.
  router().add("GET", rows, at_once([this](const auto& r) { return scan(r); }));
  router().add("GET", rows + "/{key...}", at_once([this](const auto& r) { return read(r); }));
  router().add("POST", "/v1/transactions", at_once([this](const auto& r) { return commit(r); }));
}

http::Response TableListener::read(const http::RoutedRequest& request) const {
  const std::string& key = request.parameters.at("key");
  const TableRow* row = model_.find(request.parameters.at("table"), key);
  return row == nullptr ? not_found_answer("row") : json_answer(200, row_json(key, *row));
}

http::Response TableListener::scan(const http::RoutedRequest& request) const {
  const std::string prefix = http::query_parameter(request.head.target, "prefix").value_or("");
  const std::uint64_t after = number_or(http::query_parameter(request.head.target, "after"), 0);
  const TableModel::Rows& rows = model_.rows(request.parameters.at("table"));
  json matching = json::array();
  for (auto next = rows.lower_bound(prefix); next != rows.end(); ++next) {
    if (!next->first.starts_with(prefix)) {
      break;
    }
    if (next->second.revision > after) {
      matching.push_back(row_json(next->first, next->second));
    }
  }
  return json_answer(200, {{"rows", std::move(matching)}});
}

http::Response TableListener::commit(const http::RoutedRequest& request) {
  const auto transaction = parse_json<TableTransaction>(request.body);
  if (!transaction) {
    return error_answer(transaction.error());
  }
  if (transaction->write_id.empty()) {
    return error_answer(invalid_argument("write_id is missing"));
  }
  const auto revision = model_.commit(*transaction);
  return revision ? json_answer(200, {{"revision", *revision}}) : error_answer(revision.error());
}

ObjectListener::ObjectListener(asio::any_io_executor executor, core::Metrics& metrics)
    : FaultyListener(std::move(executor), "object_store", metrics) {
  const std::string object = "/v1/objects/{name...}";
  router().add("PUT", object, at_once([this](const http::RoutedRequest& request) {
                 objects_[request.parameters.at("name")] = request.body;
                 return empty_answer();
               }));
  router().add("GET", object, at_once([this](const http::RoutedRequest& request) {
                 return get(request.parameters.at("name"));
               }));
}

http::Response ObjectListener::get(const std::string& name) const {
  const auto found = objects_.find(name);
  if (found == objects_.end()) {
    return not_found_answer("object");
  }
  http::Response response;
  response.head.headers.set("Content-Type", "application/octet-stream");
  response.body = found->second;
  return response;
}

WeightListener::WeightListener(asio::any_io_executor executor, core::Metrics& metrics,
                               WeightSource& source)
    : FaultyListener(std::move(executor), "weight_store", metrics), source_(source) {
  const std::string policy = "/v1/policies/{policy}";
  router().add("GET", policy, at_once([this](const http::RoutedRequest& request) {
                 return status(core::PolicyName(request.parameters.at("policy")));
               }));
  router().add("PUT", policy + "/versions/{version}",
               at_once([this](const auto& request) { return publish(request); }));
}

http::Response WeightListener::status(const core::PolicyName& policy) const {
  json sets = json::array();
  for (const auto& [version, size_bytes] : source_.sets(policy)) {
    sets.push_back({{"version", version.value()}, {"size_bytes", size_bytes}});
  }
  return json_answer(200,
                     {{"sets", std::move(sets)}, {"bytes_per_second", source_.bytes_per_second()}});
}

http::Response WeightListener::publish(const http::RoutedRequest& request) {
  const auto body = parse_json<WeightSetBody>(request.body);
  const std::uint64_t version = number_or(request.parameters.at("version"), 0);
  if (!body) {
    return error_answer(body.error());
  }
  if (version == 0) {
    return error_answer(invalid_argument("version is wrong"));
  }
  source_.publish(core::PolicyName(request.parameters.at("policy")), core::WeightVersion(version),
                  body->size_bytes);
  return empty_answer();
}

ScoringListener::ScoringListener(asio::any_io_executor executor, core::Metrics& metrics)
    : FaultyListener(std::move(executor), "scoring_service", metrics) {
  router().add("POST", "/v1/scorers/{scorer}/score",
               at_once([](const http::RoutedRequest& request) {
                 const auto body = parse_json<ScoreBody>(request.body, UnknownKeys::kIgnore);
                 if (!body) {
                   return error_answer(body.error());
                 }
                 const double score =
                     score_of(request.parameters.at("scorer"), body->prompt, body->completion);
                 return json_answer(200, {{"score", score}});
               }));
}

double score_of(const std::string& scorer, const std::string& prompt,
                const std::string& completion) {
  const std::uint64_t seed = core::hash64(prompt, core::hash64(scorer));
  constexpr int kUnusedBits = 11;  // a double holds 53 bits
  return static_cast<double>(core::hash64(completion, seed) >> kUnusedBits) / 0x1p53;
}

}  // namespace stoneport::emulator
