/// \file
/// The pages of load of several processes as one: what `stoneportctl load` shows. Plain code.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "core/error.hpp"

namespace stoneport::ctl {

/// What became of requests, summed over processes; of the waits the longest.
struct RequestCounts {
  std::map<std::string, std::uint64_t> by_name;  ///< asked, answered, sends, ...
  std::map<std::string, std::uint64_t> refused;  ///< by reason
  double longest_wait_s = 0;

  void add(const RequestCounts& other);
};

struct RequestLoad {
  std::uint64_t waiting = 0;
  RequestCounts recent;  ///< over the last seconds, as the pages say
  RequestCounts total;

  void add(const RequestLoad& other);
};

/// How many processes avoid one replica.
struct Avoidance {
  std::uint32_t suspect_at = 0;
  std::uint32_t ejected_at = 0;
  double longest_left_s = 0;
};

struct ZoneSummary {
  bool is_open = true;         ///< for all processes
  std::uint64_t replicas = 0;  ///< the most that a process knows: all know the same ones
  std::uint64_t places = 0;    ///< likewise
  std::uint64_t running = 0;   ///< of all processes together
  std::map<std::string, Avoidance> avoided;  ///< by replica
  std::uint64_t avoided_unnamed = 0;         ///< the most that a process left unnamed

  void add(const ZoneSummary& other);
};

struct ServiceSummary {
  RequestLoad requests;
  std::map<std::string, ZoneSummary> zones;  ///< by name
};

class LoadSummary {
 public:
  /// Adds the page of one process, whole or not at all.
  /// \return an error when it is no page of load.
  core::Result<void> add(const nlohmann::json& page);
  std::size_t processes() const { return processes_; }

  /// \return a row for each service, its zones and each tenant; requests of the last seconds.
  std::string table() const;
  /// \return a page like that of one process.
  nlohmann::json to_json() const;

 private:
  void add(const LoadSummary& other);

  std::size_t processes_ = 0;
  double recent_s_ = 0;
  std::map<std::string, ServiceSummary> services_;
  RequestLoad other_services_;
  std::map<std::string, RequestLoad> tenants_;
  RequestLoad other_tenants_;
};

}  // namespace stoneport::ctl
