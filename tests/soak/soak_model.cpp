#include "soak/soak_model.hpp"

namespace stoneport::tests {
namespace {
constexpr unsigned kNotFound = 404;
constexpr unsigned kGone = 410;
constexpr unsigned kUnavailable = 503;
/// All jobs of the soak are this tenant's.
constexpr const char* kJobTenant = "north";
}  // namespace

void SoakModel::take_result(const std::string& id, std::uint64_t position,
                            const nlohmann::json& result) {
  SoakJob& job = jobs[id];
  if (position < job.seen.size()) {
    if (job.seen[position] != result) {
      violate("job " + id + " position " + std::to_string(position) + " has changed");
    }
    return;
  }
  const std::string item = result.value("id", std::string());
  if (!job.listed.insert(item).second) {
    violate("job " + id + " lists item " + item + " twice");
  }
  job.seen.push_back(result);
  if (!item.starts_with(id + "-")) {
    violate("job " + id + " lists item " + item + " of another job");
  }
  if (result.value("state", std::string()) != "completed") {
    return;
  }
  if (result.value("text", std::string()) != StandInReplica::whole_text(item)) {
    violate("item " + item + " is completed and its text is not whole");
  }
  if (result.value("score", std::string()) != StandInReplica::signature("score-" + item)) {
    violate("item " + item + " has another one's score");
  }
}

void SoakModel::take_page(const std::string& id, std::uint64_t from, const nlohmann::json& page) {
  SoakJob& job = jobs[id];
  if (page.value("total", std::size_t{0}) != job.items) {
    violate("job " + id + " has a wrong total");
  }
  const nlohmann::json results = page.value("results", nlohmann::json::array());
  if (from + results.size() < job.seen.size() && results.empty() && from < job.seen.size()) {
    violate("job " + id + " returns nothing at position " + std::to_string(from));
  }
  for (std::size_t index = 0; index < results.size(); ++index) {
    const std::uint64_t position = from + index;
    if (position <= job.seen.size()) {
      take_result(id, position, results[index]);
    }
  }
}

void SoakModel::take_read_status(const std::string& id, unsigned status) {
  if (jobs[id].accepted && (status == kNotFound || status == kGone)) {
    violate("accepted job " + id + " was answered " + std::to_string(status));
  }
}

std::string SoakModel::tenant_of(const std::string& request) const {
  if (request.starts_with("score-")) {
    return "";
  }
  const auto known = tenants_.find(request);
  return known == tenants_.end() ? kJobTenant : known->second;
}

void SoakModel::check_tenant(const ReplicaRun& run) {
  if (run.saw_credentials) {
    violate("request " + run.request_id + " reached a replica with a key");
  }
  if (run.tenant != tenant_of(run.request_id)) {
    violate("request " + run.request_id + " ran as of tenant '" + run.tenant + "'");
  }
}

void SoakModel::check_ledger(const StandInReplica::Ledger& ledger) {
  std::map<std::string, std::size_t> runs;
  for (const ReplicaRun& run : ledger) {
    ++runs[run.request_id];
    check_tenant(run);
    if (once_.contains(run.request_id) && run.body != "body of " + run.request_id) {
      violate("request " + run.request_id + " ran with another body");
    }
  }
  for (const auto& [request, status] : once_) {
    const std::size_t count = runs[request];
    if (count > 1) {
      violate("request " + request + " ran " + std::to_string(count) + " times");
    }
    if (status == kUnavailable && count > 0) {
      violate("request " + request + " was refused and has run");
    }
  }
}

}  // namespace stoneport::tests
