/// \file
/// The platform's metadata store as a stand-in: rows under conditions, listings and feeds, as the
/// protocol page describes them. Thread-safe.
#pragma once

#include <condition_variable>
#include <map>
#include <nlohmann/json.hpp>
#include <tuple>

#include "http.hpp"

namespace review {

inline std::string base64_encode(const std::string& bytes) {
  static const char* const kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t index = 0; index < bytes.size(); index += 3) {
    const std::size_t count = std::min<std::size_t>(3, bytes.size() - index);
    std::uint32_t group = 0;
    for (std::size_t byte = 0; byte < 3; ++byte) {
      group = group << 8 | (byte < count ? static_cast<unsigned char>(bytes[index + byte]) : 0);
    }
    for (std::size_t digit = 0; digit < 4; ++digit) {
      text += digit <= count ? kDigits[group >> (18 - 6 * digit) & 63] : '=';
    }
  }
  return text;
}

inline std::string percent_decode(const std::string& text) {
  std::string decoded;
  for (std::size_t index = 0; index < text.size(); ++index) {
    if (text[index] == '%' && index + 2 < text.size()) {
      decoded += static_cast<char>(std::strtol(text.substr(index + 1, 2).c_str(), nullptr, 16));
      index += 2;
    } else {
      decoded += text[index];
    }
  }
  return decoded;
}

inline std::string query_value(const std::string& target, const std::string& name) {
  std::size_t start = target.find('?');
  while (start != std::string::npos) {
    const std::size_t end = target.find('&', start + 1);
    const std::string pair =
        target.substr(start + 1, end == std::string::npos ? std::string::npos : end - start - 1);
    if (pair.starts_with(name + "=")) {
      return percent_decode(pair.substr(name.size() + 1));
    }
    start = end;
  }
  return {};
}

class Store {
 public:
  explicit Store(const Address& address)
      : server_(address, [this](Connection& connection) { serve(connection); }) {}
  ~Store() {
    set_silent(false);
    {
      const std::lock_guard lock(mutex_);
      stopped_ = true;
    }
    changed_.notify_all();
    server_.stop();
  }

  /// Writes a row as the operator or a replica does; without a value removes it.
  void put(const std::string& table, const std::string& key, std::optional<std::string> value) {
    const std::lock_guard lock(mutex_);
    ++version_;
    write(table, "", key, value ? std::optional(base64_encode(*value)) : std::nullopt);
    changed_.notify_all();
  }
  /// While silent, the store takes calls, does nothing and answers nothing.
  void set_silent(bool is_silent) {
    const std::lock_guard lock(mutex_);
    silent_ = is_silent;
    changed_.notify_all();
  }

 private:
  using Key = std::tuple<std::string, std::string, std::string>;  ///< table, part, key
  struct Row {
    std::string value;  ///< base64
    std::uint64_t version = 0;
  };
  struct Change {
    Key key;
    Row row;
    bool is_gone = false;
  };

  /// The mutex must be held.
  void write(const std::string& table, const std::string& part, const std::string& key,
             const std::optional<std::string>& value) {
    const Key place{table, part, key};
    if (value) {
      rows_[place] = {*value, version_};
      history_.push_back({place, rows_[place], false});
    } else if (rows_.erase(place) > 0) {
      history_.push_back({place, {"", version_}, true});
    }
  }
  static nlohmann::json row_json(const Key& key, const Row& row, bool is_gone) {
    nlohmann::json json = {{"table", std::get<0>(key)},
                           {"part", std::get<1>(key)},
                           {"privateKey", std::get<2>(key)},
                           {"ver", row.version}};
    if (is_gone) {
      json["gone"] = true;
    } else {
      json["value"] = row.value;
    }
    return json;
  }
  nlohmann::json with_clock(nlohmann::json answer) const {
    answer["ver"] = version_;
    answer["now_ms"] = std::chrono::duration_cast<Milliseconds>(Clock::now() - began_).count();
    return answer;
  }

  void serve(Connection& connection) {
    while (true) {
      Message request;
      const End end = connection.read_message(request, Clock::now() + std::chrono::hours(1));
      if (end != End::kComplete) {
        return;
      }
      if (waits_out_silence()) {
        return;
      }
      const std::string path = request.target().substr(0, request.target().find('?'));
      std::pair<int, nlohmann::json> answer{404, nlohmann::json::object()};
      if (path == "/-/rows-tx") {
        answer = transact(request.body);
      } else if (path == "/-/rows-get") {
        answer = read(request.target());
      } else if (path == "/-/rows-feed") {
        answer = feed(request.target());
      }
      if (waits_out_silence()) {
        return;
      }
      if (!connection.write(response_text(answer.first, answer.second.dump(),
                                          {{"Content-Type", "application/json"}}))) {
        return;
      }
    }
  }
  /// \return whether the store was silent: the call then has no answer, and its connection carries
  /// nothing more.
  bool waits_out_silence() {
    std::unique_lock lock(mutex_);
    if (!silent_) {
      return false;
    }
    changed_.wait(lock, [this] { return !silent_ || stopped_; });
    return true;
  }
  std::pair<int, nlohmann::json> transact(const std::string& body) {
    const nlohmann::json call = nlohmann::json::parse(body, nullptr, false);
    const std::lock_guard lock(mutex_);
    if (!call.is_object()) {
      return {400, with_clock(nlohmann::json::object())};
    }
    bool holds = true;
    nlohmann::json found = nlohmann::json::array();
    for (const nlohmann::json& expected : call.value("expectedCount", nlohmann::json::array())) {
      const Key key{expected["table"], expected["part"], expected["privateKey"]};
      const auto row = rows_.find(key);
      const std::uint64_t version = row == rows_.end() ? 0 : row->second.version;
      holds = holds && version == expected["ver"].get<std::uint64_t>();
      if (row != rows_.end()) {
        found.push_back(row_json(key, row->second, false));
      }
    }
    if (!holds) {
      return {412, with_clock({{"rows", found}})};
    }
    ++version_;
    for (const nlohmann::json& put : call.value("put", nlohmann::json::array())) {
      write(put["table"], put["part"], put["privateKey"], put["value"].get<std::string>());
    }
    for (const nlohmann::json& removed : call.value("remove", nlohmann::json::array())) {
      write(removed["table"], removed["part"], removed["privateKey"], std::nullopt);
    }
    changed_.notify_all();
    return {200, with_clock(nlohmann::json::object())};
  }
  std::pair<int, nlohmann::json> read(const std::string& target) {
    constexpr std::size_t kMostRows = 500;
    const std::string table = query_value(target, "table");
    const std::string part = query_value(target, "part");
    const std::string end = query_value(target, "targetVersion");
    const std::string limit = query_value(target, "limit");
    const std::size_t most =
        limit.empty() ? kMostRows : std::min<std::size_t>(kMostRows, std::stoul(limit));
    const std::lock_guard lock(mutex_);
    nlohmann::json rows = nlohmann::json::array();
    bool more = false;
    for (auto row = rows_.lower_bound({table, part, query_value(target, "from")});
         row != rows_.end(); ++row) {
      const auto& [in_table, in_part, key] = row->first;
      if (in_table != table || in_part != part || (!end.empty() && key >= end)) {
        break;
      }
      if (rows.size() == most) {
        more = true;
        break;
      }
      rows.push_back(row_json(row->first, row->second, false));
    }
    return {200, with_clock({{"rows", rows}, {"more", more}})};
  }
  std::pair<int, nlohmann::json> feed(const std::string& target) {
    constexpr std::size_t kMostRows = 500;
    const std::string table = query_value(target, "table");
    const std::uint64_t after = std::stoull("0" + query_value(target, "afterRevision"));
    const auto wait = Milliseconds(std::stoll("0" + query_value(target, "waitMs")));
    const Clock::time_point until = Clock::now() + wait;
    std::unique_lock lock(mutex_);
    while (true) {
      nlohmann::json rows = nlohmann::json::array();
      for (const Change& change : history_) {
        const bool is_due = change.row.version > after && std::get<0>(change.key) == table;
        if (is_due && rows.size() < kMostRows) {
          rows.push_back(row_json(change.key, change.row, change.is_gone));
        }
      }
      if (!rows.empty() || Clock::now() >= until || stopped_ || silent_) {
        return {200, with_clock({{"rows", rows}})};
      }
      changed_.wait_until(lock, until);
    }
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<Key, Row> rows_;
  std::vector<Change> history_;
  std::uint64_t version_ = 0;
  Clock::time_point began_ = Clock::now();
  bool silent_ = false;
  bool stopped_ = false;
  Server server_;
};

}  // namespace review
