/// \file
/// Interface through which other controllers access the members. Control thread only.
#pragma once

#include <functional>
#include <vector>

#include "wire/member.hpp"

namespace stoneport::controllers {

class Membership {
 public:
  virtual ~Membership() = default;
  virtual wire::Member self() const = 0;
  /// \return all known members including self, ordered by node
  virtual std::vector<wire::Member> members() const = 0;
  /// Announces this daemon's configuration revision to the other members; it never
  /// decreases.
  virtual void announce_configuration(core::Revision revision) = 0;
  /// Marks self as leaving for the rest of this incarnation.
  virtual void announce_leaving() = 0;
  /// Registers \p listener, which is called after each change of the member list.
  virtual void on_change(std::function<void()> listener) = 0;
};

/// \return up to \p count live members that are not leaving, in descending order of their
/// rendezvous hash for \p key
std::vector<wire::Member> ranked_members(const std::vector<wire::Member>& members,
                                         const std::string& key, std::size_t count);

}  // namespace stoneport::controllers
