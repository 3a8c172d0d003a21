/// \file
/// Case 1. A replica answers long requests before it has read all of their bodies, then goes on
/// reading. Meanwhile clients send lookups to sound replicas over kept connections.
///
/// Broken if a replica receives other bytes where the rest of a body is due (UNASKED), or if more
/// than three lookups that one machine has passed on from kept connections get no answer (LOST).
#include "../stand_in/platform.hpp"

namespace review {
namespace {

constexpr std::size_t kMachines = 2;

/// Lookups: as in the small deployments, 25 ms of work and a body of 600 bytes.
constexpr std::size_t kLookupClients = 24;
constexpr Milliseconds kLookupWork{25};
constexpr std::size_t kLookupBody = 600;
constexpr std::size_t kMostUnanswered = 3;

/// Long requests: within the limit of the configuration, 32 MB.
constexpr std::size_t kLongClients = 4;
constexpr std::size_t kLongRequestsOfClient = 10;
constexpr std::size_t kLongBody = 4u << 20;
constexpr Milliseconds kLongPause{400};
/// Read before the answer is sent.
constexpr std::size_t kReadFirst = 64u << 10;
/// The replica reads the rest at 64 KB a millisecond; its answer goes out at 4 KB a millisecond.
constexpr std::size_t kReadPiece = 64u << 10;
constexpr Milliseconds kReadPause{1};
constexpr std::size_t kLongAnswer = 256u << 10;
constexpr std::size_t kAnswerPiece = 4u << 10;
constexpr Milliseconds kAnswerPause{1};
constexpr std::chrono::seconds kLongestBody{10};

constexpr Milliseconds kRestartDelay{300};

/// The byte at \p position of the body of long request \p number. Each request has letters of its
/// own at the start of each block, so that another request's bytes show.
char body_byte(std::size_t number, std::size_t position) {
  constexpr std::size_t kBlock = 16;
  const std::size_t mixed =
      number * 7 + position / kBlock + (position % kBlock) * (number % 11 + 1);
  return static_cast<char>('a' + mixed % 26);
}
std::string long_body(std::size_t number) {
  std::string body(kLongBody, '\0');
  for (std::size_t position = 0; position < body.size(); ++position) {
    body[position] = body_byte(number, position);
  }
  return body;
}

/// What the run has shown, counted by all threads.
struct Findings {
  std::mutex mutex;
  std::set<std::string> run;  ///< ids of lookups that a replica began to work on
  std::size_t lookups = 0;
  std::size_t answered = 0;
  /// Lookups passed on from kept connections and not answered, by machine.
  std::map<std::size_t, std::size_t> unanswered;
  std::size_t long_requests = 0;
  std::size_t other_bytes = 0;  ///< long requests whose body arrived with other bytes

  void note_run(const std::string& id) {
    const std::lock_guard lock(mutex);
    run.insert(id);
  }
};

/// Reads the body of long request \p number from \p position to \p end and compares it.
/// \return whether all bytes that came are the client's.
bool read_body(Connection& connection, std::size_t number, std::size_t& position, std::size_t end,
               bool is_paced, Record& record) {
  const std::string name = "the body of long-" + std::to_string(number);
  const Clock::time_point until = Clock::now() + kLongestBody;
  std::size_t next_pause = position + kReadPiece;
  while (position < end) {
    if (is_paced && position >= next_pause) {
      next_pause += kReadPiece;
      std::this_thread::sleep_for(kReadPause);
    }
    if (!connection.has_bytes()) {
      const End filled = connection.fill(until);
      if (filled != End::kComplete) {
        record.line(name + " ends at byte " + std::to_string(position) + ": " + to_string(filled));
        return true;
      }
    }
    for (const char byte : connection.take(end - position)) {
      if (byte != body_byte(number, position)) {
        record.line(name + " has a byte that the client has not sent, at " +
                    std::to_string(position));
        return false;
      }
      ++position;
    }
  }
  return true;
}

void write_paced(Connection& connection, std::string_view text) {
  while (!text.empty() && connection.write(text.substr(0, kAnswerPiece))) {
    text.remove_prefix(std::min(kAnswerPiece, text.size()));
    std::this_thread::sleep_for(kAnswerPause);
  }
}

/// Serves a long request; with \p is_early, answers before the whole body was read.
void serve_long(Connection& connection, const Message& head, const Replica& replica, bool is_early,
                Record& record, Findings& findings) {
  const std::string id = head.header("Request-Id");
  const std::size_t number = std::stoul(id.substr(id.find('-') + 1));
  record.line("replica " + replica.options().id + " runs " + id +
              (is_early ? " and answers early" : ""));
  const std::string answer =
      response_text(413, std::string(kLongAnswer, 'x'), replica.answer_headers(head));
  std::size_t position = 0;
  const std::size_t read_first = is_early ? kReadFirst : kLongBody;
  bool is_sound = read_body(connection, number, position, read_first, false, record);
  if (is_sound && position == read_first) {
    std::thread sending([&] { write_paced(connection, answer); });
    is_sound = read_body(connection, number, position, kLongBody, true, record);
    if (!is_sound) {
      connection.shutdown();
    }
    sending.join();
  }
  const std::lock_guard lock(findings.mutex);
  findings.other_bytes += is_sound ? 0 : 1;
}

/// Sends lookups one after another, over one connection as long as it is kept.
void send_lookups(const Platform& platform, std::size_t client, const std::atomic<bool>& stopped,
                  Record& record, Findings& findings) {
  const std::string body(kLookupBody, 'q');
  std::size_t number = 0;
  while (!stopped) {
    const auto connection =
        Connection::open(platform.front(client % kMachines), Milliseconds(1000));
    if (!connection) {
      std::this_thread::sleep_for(Milliseconds(100));
      continue;
    }
    bool keep = true;
    for (std::size_t on_connection = 0; keep && !stopped; ++on_connection) {
      const std::string id = "lookup-" + std::to_string(client) + "-" + std::to_string(++number);
      const std::string request =
          "POST /lookup/item HTTP/1.1\r\nHost: " + std::string(kHost) + "\r\nRequest-Id: " + id +
          "\r\nDeadline-Milliseconds: 1500\r\nContent-Length: " + std::to_string(body.size()) +
          "\r\n\r\n" + body;
      if (!connection->write(request)) {
        break;
      }
      Message answer;
      const End end = connection->read_message(answer, Clock::now() + Milliseconds(2500));
      const std::lock_guard lock(findings.mutex);
      ++findings.lookups;
      if (end == End::kComplete) {
        ++findings.answered;
        keep = strcasecmp(answer.header("Connection").c_str(), "close") != 0;
        continue;
      }
      keep = false;
      const bool was_passed_on = findings.run.contains(id);
      record.line(id + " on a " + (on_connection > 0 ? "kept" : "new") +
                  " connection: " + to_string(end) + " without an answer" +
                  (was_passed_on ? ", it was passed on" : ""));
      findings.unanswered[client % kMachines] += on_connection > 0 && was_passed_on ? 1 : 0;
    }
  }
}

void send_long(const Platform& platform, std::size_t number, Record& record) {
  const std::string id = "long-" + std::to_string(number);
  const std::string body = long_body(number);
  const auto connection = Connection::open(platform.front(number % kMachines), Milliseconds(1000));
  if (!connection) {
    record.line(id + ": no connection");
    return;
  }
  record.line("a client sends " + id + " with " + std::to_string(body.size()) + " bytes");
  connection->write(
      "POST /upload/item HTTP/1.1\r\nHost: " + std::string(kHost) + "\r\nRequest-Id: " + id +
      "\r\nDeadline-Milliseconds: 6000\r\nContent-Length: " + std::to_string(body.size()) +
      "\r\n\r\n");
  connection->write(body);
  Message answer;
  const End end = connection->read_message(answer, Clock::now() + std::chrono::seconds(8));
  record.line(id + ": " + to_string(end) +
              (end == End::kComplete ? ", status " + std::to_string(answer.status()) : ""));
}

/// Starts a machine again a moment after its process has ended.
/// \return how often a process has ended.
std::size_t restart_until(const std::atomic<bool>& stopped, Platform& platform) {
  std::size_t ends = 0;
  while (!stopped) {
    for (std::size_t machine = 0; machine < kMachines; ++machine) {
      if (!platform.machine(machine).is_running()) {
        ++ends;
        std::this_thread::sleep_for(kRestartDelay);
        platform.machine(machine).start();
      }
    }
    std::this_thread::sleep_for(Milliseconds(20));
  }
  return ends;
}

bool holds(const std::string& program, bool has_trouble, Record& record) {
  Findings findings;
  Platform platform(program, kMachines, record);
  for (int index = 0; index < 3; ++index) {
    Replica& replica = platform.add_replica("matdb-api", [] { return kLookupWork; });
    replica.on_run = [&findings](const std::string& id) { findings.note_run(id); };
  }
  Replica& uploads = platform.add_replica("matdb-files", [] { return kLookupWork; });
  uploads.take_over([&](Connection& connection, const Message& head, bool&) {
    serve_long(connection, head, uploads, has_trouble, record, findings);
    return true;
  });
  platform.configure(1,
                     {Platform::route("lookup", "safe", "matdb-api", 1500, 2),
                      Platform::route("upload", "unsafe", "matdb-files", 6000, 1)},
                     {Platform::service("matdb-api"), Platform::service("matdb-files")});
  platform.start_all();
  std::this_thread::sleep_for(std::chrono::seconds(1));

  std::atomic<bool> stopped = false;
  std::atomic<bool> clients_ended = false;
  std::size_t ends = 0;
  std::thread restarting([&] { ends = restart_until(clients_ended, platform); });
  std::vector<std::thread> lookups;
  for (std::size_t client = 0; client < kLookupClients; ++client) {
    lookups.emplace_back(
        [&, client] { send_lookups(platform, client, stopped, record, findings); });
  }
  std::vector<std::thread> uploading;
  for (std::size_t client = 0; client < kLongClients; ++client) {
    uploading.emplace_back([&, client] {
      for (std::size_t number = 0; number < kLongRequestsOfClient; ++number) {
        std::this_thread::sleep_for(kLongPause);
        send_long(platform, client + kLongClients * number, record);
      }
    });
  }
  for (std::thread& client : uploading) {
    client.join();
  }
  stopped = true;
  for (std::thread& client : lookups) {
    client.join();
  }
  clients_ended = true;
  restarting.join();
  const std::lock_guard lock(findings.mutex);
  record.line("lookups sent " + std::to_string(findings.lookups) + ", answered " +
              std::to_string(findings.answered));
  std::size_t most_unanswered = 0;
  for (const auto& [machine, count] : findings.unanswered) {
    most_unanswered = std::max(most_unanswered, count);
    record.line("passed on from kept connections by front-" + std::to_string(machine) +
                " and not answered " + std::to_string(count));
  }
  record.line("long requests " + std::to_string(kLongClients * kLongRequestsOfClient) +
              ", bodies with other bytes " + std::to_string(findings.other_bytes));
  record.line("processes that ended by themselves " + std::to_string(ends));
  return findings.other_bytes == 0 && most_unanswered <= kMostUnanswered;
}

}  // namespace
}  // namespace review

int main(int argument_count, char** arguments) {
  return review::run_case(argument_count, arguments, review::holds);
}
