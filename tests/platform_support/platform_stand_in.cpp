#include "platform_support/platform_stand_in.hpp"

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/post.hpp>
#include <filesystem>
#include <fstream>

#include "core/numbers.hpp"
#include "http/base64.hpp"
#include "jobs/job_records.hpp"
#include "platform/names.hpp"
#include "support/test_cluster.hpp"

namespace stoneport::tests {
namespace asio = boost::asio;
namespace {

constexpr std::uint16_t kFirstPort = 21000;
constexpr std::uint16_t kStorePort = 20900;
constexpr std::uint16_t kFirstDoorPort = 20800;
constexpr std::uint16_t kCloudPort = 20799;
constexpr std::uint16_t kInternalPort = 21100;
constexpr core::Duration kBeat = std::chrono::milliseconds(300);
constexpr core::Duration kSilence = std::chrono::seconds(30);
const std::string kHost = "users.example";
const std::string kEvacuationKeyStart = "evacuate/";

nlohmann::json row_of(const ports::Record& record) {
  nlohmann::json row = {{"table", record.table},
                        {"part", record.partition},
                        {"privateKey", record.key},
                        {"ver", record.revision.value()}};
  if (record.removed) {
    row["gone"] = true;
  } else {
    row["value"] = http::base64_encode(record.value);
  }
  return row;
}

nlohmann::json answer_of(const support::FakeRecordStore& rows, core::Revision revision) {
  return {{"ver", revision.value()}, {"now_ms", rows.now()->count()}};
}

http::Response page_response(const support::FakeRecordStore& rows,
                             const core::Result<ports::RecordPage>& page) {
  if (!page) {
    const bool is_gone = page.error().code == core::ErrorCode::kNotFound;
    return http::json_response(is_gone ? 410 : 503, "{}");
  }
  nlohmann::json answer = answer_of(rows, page->revision);
  answer["rows"] = nlohmann::json::array();
  answer["more"] = page->more;
  for (const ports::Record& record : page->records) {
    answer["rows"].push_back(row_of(record));
  }
  return http::json_response(200, answer.dump());
}

std::string parameter(const std::string& target, std::string_view name) {
  return http::query_parameter(target, name).value_or("");
}

nlohmann::json route(const std::string& name, const std::string& kind, const std::string& service,
                     nlohmann::json more = nlohmann::json::object()) {
  nlohmann::json value = {
      {"name", name},           {"host", kHost},      {"pathPrefix", "/" + name + "/"},
      {"kind", kind},           {"service", service}, {"timeoutMs", 4000},
      {"targetLatencyMs", 150}, {"maxAttempts", 3}};
  value.update(more);
  return value;
}

/// \return the path of the library that makes a pause look like a suspension.
std::string suspending_clock() {
  return std::filesystem::absolute(TestCluster::binary("tests/libsuspending_clock.so")).string();
}

}  // namespace

StandInStore::StandInStore(asio::any_io_executor executor, core::Metrics& metrics)
    : server_(executor, "stand-in store", http::ServerLimits(), *this, metrics) {}

void StandInStore::put(const std::string& table, const std::string& key,
                       std::optional<std::string> value) {
  ports::RecordTransaction transaction;
  transaction.writes.push_back({table, key, std::move(value)});
  rows_.apply(transaction);
}

asio::awaitable<void> StandInStore::handle(const http::RequestHead& request, http::BodySource& body,
                                           http::ResponseWriter& response) {
  const core::Result<std::string> whole = co_await http::read_whole(body, 4u << 20);
  if (!whole) {
    co_return;
  }
  if (switches.silent) {
    co_await runtime::sleep_for(kSilence);
    co_return;
  }
  co_await runtime::sleep_for(switches.delay);
  if (switches.refuse) {
    co_await response.send(http::json_response(503, "{}"));
    co_return;
  }
  const std::string_view path = http::path_of(request.target);
  http::Response answer;
  if (path == platform::kTransactionPath) {
    answer = co_await transact(*whole);
    if (switches.lose_answers > 0) {
      --switches.lose_answers;
      co_return;
    }
  } else if (path == platform::kRowsPath) {
    answer = co_await read(request.target);
  } else if (path == platform::kFeedPath) {
    answer = co_await feed(request.target);
  } else {
    answer = http::json_response(404, "{}");
  }
  co_await response.send(std::move(answer));
}

asio::awaitable<void> StoreDoor::handle(const http::RequestHead& request, http::BodySource& body,
                                        http::ResponseWriter& response) {
  if (refusal == 0) {
    co_await store_.handle(request, body, response);
    co_return;
  }
  const core::Result<std::string> whole = co_await http::read_whole(body, 4u << 20);
  if (whole) {
    co_await response.send(http::json_response(refusal, "{}"));
  }
}

asio::awaitable<http::Response> StandInStore::transact(const std::string& body) {
  const nlohmann::json call = nlohmann::json::parse(body, nullptr, false);
  if (call.is_discarded()) {
    co_return http::json_response(400, "{}");
  }
  ports::RecordTransaction transaction;
  for (const nlohmann::json& condition : call["expectedCount"]) {
    transaction.partition = condition["part"];
    transaction.conditions.push_back({condition["table"], condition["privateKey"],
                                      core::Revision(condition["ver"].get<std::uint64_t>())});
  }
  for (const nlohmann::json& put : call["put"]) {
    transaction.partition = put["part"];
    transaction.writes.push_back(
        {put["table"], put["privateKey"], http::base64_decode(put["value"].get<std::string>())});
  }
  for (const nlohmann::json& removal : call["remove"]) {
    transaction.partition = removal["part"];
    transaction.writes.push_back({removal["table"], removal["privateKey"], std::nullopt});
  }
  const core::Result<core::Revision> done =
      co_await rows_.commit(std::move(transaction), std::chrono::seconds(1));
  if (!done) {
    co_return http::json_response(412, "{}");
  }
  co_return http::json_response(200, answer_of(rows_, *done).dump());
}

asio::awaitable<http::Response> StandInStore::read(const std::string& target) {
  ports::RecordRange range{parameter(target, "table"), parameter(target, "part"),
                           parameter(target, "from"), parameter(target, "targetVersion")};
  const core::Result<ports::RecordPage> page =
      co_await rows_.read(std::move(range), core::Duration(0));
  co_return page_response(rows_, page);
}

asio::awaitable<http::Response> StandInStore::feed(const std::string& target) {
  const auto after = core::parse_number<std::uint64_t>(parameter(target, "afterRevision"));
  const auto wait = core::parse_number<std::uint64_t>(parameter(target, "waitMs"));
  const core::Result<ports::RecordPage> page =
      co_await rows_.changes(parameter(target, "table"), core::Revision(after.value_or(0)),
                             std::chrono::milliseconds(wait.value_or(0)));
  co_return page_response(rows_, page);
}

PlatformStandIn::PlatformStandIn() : PlatformStandIn(Options()) {}

PlatformStandIn::PlatformStandIn(Options options) : options_(options) {
  static std::atomic<int> count = 0;
  const std::string name =
      "stoneport-stand-in-" + std::to_string(getpid()) + "-" + std::to_string(++count);
  folder_ = (std::filesystem::temp_directory_path() / name).string();
  std::filesystem::create_directories(folder_);
  loop_.run();
  on_loop([this] {
    store_ = std::make_unique<StandInStore>(loop_.executor(), metrics_);
    cloud_ = std::make_unique<StandInCloud>(loop_.executor(), metrics_);
    cloud_->listen({range_.prefix() + "1", kCloudPort}).value();
    for (std::size_t index = 0; index < options_.models; ++index) {
      add_replica("model-" + std::to_string(index), "models", true);
    }
    for (std::size_t index = 0; index < options_.plain; ++index) {
      add_replica("plain-" + std::to_string(index), "plain", false);
    }
    for (std::size_t process = 0; process < options_.processes; ++process) {
      const core::Address door{range_.prefix() + "1",
                               static_cast<std::uint16_t>(kFirstDoorPort + process)};
      doors_.push_back(std::make_unique<StoreDoor>(loop_.executor(), *store_, metrics_));
      doors_.back()->listen(door).value();
      relays_.push_back(emulator::make_tcp_relay(loop_.executor(), door));
      relays_.back()
          ->listen({range_.prefix() + "1", static_cast<std::uint16_t>(kStorePort + 1 + process)})
          .value();
    }
    runtime::start(loop_.executor(), "stand-in beat", beat(this));
  });
  configure(1);
  processes_.resize(options_.processes);
  for (std::size_t process = 0; process < options_.processes; ++process) {
    write_settings(process);
    start(process);
  }
  for (std::size_t process = 0; process < options_.processes; ++process) {
    wait_until_ready(process);
  }
}

PlatformStandIn::~PlatformStandIn() {
  processes_.clear();
  on_loop([this] { stopped_ = true; });
  loop_.stop();
  if (std::getenv("STONEPORT_KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(folder_);
  }
}

asio::awaitable<void> PlatformStandIn::beat(PlatformStandIn* self) {
  while (!self->stopped_) {
    for (const auto& [id, replica] : self->replicas_) {
      for (const std::string& lapsed : replica->take_lapsed()) {
        self->store_->put(std::string(platform::kReplicaTable), lapsed, std::nullopt);
      }
      const std::string life = replica->listed_id();
      if (replica->faults.down) {
        self->store_->put(std::string(platform::kReplicaTable), life, std::nullopt);
      }
      if (!replica->is_listed()) {
        continue;
      }
      const std::string entry = replica->entry();
      const auto rows = self->store_->rows().table(platform::kReplicaTable);
      const auto known = rows.find(life);
      if (known == rows.end() || known->second != entry) {
        self->store_->put(std::string(platform::kReplicaTable), life, entry);
      }
    }
    co_await runtime::sleep_for(kBeat);
  }
}

void PlatformStandIn::add_replica(const std::string& id, const std::string& service,
                                  bool is_model) {
  auto replica = std::make_unique<StandInReplica>(loop_.executor(), id, service, is_model, ledger_,
                                                  arrivals_, metrics_);
  replica->zone = zone_name(replicas_.size());
  const auto port = static_cast<std::uint16_t>(kFirstPort - 100 + 50 + replicas_.size());
  replica->listen({range_.prefix() + "1", port}).value();
  replicas_[id] = std::move(replica);
}

core::Address PlatformStandIn::address(std::size_t process, std::uint16_t offset) const {
  return {range_.prefix() + std::to_string(10 + process),
          static_cast<std::uint16_t>(kFirstPort + offset)};
}

core::Address PlatformStandIn::metrics_page(std::size_t process) const {
  return {address(process, 0).ip, kInternalPort + 1};
}

void PlatformStandIn::write_settings(std::size_t process) const {
  nlohmann::json seeds = nlohmann::json::array();
  for (std::size_t seed = 0; seed < options_.processes; ++seed) {
    seeds.push_back(core::to_string(address(seed, 3)));
  }
  nlohmann::json settings = {
      {"nodeName", "node-" + std::to_string(process)},
      {"zone", zone_name(process)},
      {"region", "region-a"},
      {"zones", {{"zone-a", "region-a"}, {"zone-b", "region-b"}}},
      {"ipAddress", range_.prefix() + std::to_string(10 + process)},
      {"listen",
       {{"front", core::to_string(address(process, 0))},
        {"ready", core::to_string(address(process, 1))},
        {"directory", core::to_string(address(process, 2))},
        {"control", core::to_string(address(process, 3))}}},
      {"internalPorts", {kInternalPort, kInternalPort + 15}},
      {"seeds", seeds},
      {"bounds",
       {{"leaseMs", 3000},
        {"graceS", 8},
        {"statusS", 120},
        {"reportWindowS", 1},
        {"coldOverage", kColdOverage},
        {"coldSlack", kColdSlack},
        {"evacuationMs", kEvacuation.count()},
        {"usageLateS", 5}}},
      {"cloud",
       {{"address", range_.prefix() + "1:" + std::to_string(kCloudPort)},
        {"duties", {"usage_reporting", "scaling"}},
        {"dutyPerS", 50}}},
      {"platform",
       {{"address", range_.prefix() + "1:" + std::to_string(kStorePort + 1 + process)},
        {"row_bytes", 65536}}}};
  if (options_.memory_mb > 0) {
    settings["limits"] = {{"memoryMb", options_.memory_mb}};
  }
  std::ofstream(folder_ + "/node-" + std::to_string(process) + ".json") << settings.dump(1);
}

void PlatformStandIn::start(std::size_t process) {
  const std::string name = folder_ + "/node-" + std::to_string(process);
  processes_[process] = std::make_unique<ChildProcess>(
      std::vector<std::string>{TestCluster::binary("stoneport-platformd"), "--settings",
                               name + ".json"},
      name + ".log",
      options_.suspends ? std::vector<std::string>{"LD_PRELOAD=" + suspending_clock()}
                        : std::vector<std::string>());
}

void PlatformStandIn::send_signal(std::size_t process, int signal_number) {
  processes_[process]->send_signal(signal_number);
}

void PlatformStandIn::kill(std::size_t process) {
  send_signal(process, SIGKILL);
  processes_[process]->wait();
}

bool PlatformStandIn::is_ready(std::size_t process) {
  return http_.get(ready(process), std::string(platform::kReadyPath)).status == 200;
}

void PlatformStandIn::wait_until_ready(std::size_t process) {
  wait_until("process " + std::to_string(process) + " is ready", [&] { return is_ready(process); });
}

std::optional<std::size_t> PlatformStandIn::coordinator() {
  const auto rows = on_loop([this] { return store_->rows().table(jobs::kTermTable); });
  const auto row = rows.find(std::string(jobs::kTermKey));
  if (row == rows.end()) {
    return std::nullopt;
  }
  const std::string holder = jobs::decode_term(row->second)->holder;
  for (std::size_t process = 0; process < options_.processes; ++process) {
    if (holder.starts_with("node-" + std::to_string(process) + "#")) {
      return process;
    }
  }
  return std::nullopt;
}

void PlatformStandIn::refuse_at_store(std::size_t process, unsigned status) {
  on_loop([&] { doors_[process]->refusal = status; });
}

void PlatformStandIn::set_link(std::size_t process, const emulator::RelaySwitches& switches) {
  on_loop([&] { relays_[process]->set(switches); });
}

void PlatformStandIn::configure(std::uint64_t version, const nlohmann::json& more) {
  nlohmann::json routes = {
      route("safe", "safe", "plain"),
      route("once", "unsafe", "plain"),
      route("score", "safe", "plain"),
      route("stream", "streaming", "models"),
      route("resume", "streaming", "models", {{"resumable", true}}),
      route("jobs", "rollout", "models", {{"runDeadlineMs", 7500}, {"queueTtlS", 60}})};
  for (const nlohmann::json& added : more) {
    routes.push_back(added);
  }
  nlohmann::json configuration = {{"version", version}, {"routes", routes}};
  configuration["services"].push_back(
      {{"name", "plain"}, {"coldStartS", kColdStart.count()}, {"coldPerS", kColdPerSecond}});
  configuration["services"].push_back(
      {{"name", "models"},
       {"coldStartS", kColdStart.count()},
       {"coldPerS", kColdPerSecond},
       {"scaling", {{"minReplicas", 1}, {"maxReplicas", 8}, {"zonePrices", {{"zone-a", 1.0}}}}}});
  for (const auto& [name, keys] : options_.tenants) {
    configuration["tenants"].push_back({{"name", name}, {"apiKeys", keys}});
  }
  on_loop([&] {
    store_->put(std::string(platform::kOperatorTable), std::string(platform::kConfigurationKey),
                configuration.dump());
  });
}

void PlatformStandIn::configure_tenants(std::uint64_t version,
                                        std::map<std::string, std::vector<std::string>> tenants) {
  options_.tenants = std::move(tenants);
  configure(version);
}

void PlatformStandIn::name_version(std::uint64_t version) {
  const nlohmann::json named = {{"model", "model"}, {"version", version}};
  on_loop([&] {
    store_->put(std::string(platform::kOperatorTable),
                std::string(platform::kVersionKeyStart) + "model", named.dump());
  });
}

std::vector<std::string> PlatformStandIn::replica_ids() const {
  std::vector<std::string> ids;
  for (const auto& [id, replica] : replicas_) {
    ids.push_back(id);
  }
  return ids;
}

std::string PlatformStandIn::zone_name(std::size_t index) const {
  return std::string("zone-") + static_cast<char>('a' + index % options_.zones);
}

void PlatformStandIn::evacuate(const std::string& zone, bool is_wanted) {
  on_loop([&] {
    store_->put(std::string(platform::kOperatorTable), kEvacuationKeyStart + zone,
                is_wanted ? std::optional<std::string>("{}") : std::nullopt);
  });
}

void PlatformStandIn::set_zone_down(const std::string& zone, bool is_down) {
  on_loop([&] {
    for (const auto& [id, replica] : replicas_) {
      if (replica->zone != zone) {
        continue;
      }
      replica->faults.down = is_down;
      if (!is_down) {
        replica->turn_cold(kColdStart);
      }
    }
  });
}

StandInReplica::Arrivals PlatformStandIn::arrivals() {
  return on_loop([this] { return arrivals_; });
}

std::vector<ReplicaCrash> PlatformStandIn::crashes() {
  return on_loop([this] {
    std::vector<ReplicaCrash> crashes;
    for (const auto& [id, replica] : replicas_) {
      crashes.insert(crashes.end(), replica->crashes.begin(), replica->crashes.end());
    }
    std::sort(
        crashes.begin(), crashes.end(),
        [](const ReplicaCrash& left, const ReplicaCrash& right) { return left.at < right.at; });
    return crashes;
  });
}

StandInReplica::Ledger PlatformStandIn::ledger() {
  return on_loop([this] { return ledger_; });
}

HttpAnswer PlatformStandIn::request(std::size_t process, const std::string& method,
                                    const std::string& target, const std::string& id,
                                    const std::string& body, const http::HeaderMap& more) {
  HttpCall call;
  call.address = front(process);
  call.request.head.method = method;
  call.request.head.target = target;
  call.request.head.headers = more;
  if (!more.find("Host")) {
    call.request.head.headers.set("Host", kHost);
  }
  if (!id.empty()) {
    call.request.head.headers.set(platform::kRequestIdHeader, id);
  }
  if (!more.find(platform::kDeadlineHeader)) {
    call.request.head.headers.set(platform::kDeadlineHeader, "4000");
  }
  if (!key_.empty() && !more.find(platform::kAuthorizationHeader)) {
    call.request.head.headers.set(platform::kAuthorizationHeader, "Bearer " + key_);
  }
  call.request.body = body;
  return http_.send_all({call}, nullptr).front();
}

std::string PlatformStandIn::item_id(const std::string& job, std::size_t index) {
  return job + "-" + std::to_string(index);
}

std::string PlatformStandIn::job_body(const std::string& job, std::size_t items,
                                      std::uint64_t oldest_version) {
  nlohmann::json requests = nlohmann::json::array();
  for (std::size_t index = 0; index < items; ++index) {
    const std::string id = item_id(job, index);
    requests.push_back({{"id", id},
                        {"path", "/jobs/" + id},
                        {"headers", {{"Model", "model"}, {"Length-Hint", "100"}}},
                        {"body", http::base64_encode("prompt of " + id)},
                        {"tokens", 100},
                        {"group", job + std::to_string(index / 4)},
                        {"scoringEndpoint",
                         {{"id", "score-" + id},
                          {"host", kHost},
                          {"path", "/score/x"},
                          {"body", http::base64_encode("rate")}}}});
  }
  return nlohmann::json({{"step", 1},
                         {"model", "model"},
                         {"minVersion", oldest_version},
                         {"desiredCount", 1},
                         {"requests", requests}})
      .dump();
}

HttpAnswer PlatformStandIn::submit(std::size_t process, const std::string& job, std::size_t items) {
  return request(process, "POST", "/jobs/" + job, job, job_body(job, items));
}

HttpAnswer PlatformStandIn::read(std::size_t process, const std::string& job, std::uint64_t from) {
  return request(
      process, "GET",
      std::string(platform::kJobPathStart) + job + "?afterRevision=" + std::to_string(from), "");
}

HttpAnswer PlatformStandIn::end(std::size_t process, const std::string& job) {
  return request(process, "DELETE", std::string(platform::kJobPathStart) + job, "");
}

bool PlatformStandIn::wait_whole(std::size_t process, const std::string& job, std::size_t items,
                                 core::Duration limit) {
  const auto give_up_at = std::chrono::steady_clock::now() + limit;
  while (std::chrono::steady_clock::now() < give_up_at) {
    const HttpAnswer answer = read(process, job, 0);
    if (answer.status == 200 && answer.document()["nextToken"] == items) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  return false;
}

}  // namespace stoneport::tests
