/// \file
/// The platform's machine list: entries as they are, and as they are published,
/// which lags. Plain code.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "core/time.hpp"

namespace stoneport::emulator {

struct MachineEntry {
  std::string id;
  std::string role = "node";  ///< node, engine or service
  std::string serves;
  std::string ip = "127.0.0.1";
  std::uint16_t port = 0;
  std::string zone;
  std::string region;
  std::uint64_t incarnation = 1;
  std::string state = "live";  ///< live or leaving
};

template <class Visitor>
void visit_fields(Visitor& visitor, MachineEntry& entry) {
  visitor("id", entry.id);
  visitor("role", entry.role);
  visitor("serves", entry.serves);
  visitor("ip", entry.ip);
  visitor("port", entry.port);
  visitor("zone", entry.zone);
  visitor("region", entry.region);
  visitor("incarnation", entry.incarnation);
  visitor("state", entry.state);
}

struct MachineListFaults {
  core::Duration lag{};  ///< real time by which the published list is late
  bool frozen = false;   ///< the published list stays as it is
};

template <class Visitor>
void visit_fields(Visitor& visitor, MachineListFaults& faults) {
  visitor("lag_ms", faults.lag);
  visitor("frozen", faults.frozen);
}

class MachineCatalog {
 public:
  using Entries = std::map<std::string, MachineEntry>;  ///< by id

  /// Adds or replaces an entry.
  void put(MachineEntry entry, core::MonotonicTime now) {
    entries_[entry.id] = std::move(entry);
    note(now);
  }
  /// \return whether it was there.
  bool erase(const std::string& id, core::MonotonicTime now) {
    const bool erased = entries_.erase(id) > 0;
    note(now);
    return erased;
  }
  const Entries& entries() const { return entries_; }

  /// \return the entries as published at \p now.
  const Entries& published(core::MonotonicTime now) {
    while (!faults_.frozen && !changes_.empty() && changes_.front().at + faults_.lag <= now) {
      published_ = std::move(changes_.front().entries);
      changes_.pop_front();
    }
    return published_;
  }

  void set_faults(const MachineListFaults& faults, core::MonotonicTime now) {
    published(now);
    faults_ = faults;
  }
  const MachineListFaults& faults() const { return faults_; }

 private:
  struct Change {
    core::MonotonicTime at;
    Entries entries;
  };
  void note(core::MonotonicTime now) {
    published(now);
    changes_.push_back({now, entries_});
  }

  Entries entries_;
  Entries published_;
  std::deque<Change> changes_;
  MachineListFaults faults_;
};

}  // namespace stoneport::emulator
