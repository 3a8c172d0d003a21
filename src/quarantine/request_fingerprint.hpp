/// \file
/// Identifies a request by its content, so that it is recognised with a new id, at another process
/// or as a retry.
#pragma once

#include <string_view>

#include "core/identifiers.hpp"

namespace stoneport::quarantine {

/// The parts that identify a request. Ids, deadlines and the resume position of a stream differ
/// between attempts and are excluded.
struct RequestContent {
  std::string_view tenant;  ///< different tenants may send the same bytes
  std::string_view method;
  std::string_view host;
  std::string_view target;  ///< path and query
  std::string_view body;
};

/// \return a 128-bit hash in hexadecimal, the same in every process. Not resistant to deliberate
/// collisions; the tenant is hashed first, so that no tenant can match another tenant's requests by
/// sending the same bytes.
core::RequestFingerprint fingerprint_of(const RequestContent& content);

}  // namespace stoneport::quarantine
