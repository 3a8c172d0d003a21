#include "ctl/load_summary.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/algorithm/string/join.hpp>
#include <vector>

#include "ctl/text_table.hpp"

namespace stoneport::ctl {
namespace {

constexpr std::array kCountNames = {"asked", "answered",      "failed",       "abandoned",
                                    "sends", "sends_refused", "second_calls", "second_calls_won"};
/// Replicas that a cell of the table names, so that a line still fits a screen.
constexpr std::size_t kMostNamedInCell = 3;
const std::string kNothing = "-";

/// Reads members that must be there and keeps the first fault.
class PageReader {
 public:
  std::uint64_t whole_number(const nlohmann::json& object, const char* name) {
    const nlohmann::json& value = member(object, name);
    return check(value.is_number_unsigned(), name) ? value.get<std::uint64_t>() : 0;
  }
  double number(const nlohmann::json& object, const char* name) {
    const nlohmann::json& value = member(object, name);
    return check(value.is_number(), name) ? value.get<double>() : 0;
  }
  bool flag(const nlohmann::json& object, const char* name) {
    const nlohmann::json& value = member(object, name);
    return check(value.is_boolean(), name) && value.get<bool>();
  }
  std::string text(const nlohmann::json& object, const char* name) {
    const nlohmann::json& value = member(object, name);
    return check(value.is_string(), name) ? value.get<std::string>() : std::string();
  }
  /// \return the array of that name; an empty one when there is none.
  const nlohmann::json& list(const nlohmann::json& object, const char* name) {
    static const nlohmann::json empty = nlohmann::json::array();
    const nlohmann::json& value = member(object, name);
    return check(value.is_array(), name) ? value : empty;
  }
  /// \return the object of that name; an empty one when there is none.
  const nlohmann::json& object(const nlohmann::json& parent, const char* name) {
    static const nlohmann::json empty = nlohmann::json::object();
    const nlohmann::json& value = member(parent, name);
    return check(value.is_object(), name) ? value : empty;
  }
  core::Result<void> end() const {
    if (fault_.empty()) {
      return {};
    }
    return core::make_error(core::ErrorCode::kProtocol, "no page of load: " + fault_);
  }

 private:
  static const nlohmann::json& member(const nlohmann::json& object, const char* name) {
    static const nlohmann::json nothing;
    const auto found = object.is_object() ? object.find(name) : object.end();
    return found == object.end() ? nothing : *found;
  }
  bool check(bool is_right, const char* name) {
    if (!is_right && fault_.empty()) {
      fault_ = std::string(name) + " is missing or of another type";
    }
    return is_right;
  }

  std::string fault_;
};

RequestCounts read_counts(PageReader& reader, const nlohmann::json& page) {
  RequestCounts counts;
  for (const char* name : kCountNames) {
    counts.by_name[name] = reader.whole_number(page, name);
  }
  const nlohmann::json& refused = reader.object(page, "refused");
  for (const auto& [reason, count] : refused.items()) {
    counts.refused[reason] = reader.whole_number(refused, reason.c_str());
  }
  counts.longest_wait_s = reader.number(page, "longest_wait_s");
  return counts;
}

RequestLoad read_requests(PageReader& reader, const nlohmann::json& page) {
  RequestLoad load;
  load.waiting = reader.whole_number(page, "waiting");
  load.recent = read_counts(reader, reader.object(page, "recent"));
  load.total = read_counts(reader, reader.object(page, "total"));
  return load;
}

ZoneSummary read_zone(PageReader& reader, const nlohmann::json& page) {
  ZoneSummary zone;
  zone.is_open = reader.flag(page, "open");
  zone.replicas = reader.whole_number(page, "replicas");
  zone.places = reader.whole_number(page, "places");
  zone.running = reader.whole_number(page, "running");
  for (const nlohmann::json& replica : reader.list(page, "avoided")) {
    Avoidance& avoidance = zone.avoided[reader.text(replica, "replica")];
    avoidance.suspect_at = reader.flag(replica, "suspect") ? 1 : 0;
    avoidance.ejected_at = reader.flag(replica, "ejected") ? 1 : 0;
    avoidance.longest_left_s = reader.number(replica, "left_s");
  }
  zone.avoided_unnamed = reader.whole_number(page, "avoided_unnamed");
  return zone;
}

std::string text_of(const std::map<std::string, std::uint64_t>& refused) {
  std::vector<std::string> parts;
  for (const auto& [reason, count] : refused) {
    if (count > 0) {
      parts.push_back(fmt::format("{} {}", reason, count));
    }
  }
  return parts.empty() ? kNothing : boost::algorithm::join(parts, ", ");
}

std::string count_text(const RequestCounts& counts, const std::string& name) {
  const auto found = counts.by_name.find(name);
  return std::to_string(found == counts.by_name.end() ? 0 : found->second);
}

std::string avoidance_text(const std::string& replica, const Avoidance& avoidance) {
  std::vector<std::string> parts;
  if (avoidance.ejected_at > 0) {
    parts.push_back(fmt::format("ejected by {}", avoidance.ejected_at));
  }
  if (avoidance.suspect_at > 0) {
    parts.push_back(fmt::format("suspect at {}", avoidance.suspect_at));
  }
  return fmt::format("{} ({})", replica, boost::algorithm::join(parts, ", "));
}

std::string text_of_avoided(const ZoneSummary& zone) {
  std::vector<std::string> parts;
  for (const auto& [replica, avoidance] : zone.avoided) {
    if (parts.size() == kMostNamedInCell) {
      break;
    }
    parts.push_back(avoidance_text(replica, avoidance));
  }
  const std::uint64_t unnamed = zone.avoided.size() - parts.size() + zone.avoided_unnamed;
  if (unnamed > 0) {
    parts.push_back(fmt::format("{} more", unnamed));
  }
  return parts.empty() ? kNothing : boost::algorithm::join(parts, ", ");
}

/// \return waiting, longest wait, asked, answered, failed, refused by reason.
std::vector<std::string> request_cells(const RequestLoad& load) {
  return {std::to_string(load.waiting),      fmt::format("{:.3f} s", load.recent.longest_wait_s),
          count_text(load.recent, "asked"),  count_text(load.recent, "answered"),
          count_text(load.recent, "failed"), text_of(load.recent.refused)};
}

/// \return calls that go out beside the first ones, and how many of them were answered first.
std::string second_call_text(const RequestLoad& load) {
  return fmt::format("{}, won {}", count_text(load.recent, "second_calls"),
                     count_text(load.recent, "second_calls_won"));
}

std::vector<std::string> service_row(const std::string& name, const ServiceSummary& service) {
  std::uint64_t places = 0;
  std::uint64_t running = 0;
  for (const auto& [zone, summary] : service.zones) {
    places += summary.places;
    running += summary.running;
  }
  std::vector<std::string> row = {name, "all", std::to_string(places), std::to_string(running)};
  const std::vector<std::string> requests = request_cells(service.requests);
  row.insert(row.end(), requests.begin(), requests.end());
  row.push_back(second_call_text(service.requests));
  row.push_back(kNothing);
  return row;
}

std::vector<std::string> zone_row(const std::string& service, const std::string& name,
                                  const ZoneSummary& zone) {
  std::vector<std::string> row = {service, name + (zone.is_open ? "" : " (evacuated)"),
                                  std::to_string(zone.places), std::to_string(zone.running)};
  const std::size_t cells_of_requests = request_cells({}).size() + 1;
  row.insert(row.end(), cells_of_requests, kNothing);
  row.push_back(text_of_avoided(zone));
  return row;
}

std::vector<std::string> tenant_row(const std::string& name, const RequestLoad& load) {
  std::vector<std::string> row = {name};
  const std::vector<std::string> requests = request_cells(load);
  row.insert(row.end(), requests.begin(), requests.end());
  return row;
}

bool has_requests(const RequestLoad& load) {
  const auto asked = load.total.by_name.find("asked");
  return asked != load.total.by_name.end() && asked->second > 0;
}

nlohmann::json encode(const RequestCounts& counts) {
  nlohmann::json page = counts.by_name;
  page["refused"] = nlohmann::json(counts.refused);
  page["longest_wait_s"] = counts.longest_wait_s;
  return page;
}

nlohmann::json encode(const RequestLoad& load) {
  return {
      {"waiting", load.waiting}, {"recent", encode(load.recent)}, {"total", encode(load.total)}};
}

nlohmann::json encode(const std::string& name, const ZoneSummary& zone) {
  nlohmann::json avoided = nlohmann::json::array();
  for (const auto& [replica, avoidance] : zone.avoided) {
    avoided.push_back({{"replica", replica},
                       {"suspect_at", avoidance.suspect_at},
                       {"ejected_at", avoidance.ejected_at},
                       {"left_s", avoidance.longest_left_s}});
  }
  return {{"zone", name},
          {"open", zone.is_open},
          {"replicas", zone.replicas},
          {"places", zone.places},
          {"running", zone.running},
          {"avoided", std::move(avoided)},
          {"avoided_unnamed", zone.avoided_unnamed}};
}

}  // namespace

void RequestCounts::add(const RequestCounts& other) {
  for (const auto& [name, count] : other.by_name) {
    by_name[name] += count;
  }
  for (const auto& [reason, count] : other.refused) {
    refused[reason] += count;
  }
  longest_wait_s = std::max(longest_wait_s, other.longest_wait_s);
}

void RequestLoad::add(const RequestLoad& other) {
  waiting += other.waiting;
  recent.add(other.recent);
  total.add(other.total);
}

void ZoneSummary::add(const ZoneSummary& other) {
  is_open = is_open && other.is_open;
  replicas = std::max(replicas, other.replicas);
  places = std::max(places, other.places);
  running += other.running;
  for (const auto& [replica, avoidance] : other.avoided) {
    Avoidance& sum = avoided[replica];
    sum.suspect_at += avoidance.suspect_at;
    sum.ejected_at += avoidance.ejected_at;
    sum.longest_left_s = std::max(sum.longest_left_s, avoidance.longest_left_s);
  }
  avoided_unnamed = std::max(avoided_unnamed, other.avoided_unnamed);
}

core::Result<void> LoadSummary::add(const nlohmann::json& page) {
  PageReader reader;
  LoadSummary read;
  read.processes_ = 1;
  read.recent_s_ = reader.number(page, "recent_s");
  for (const nlohmann::json& service : reader.list(page, "services")) {
    ServiceSummary& summary = read.services_[reader.text(service, "service")];
    summary.requests = read_requests(reader, service);
    for (const nlohmann::json& zone : reader.list(service, "zones")) {
      summary.zones[reader.text(zone, "zone")] = read_zone(reader, zone);
    }
  }
  for (const nlohmann::json& tenant : reader.list(page, "tenants")) {
    read.tenants_[reader.text(tenant, "tenant")] = read_requests(reader, tenant);
  }
  read.other_services_ = read_requests(reader, reader.object(page, "other_services"));
  read.other_tenants_ = read_requests(reader, reader.object(page, "other_tenants"));
  const core::Result<void> end = reader.end();
  if (end) {
    add(read);
  }
  return end;
}

void LoadSummary::add(const LoadSummary& other) {
  processes_ += other.processes_;
  recent_s_ = std::max(recent_s_, other.recent_s_);
  for (const auto& [name, service] : other.services_) {
    ServiceSummary& sum = services_[name];
    sum.requests.add(service.requests);
    for (const auto& [zone, summary] : service.zones) {
      sum.zones[zone].add(summary);
    }
  }
  for (const auto& [name, tenant] : other.tenants_) {
    tenants_[name].add(tenant);
  }
  other_services_.add(other.other_services_);
  other_tenants_.add(other.other_tenants_);
}

std::string LoadSummary::table() const {
  std::vector<std::vector<std::string>> rows;
  for (const auto& [name, service] : services_) {
    rows.push_back(service_row(name, service));
    for (const auto& [zone, summary] : service.zones) {
      rows.push_back(zone_row(name, zone, summary));
    }
  }
  if (has_requests(other_services_)) {
    rows.push_back(service_row("(others)", {other_services_, {}}));
  }
  std::vector<std::vector<std::string>> tenants;
  for (const auto& [name, tenant] : tenants_) {
    tenants.push_back(tenant_row(name.empty() ? "(none)" : name, tenant));
  }
  if (has_requests(other_tenants_)) {
    tenants.push_back(tenant_row("(others)", other_tenants_));
  }
  return fmt::format("{} processes, requests of the last {:.0f} s\n\n", processes_, recent_s_) +
         format_table({"SERVICE", "ZONE", "PLACES", "RUNNING", "WAITING", "LONGEST WAIT", "ASKED",
                       "ANSWERED", "FAILED", "REFUSED", "SECOND CALLS", "AVOIDED"},
                      rows) +
         "\n" +
         format_table(
             {"TENANT", "WAITING", "LONGEST WAIT", "ASKED", "ANSWERED", "FAILED", "REFUSED"},
             tenants);
}

nlohmann::json LoadSummary::to_json() const {
  nlohmann::json services = nlohmann::json::array();
  for (const auto& [name, service] : services_) {
    nlohmann::json page = encode(service.requests);
    page["service"] = name;
    page["zones"] = nlohmann::json::array();
    for (const auto& [zone, summary] : service.zones) {
      page["zones"].push_back(encode(zone, summary));
    }
    services.push_back(std::move(page));
  }
  nlohmann::json tenants = nlohmann::json::array();
  for (const auto& [name, tenant] : tenants_) {
    nlohmann::json page = encode(tenant);
    page["tenant"] = name;
    tenants.push_back(std::move(page));
  }
  return {{"processes", processes_},         {"recent_s", recent_s_},
          {"services", std::move(services)}, {"other_services", encode(other_services_)},
          {"tenants", std::move(tenants)},   {"other_tenants", encode(other_tenants_)}};
}

}  // namespace stoneport::ctl
