/// \file
/// Names what a request asks for, so that it is known again when it comes with a new id, at
/// another process or as a retry. Plain code.
#pragma once

#include <string_view>

#include "core/identifiers.hpp"

namespace stoneport::quarantine {

/// What makes two requests the same one. Ids, deadlines and the point at which a stream resumes
/// differ from attempt to attempt and are left out.
struct RequestContent {
  std::string_view tenant;  ///< two tenants may send the same bytes
  std::string_view method;
  std::string_view host;
  std::string_view target;  ///< path and query
  std::string_view body;
};

/// \return a hash of 128 bits in hex, the same in every process. Not safe against a caller who
/// looks for collisions; the tenant is hashed first, so that none reaches another tenant's
/// requests by repeating their bytes.
core::RequestFingerprint fingerprint_of(const RequestContent& content);

}  // namespace stoneport::quarantine
