/// \file
/// Reads a completion request and finds its model.
#pragma once

#include "filters/filter.hpp"
#include "filters/replica_pools.hpp"
#include "filters/service_filter.hpp"
#include "routing/deadline.hpp"

namespace stoneport::filters {

inline constexpr std::size_t kLongestCompletionBody = 8 << 20;

class CompletionRequestFilter : public Filter {
 public:
  CompletionRequestFilter(DirectoryCache& directories, const ReplicaPools& pools,
                          routing::DeadlineRules rules)
      : directories_(directories), pools_(pools), rules_(rules) {}
  boost::asio::awaitable<Outcome> handle(RequestContext& request, FilterChain rest) override;

 private:
  std::optional<Refused> prepare(RequestContext& request, const std::string& body);

  DirectoryCache& directories_;
  const ReplicaPools& pools_;
  routing::DeadlineRules rules_;
};

}  // namespace stoneport::filters
