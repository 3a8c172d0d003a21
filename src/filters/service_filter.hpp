/// \file
/// Finds the template of the service that a request names, and with it the
/// request's deadline, priority and whether it may be repeated.
#pragma once

#include <optional>

#include "filters/caller_directory.hpp"
#include "filters/filter.hpp"
#include "runtime/snapshot.hpp"

namespace stoneport::filters {

using ConfigurationView = std::shared_ptr<runtime::SnapshotView<config::Configuration>>;

/// The directory of the newest configuration that this thread has been handed.
class DirectoryCache {
 public:
  explicit DirectoryCache(ConfigurationView view) : view_(std::move(view)) {}
  /// \return valid until the next call; hold its configuration to keep more.
  const CallerDirectory& current();

 private:
  ConfigurationView view_;
  std::optional<CallerDirectory> directory_;
};

/// A request's target, taken apart.
struct ServiceTarget {
  core::ServiceName service;
  std::string rest;  ///< origin form for the back end, with the query
};

inline constexpr std::string_view kServicesPrefix = "/services/";

/// \return the parts of "/services/{service}/{rest}?{query}", or nothing when
/// the service is missing. Without a rest the back end gets "/".
std::optional<ServiceTarget> parse_service_target(std::string_view target);

class ServiceFilter : public Filter {
 public:
  explicit ServiceFilter(DirectoryCache& directories) : directories_(directories) {}
  boost::asio::awaitable<Outcome> handle(RequestContext& request, FilterChain rest) override;

 private:
  std::optional<Refused> prepare(RequestContext& request);
  DirectoryCache& directories_;
};

}  // namespace stoneport::filters
