/// \file
/// Exit codes of stoneportctl, as documented in its help and docs/OPERATIONS.md.
#pragma once

namespace stoneport::ctl {

enum class ExitCode {
  kOk = 0,
  kRefused = 1,          ///< conflict, not found, overloaded: surely not accepted
  kUsage = 2,            ///< the command line is wrong
  kInvalidDocument = 3,  ///< a document, alone or with the others, is not valid
  kUnreachable = 4,      ///< the daemon could not be reached; nothing was sent
  kUnknownOutcome = 5,   ///< the request may or may not have taken effect
  kWaitTimedOut = 6,     ///< accepted, but not in force everywhere in time
};

}  // namespace stoneport::ctl
