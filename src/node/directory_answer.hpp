/// \file
/// Which processes a caller is told of. Plain code.
#pragma once

#include <vector>

#include "core/identifiers.hpp"
#include "wire/member.hpp"

namespace stoneport::node {

struct DirectoryQuestion {
  core::NodeId self;           ///< the process that answers
  bool is_ready = false;       ///< whether it takes callers itself
  bool reaches_others = true;  ///< whether other processes answer it
  core::ZoneName zone;         ///< the caller's
};

/// \param members with the process that answers
/// \return addresses of processes that take callers: those in the caller's zone where there
/// are enough of them, else those of all zones.
std::vector<core::Address> directory_answer(const DirectoryQuestion& question,
                                            const wire::MemberMap& members);

}  // namespace stoneport::node
