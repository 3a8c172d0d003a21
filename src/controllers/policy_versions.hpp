/// \file
/// Newest published weight version of each policy. Control thread only.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>

#include "core/error.hpp"
#include "core/identifiers.hpp"

namespace stoneport::controllers {

class PolicyVersions {
 public:
  virtual ~PolicyVersions() = default;
  /// Records that \p version of \p policy is published and spreads it to the other daemons.
  /// Succeeds without effect if the known version is equal or higher.
  virtual boost::asio::awaitable<core::Result<void>> publish(core::PolicyName policy,
                                                             core::WeightVersion version) = 0;
  /// \return the newest known version, or zero
  virtual core::WeightVersion newest(const core::PolicyName& policy) const = 0;
  virtual std::map<core::PolicyName, core::WeightVersion> all() const = 0;
  virtual void on_change(std::function<void()> listener) = 0;
};

}  // namespace stoneport::controllers
