/// \file
/// One attempt at an item's text on one replica: opens the stream, checks each
/// event and appends it. Belongs to the coordinator's thread.
#pragma once

#include <functional>
#include <optional>

#include "jobs/open_job.hpp"
#include "ports/replica_client.hpp"

namespace stoneport::jobs {

/// What a text must keep to.
struct TextRules {
  core::WeightVersion oldest_version;
  bool single_version = false;
};

enum class AttemptEndKind {
  kWhole,         ///< the text is whole
  kNotRun,        ///< the replica did not run it
  kGone,          ///< another replica has the address
  kBroken,        ///< the stream was cut; what came before it holds
  kFailedAnswer,  ///< the replica ran it and failed
  kImpossible,    ///< the replica says it can never be done
  kUnfit,         ///< an event was made by weights that the job does not allow
  kCut,           ///< ended by the coordinator
};
std::string_view to_string(AttemptEndKind kind);

struct AttemptEnd {
  AttemptEndKind kind = AttemptEndKind::kCut;
  std::string reason;
  std::optional<core::Duration> retry_after = std::nullopt;
  bool unreachable = false;
  bool stale_connection = false;  ///< a kept connection ended before an answer
  std::optional<core::WeightVersion> version = std::nullopt;  ///< last one told
};

/// Appends to \p text what the replica makes, from the event after its last one on.
/// \param call without the point to resume at
/// \param on_event called after the head and after each event
/// \return how the attempt ended; a kUnfit text must be discarded.
boost::asio::awaitable<AttemptEnd> attempt_text(ports::ReplicaClient& replicas,
                                                ports::ReplicaTarget target,
                                                ports::ReplicaCall call, ItemText& text,
                                                TextRules rules, std::function<void()> on_event);

}  // namespace stoneport::jobs
