/// \file
/// What the other controllers need to know of the members. Control thread only.
#pragma once

#include <functional>
#include <vector>

#include "wire/member.hpp"

namespace stoneport::controllers {

class Membership {
 public:
  virtual ~Membership() = default;
  virtual wire::Member self() const = 0;
  /// \return every known member, self included, in order of node.
  virtual std::vector<wire::Member> members() const = 0;
  /// States our configuration revision to the others; never goes back.
  virtual void announce_configuration(core::Revision revision) = 0;
  /// Marks self as leaving for the rest of this incarnation.
  virtual void announce_leaving() = 0;
  /// Calls \p listener after each change of the member list.
  virtual void on_change(std::function<void()> listener) = 0;
};

/// \return the live, not leaving members that rendezvous hashing ranks first
/// for \p key, best first, at most \p count.
std::vector<wire::Member> ranked_members(const std::vector<wire::Member>& members,
                                         const std::string& key, std::size_t count);

}  // namespace stoneport::controllers
