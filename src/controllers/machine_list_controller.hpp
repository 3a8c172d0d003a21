/// \file
/// Polls the machine list, passes its nodes to gossip as seeds, and marks the nodes that it
/// lists as leaving. Owned by the control thread.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <memory>

#include "controllers/gossip_controller.hpp"
#include "controllers/machine_list_view.hpp"

namespace stoneport::controllers {

class MachineListController {
 public:
  /// \param interval minimum time between polls; see poll_interval()
  MachineListController(boost::asio::any_io_executor executor, ports::MachineList& list,
                        GossipController& gossip, core::Duration interval,
                        std::uint64_t random_seed, core::Metrics& metrics);

  void start();
  void stop() { alive_.reset(); }

  /// \return the list as last read; the shared value is immutable
  std::shared_ptr<const std::vector<ports::Machine>> machines() const { return machines_; }
  /// \return whether the list was read at least once
  bool loaded() const { return loaded_; }
  /// Registers \p listener, which is called after each list that differs from the previous
  /// one.
  void on_change(std::function<void()> listener) { listeners_.push_back(std::move(listener)); }

 private:
  boost::asio::awaitable<void> run(std::weak_ptr<bool> alive);
  void update_list(std::vector<ports::Machine> machines);

  boost::asio::any_io_executor executor_;
  ports::MachineList& list_;
  GossipController& gossip_;
  core::Duration interval_;
  core::RandomSource random_;
  prometheus::Counter& failures_;
  prometheus::Counter& empty_lists_;
  std::shared_ptr<const std::vector<ports::Machine>> machines_;
  bool loaded_ = false;
  std::vector<std::function<void()>> listeners_;
  std::shared_ptr<bool> alive_;
};

}  // namespace stoneport::controllers
