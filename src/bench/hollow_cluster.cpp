#include "bench/hollow_cluster.hpp"

#include <boost/asio/post.hpp>
#include <future>
#include <thread>

namespace stoneport::bench {

namespace {
constexpr core::Duration kCheckInterval = std::chrono::milliseconds(50);
constexpr std::size_t kSeedMembers = 3;
constexpr int kNameDigits = 4;
}  // namespace

core::NodeId HollowCluster::node_name(std::size_t index) {
  const std::string number = std::to_string(index);
  return core::NodeId("hollow-" + std::string(kNameDigits - number.size(), '0') + number);
}

HollowCluster::HollowCluster(HollowClusterSettings settings) : settings_(std::move(settings)) {
  for (std::uint32_t index = 0; index < settings_.threads; ++index) {
    threads_.push_back(
        std::make_unique<runtime::EventLoopThread>("hollow-" + std::to_string(index)));
  }
}

HollowCluster::~HollowCluster() {
  for (std::size_t index = 0; index < members_.size(); ++index) {
    kill(index);
  }
  for (const auto& thread : threads_) {
    thread->stop();
  }
}

core::Result<void> HollowCluster::start() {
  for (const auto& thread : threads_) {
    thread->run();
  }
  for (std::size_t index = 0; index < settings_.members; ++index) {
    members_.push_back(std::make_unique<HollowMember>());
    const auto started = start_member(index);
    if (!started) {
      return started;
    }
  }
  return {};
}

core::Result<void> HollowCluster::start_member(std::size_t index) {
  HollowMember& member = *members_[index];
  member.thread = index % threads_.size();
  std::vector<core::Address> seeds = settings_.seeds;
  for (std::size_t seed = 0; seed < std::min(index, kSeedMembers); ++seed) {
    seeds.push_back(members_[seed]->address);
  }
  core::Result<void> opened;
  run_on_thread(member.thread, [&] {
    const boost::asio::any_io_executor executor = threads_[member.thread]->executor();
    member.endpoint = std::make_unique<controllers::GossipEndpoint>(executor, metrics_);
    opened = member.endpoint->open({"127.0.0.1", 0});
    if (!opened) {
      return;
    }
    member.address = member.endpoint->local_address();
    config::DaemonSettings settings;
    settings.node = node_name(index);
    settings.zone = core::ZoneName("zone-" + std::to_string(index % settings_.zones));
    settings.region = core::RegionName("region");
    member.controller = std::make_unique<controllers::GossipController>(
        executor, *member.endpoint,
        controllers::make_self(settings, member.address, member.address, time_.wall_now()),
        controllers::gossip_settings(settings), settings_.seed * 1000 + index, time_, metrics_);
    member.controller->set_seeds(seeds);
    member.controller->start();
    member.running = true;
  });
  return opened;
}

void HollowCluster::run_on_thread(std::size_t thread, const std::function<void()>& action) {
  std::promise<void> done;
  boost::asio::post(threads_[thread]->executor(), [&] {
    action();
    done.set_value();
  });
  done.get_future().wait();
}

void HollowCluster::run_on(std::size_t index, const Action& action) {
  HollowMember& member = *members_[index];
  run_on_thread(member.thread, [&] { action(*member.controller); });
}

void HollowCluster::kill(std::size_t index) {
  HollowMember& member = *members_[index];
  if (!member.running) {
    return;
  }
  run_on_thread(member.thread, [&] {
    // A closed socket sends no farewell.
    member.endpoint->close();
    member.controller.reset();
    member.endpoint.reset();
  });
  member.running = false;
}

std::size_t HollowCluster::running_count() const {
  std::size_t count = 0;
  for (const auto& member : members_) {
    count += member->running ? 1 : 0;
  }
  return count;
}

std::optional<core::Duration> HollowCluster::wait_for_all(const Condition& condition,
                                                          core::Duration limit) {
  const core::MonotonicTime start = time_.now();
  std::vector<bool> held(members_.size(), false);
  while (time_.now() - start < limit) {
    std::size_t missing = 0;
    for (std::size_t index = 0; index < members_.size(); ++index) {
      if (held[index] || !members_[index]->running) {
        continue;
      }
      bool holds = false;
      run_on(index,
             [&](controllers::GossipController& controller) { holds = condition(controller); });
      held[index] = holds;
      missing += holds ? 0 : 1;
    }
    if (missing == 0) {
      return time_.now() - start;
    }
    std::this_thread::sleep_for(kCheckInterval);
  }
  return std::nullopt;
}

ClusterTraffic HollowCluster::traffic() {
  ClusterTraffic total;
  for (std::size_t index = 0; index < members_.size(); ++index) {
    if (!members_[index]->running) {
      continue;
    }
    run_on(index, [&](controllers::GossipController& controller) {
      total.bytes_sent += controller.counts().bytes_sent;
      total.packets_sent += controller.counts().packets_sent;
    });
  }
  return total;
}

}  // namespace stoneport::bench
