/// \file
/// Generates write ids that are unique across process runs and sources.
#pragma once

#include <string>

#include "core/identifiers.hpp"

namespace stoneport::ports {

class WriteIdSource {
 public:
  /// \param purpose name of this source, unique within the process, such as "lease"
  /// \param incarnation differs from that of every earlier process of \p node
  WriteIdSource(std::string purpose, const core::NodeId& node, core::Incarnation incarnation)
      : prefix_(std::move(purpose) + "/" + node.value() + "/" +
                std::to_string(incarnation.value()) + "/") {}

  core::WriteId next() {
    ++count_;
    return core::WriteId(prefix_ + std::to_string(count_));
  }

 private:
  std::string prefix_;
  std::uint64_t count_ = 0;
};

}  // namespace stoneport::ports
