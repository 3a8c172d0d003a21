/// \file
/// Memberships that learn of one another at once, for unit tests. A member that
/// is cut off keeps what it knew and tells nobody anything.
#pragma once

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

#include "controllers/membership.hpp"

namespace stoneport::support {

class FakeMembership : public controllers::Membership {
 public:
  FakeMembership(std::vector<FakeMembership*>& all, wire::Member self)
      : all_(all), self_(std::move(self)) {
    all_.push_back(this);
    spread();
  }
  ~FakeMembership() override { std::erase(all_, this); }

  wire::Member self() const override { return self_; }
  std::vector<wire::Member> members() const override { return known_; }
  void announce_configuration(core::Revision revision) override {
    self_.configuration_revision = std::max(self_.configuration_revision, revision);
    spread();
  }
  void announce_leaving() override {
    self_.state = wire::MemberState::kLeaving;
    spread();
  }
  void on_change(std::function<void()> listener) override {
    listeners_.push_back(std::move(listener));
  }

  void set_peer_address(core::Address address) {
    self_.peer_address = std::move(address);
    spread();
  }
  void cut_off() { cut_ = true; }
  void rejoin() {
    cut_ = false;
    spread();
  }

 private:
  void spread() {
    std::vector<wire::Member> members = known_;
    for (const FakeMembership* each : all_) {
      if (!each->cut_) {
        std::erase_if(members, [each](const wire::Member& member) {
          return member.node == each->self_.node;
        });
        members.push_back(each->self_);
      }
    }
    std::sort(members.begin(), members.end(),
              [](const auto& left, const auto& right) { return left.node < right.node; });
    for (FakeMembership* each : all_) {
      if (!each->cut_) {
        each->known_ = members;
        each->tell();
      }
    }
  }
  void tell() {
    for (const auto& listener : listeners_) {
      listener();
    }
  }

  std::vector<FakeMembership*>& all_;
  wire::Member self_;
  std::vector<wire::Member> known_;
  std::vector<std::function<void()>> listeners_;
  bool cut_ = false;
};

}  // namespace stoneport::support
