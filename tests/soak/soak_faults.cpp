#include "soak/soak_faults.hpp"

#include <signal.h>

namespace stoneport::tests {

using std::chrono::milliseconds;

void SoakFaults::end_after(double shortest, double longest, std::function<void()> end) {
  const double seconds = shortest + (longest - shortest) * random_.fraction();
  const auto length =
      std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(seconds));
  running_.push_back({Clock::now() + length, std::move(end)});
}

void SoakFaults::end_due(bool all) {
  std::vector<Running> due;
  std::erase_if(running_, [&](Running& fault) {
    if (!all && Clock::now() < fault.until) {
      return false;
    }
    due.push_back(std::move(fault));
    return true;
  });
  for (const Running& fault : due) {
    fault.end();
  }
}

std::string SoakFaults::strike_process(std::size_t process) {
  if (!struck_.insert(process).second) {
    return "";
  }
  const std::string name = "process " + std::to_string(process);
  const auto restart = [this, process] {
    platform_.wait(process);
    platform_.start(process);
    struck_.erase(process);
  };
  switch (pick(3)) {
    case 0:
      platform_.kill(process);
      end_after(0.1, 1.5, restart);
      return name + " killed";
    case 1:
      platform_.send_signal(process, SIGSTOP);
      end_after(0.3, 4.0, [this, process] {
        platform_.send_signal(process, SIGCONT);
        struck_.erase(process);
      });
      return name + " paused";
    default:
      platform_.send_signal(process, SIGTERM);
      end_after(7.5, 8.5, restart);
      return name + " stopped";
  }
}

/// The store turns one process away and serves the others.
std::string SoakFaults::strike_door(std::size_t process) {
  const unsigned status = pick(2) == 0 ? 503 : 429;
  platform_.refuse_at_store(process, status);
  end_after(0.3, 4.0, [this, process] { platform_.refuse_at_store(process, 0); });
  return "the store answers " + std::to_string(status) + " to process " + std::to_string(process);
}

std::string SoakFaults::strike_link(std::size_t process) {
  emulator::RelaySwitches switches;
  const std::size_t kind = pick(4);
  if (kind == 3) {
    return strike_door(process);
  }
  switches.cut = kind == 0;
  switches.stalled = kind == 1;
  switches.delay = milliseconds(kind == 2 ? 40 + static_cast<int>(pick(200)) : 0);
  platform_.set_link(process, switches);
  end_after(0.3, 4.0, [this, process] { platform_.set_link(process, {}); });
  const char* const names[] = {"cut from", "stalled towards", "slow towards"};
  return "process " + std::to_string(process) + " " + names[kind] + " the store";
}

std::string SoakFaults::strike_store() {
  const std::size_t kind = pick(4);
  const int losses = 1 + static_cast<int>(pick(8));
  platform_.on_loop([&] {
    StoreSwitches& switches = platform_.store().switches;
    switches.refuse = kind == 0;
    switches.silent = kind == 1;
    switches.lose_answers = kind == 2 ? losses : 0;
    switches.delay = milliseconds(kind == 3 ? 250 : 0);
  });
  end_after(0.3, 3.0, [this] {
    platform_.on_loop([this] { platform_.store().switches = StoreSwitches(); });
  });
  const char* const names[] = {"refuses", "is silent", "loses answers", "is slow"};
  return std::string("the store ") + names[kind];
}

std::string SoakFaults::strike_replica() {
  const std::vector<std::string> ids = platform_.replica_ids();
  const std::string& id = ids[pick(ids.size())];
  ReplicaFaults faults;
  const std::size_t kind = pick(6);
  faults.dark = kind == 0;
  faults.cut_after_events = kind == 1 ? static_cast<int>(pick(6)) : -1;
  faults.cut_answers = kind == 1 ? 2 : 0;
  faults.not_run = kind == 2 ? 20 : 0;
  // Two answers of failure, or all of them while the health check stays good.
  const int errors = pick(2) == 0 ? 2 : 1000;
  faults.server_errors = kind == 3 ? errors : 0;
  faults.lost_orders = kind == 4 ? 2 : 0;
  faults.event_gap = milliseconds(kind == 5 ? 60 : 10);
  platform_.on_loop([&] { platform_.replica(id).faults = faults; });
  end_after(0.5, 3.0, [this, id] {
    platform_.on_loop([&] { platform_.replica(id).faults = ReplicaFaults(); });
  });
  const char* const names[] = {"dark",    "cutting",       "turning away",
                               "failing", "losing orders", "slow"};
  return "replica " + id + " " + names[kind];
}

std::string SoakFaults::strike_all() {
  for (std::size_t process = 0; process < processes_; ++process) {
    if (struck_.insert(process).second) {
      platform_.kill(process);
      end_after(0.1, 0.8, [this, process] {
        platform_.start(process);
        struck_.erase(process);
      });
    }
  }
  return "all processes killed";
}

std::string SoakFaults::strike_cloud() {
  const std::size_t kind = pick(5);
  platform_.on_loop([&] {
    CloudFaults& faults = platform_.cloud().faults;
    faults.refuse = kind == 0;
    faults.busy = kind == 1;
    faults.silent = kind == 2;
    faults.lose_answers = kind == 3 ? 3 : 0;
    faults.none_there = kind == 4;
  });
  end_after(0.5, 4.0,
            [this] { platform_.on_loop([this] { platform_.cloud().faults = CloudFaults(); }); });
  const char* const names[] = {"refuses", "is busy", "is silent", "loses answers",
                               "has no replicas"};
  return std::string("the interface for duties ") + names[kind];
}

std::string SoakFaults::strike_keys() {
  const std::string tenant = pick(2) == 0 ? "north" : "south";
  keys_.rotate(tenant);
  platform_.configure_tenants(++configuration_, keys_.held());
  return "a key of " + tenant + " taken away";
}

std::string SoakFaults::begin() {
  switch (pick(14)) {
    case 0:
    case 1:
    case 2:
      return strike_process(pick(processes_));
    case 3: {
      const std::optional<std::size_t> coordinator = platform_.coordinator();
      return coordinator ? "coordinator: " + strike_process(*coordinator) : "";
    }
    case 4:
    case 5:
      return strike_link(pick(processes_));
    case 6:
      return strike_store();
    case 7:
    case 8:
      return strike_replica();
    case 9:
      platform_.name_version(++version_);
      return "version " + std::to_string(version_) + " named";
    case 10:
      platform_.configure(++configuration_);
      return "configuration " + std::to_string(configuration_);
    case 11:
      return strike_cloud();
    case 12:
      return strike_keys();
    default:
      return pick(3) == 0 ? strike_all() : "";
  }
}

}  // namespace stoneport::tests
