/// \file
/// Case 3. The platform stops the last machine with SIGTERM while its store is silent. Clients go
/// on sending lookups over the connections that they have, since the directory names nobody else.
///
/// Broken if a lookup that the process has read and passed on to a replica loses its connection
/// without a complete answer (LOST).
#include "../stand_in/platform.hpp"

namespace review {
namespace {

constexpr std::size_t kMachines = 2;
constexpr std::size_t kLast = 0;
constexpr std::size_t kLookupClients = 6;
constexpr Milliseconds kLookupWork{60};
constexpr Milliseconds kClientPause{20};
/// graceS of the settings: from SIGTERM to SIGKILL.
constexpr Milliseconds kGrace{8000};
/// A request that was sent so soon after SIGTERM may be cut while its replica is still at work in
/// the last sixth of the grace.
constexpr Milliseconds kCutAllowed{3000};
/// The window of the rule ends so long after the grace.
constexpr Milliseconds kAfterGrace{1000};
/// Deadline of the clients and timeout of the route.
constexpr Milliseconds kDeadline{1500};
/// contactMs of the settings, twice: what happened before is over for all rules.
constexpr Milliseconds kQuiet{6000};
/// From the beginning of the store's silence to SIGTERM.
constexpr Milliseconds kSilenceBefore{1000};

struct Findings {
  std::mutex mutex;
  std::set<std::string> run;  ///< ids of lookups that a replica began to work on
  std::size_t lookups = 0;
  std::size_t answered = 0;
  std::size_t lost = 0;  ///< passed on, and the connection closed without a complete answer
  std::optional<Clock::time_point> stopped_at;  ///< when the last machine got SIGTERM
  std::size_t directory_answers = 0;            ///< that named addresses after that

  /// \return whether the rule counts a lookup that was sent at \p sent and lost its connection now.
  bool counts(Clock::time_point sent) const {
    const Clock::time_point now = Clock::now();
    if (!stopped_at || sent < *stopped_at || sent > *stopped_at + kGrace + kAfterGrace) {
      return false;
    }
    const bool may_be_cut =
        sent <= *stopped_at + kCutAllowed && now >= *stopped_at + kGrace - kGrace / 6;
    return !may_be_cut && now < sent + kDeadline;
  }
};

std::string lookup_text(const std::string& id) {
  return "POST /lookup/item HTTP/1.1\r\nHost: " + std::string(kHost) + "\r\nRequest-Id: " + id +
         "\r\nDeadline-Milliseconds: 1500\r\nContent-Length: 4\r\n\r\nitem";
}

/// Sends lookups to the last machine one after another, over one connection as long as it is kept.
void send_lookups(const Platform& platform, std::size_t client, const std::atomic<bool>& stopped,
                  Record& record, Findings& findings) {
  std::size_t number = 0;
  while (!stopped) {
    const auto connection = Connection::open(platform.front(kLast), Milliseconds(1000));
    if (!connection) {
      std::this_thread::sleep_for(Milliseconds(100));
      continue;
    }
    bool keep = true;
    while (keep && !stopped) {
      const std::string id = "lookup-" + std::to_string(client) + "-" + std::to_string(++number);
      const Clock::time_point sent = Clock::now();
      if (!connection->write(lookup_text(id))) {
        break;
      }
      Message answer;
      const End end = connection->read_message(answer, Clock::now() + Milliseconds(2500));
      {
        const std::lock_guard lock(findings.mutex);
        ++findings.lookups;
        if (end == End::kComplete) {
          ++findings.answered;
          keep = strcasecmp(answer.header("Connection").c_str(), "close") != 0;
          record.line(id + ": status " + std::to_string(answer.status()) +
                      (keep ? "" : ", the connection closes"));
        } else {
          keep = false;
          const bool was_passed_on = findings.run.contains(id);
          const bool is_lost = was_passed_on && findings.counts(sent);
          findings.lost += is_lost ? 1 : 0;
          record.line(id + ": " + to_string(end) + " without an answer" +
                      (was_passed_on ? ", it was passed on" : ", it was not passed on") +
                      (is_lost ? ", the rule counts it" : ""));
        }
      }
      std::this_thread::sleep_for(kClientPause);
    }
  }
}

/// Asks the last machine's directory once a second, as clients do, whose answers have run out.
void ask_directory(const Platform& platform, const std::atomic<bool>& stopped, Record& record,
                   Findings& findings) {
  while (!stopped) {
    std::this_thread::sleep_for(std::chrono::seconds(1));
    const auto connection = Connection::open(platform.directory(kLast), Milliseconds(1000));
    Message answer;
    const bool is_answered =
        connection &&
        connection->write("GET /-/resolve?name=" + std::string(kHost) +
                          "&region=addis&zone=bole-hall HTTP/1.1\r\nHost: directory\r\n\r\n") &&
        connection->read_message(answer, Clock::now() + Milliseconds(1000)) == End::kComplete;
    const std::string text = is_answered ? std::to_string(answer.status()) + " " + answer.body
                                         : std::string("no answer");
    record.line("the directory answers: " + text.substr(0, 120));
    const bool names_any = is_answered && answer.status() == 200 &&
                           answer.body.find("\"addresses\":[]") == std::string::npos;
    const std::lock_guard lock(findings.mutex);
    findings.directory_answers += findings.stopped_at && names_any ? 1 : 0;
  }
}

/// Stops a machine as the platform does: SIGTERM, and SIGKILL after the grace.
void stop_machine(Machine& machine) {
  machine.signal(SIGTERM);
  const Clock::time_point until = Clock::now() + kGrace;
  while (machine.is_running() && Clock::now() < until) {
    std::this_thread::sleep_for(Milliseconds(5));
  }
  if (machine.is_running()) {
    machine.signal(SIGKILL);
  }
  while (machine.is_running()) {
    std::this_thread::sleep_for(Milliseconds(5));
  }
}

bool holds(const std::string& program, bool has_trouble, Record& record) {
  Findings findings;
  Platform platform(program, kMachines, record);
  for (int index = 0; index < 3; ++index) {
    Replica& replica = platform.add_replica("matdb-api", [] { return kLookupWork; });
    replica.on_run = [&findings](const std::string& id) {
      const std::lock_guard lock(findings.mutex);
      findings.run.insert(id);
    };
  }
  platform.configure(1, {Platform::route("lookup", "safe", "matdb-api", 1500, 2)},
                     {Platform::service("matdb-api")});
  platform.start_all();
  std::this_thread::sleep_for(std::chrono::seconds(2));
  stop_machine(platform.machine(1));
  std::this_thread::sleep_for(kQuiet);

  std::atomic<bool> stopped = false;
  std::vector<std::thread> clients;
  for (std::size_t client = 0; client < kLookupClients; ++client) {
    clients.emplace_back(
        [&, client] { send_lookups(platform, client, stopped, record, findings); });
  }
  std::thread asking([&] { ask_directory(platform, stopped, record, findings); });
  std::this_thread::sleep_for(std::chrono::seconds(2));
  if (has_trouble) {
    record.line("the store falls silent");
    platform.store().set_silent(true);
  }
  std::this_thread::sleep_for(kSilenceBefore);
  {
    const std::lock_guard lock(findings.mutex);
    findings.stopped_at = Clock::now();
  }
  stop_machine(platform.machine(kLast));
  std::this_thread::sleep_for(Milliseconds(300));
  stopped = true;
  asking.join();
  for (std::thread& client : clients) {
    client.join();
  }
  const std::lock_guard lock(findings.mutex);
  record.line("lookups sent " + std::to_string(findings.lookups) + ", answered " +
              std::to_string(findings.answered) + ", passed on and lost " +
              std::to_string(findings.lost));
  record.line("answers of the directory with addresses after SIGTERM " +
              std::to_string(findings.directory_answers));
  return findings.lost == 0;
}

}  // namespace
}  // namespace review

int main(int argument_count, char** arguments) {
  return review::run_case(argument_count, arguments, review::holds);
}
