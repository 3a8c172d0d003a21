/// \file
/// Finds streams that an earlier owner of a step left on the engines.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <vector>

#include "rollout/stream_name.hpp"
#include "steps/step_context.hpp"
#include "steps/step_plan.hpp"

namespace stoneport::steps {

struct FoundStream {
  rollout::StreamName name;
  routing::Replica engine;
  std::uint64_t token_count = 0;
  bool finished = false;
  bool cancelled = false;  ///< ended before its text was complete
};

/// Queries all engines of \p model in parallel. An engine that does not answer within the recovery
/// timeout counts as having no streams, so that its samples are generated again.
/// \return streams of the step with the same content, longest first. Cancelled ones are left out,
/// because they cannot be read to their end.
boost::asio::awaitable<std::vector<FoundStream>> find_streams(StepContext& context,
                                                              core::ModelName model,
                                                              core::EventName event,
                                                              core::StepNumber step,
                                                              std::uint32_t content);

}  // namespace stoneport::steps
