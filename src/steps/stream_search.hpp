/// \file
/// Finds the streams that an earlier owner of a step left on the engines.
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
  bool cancelled = false;  ///< ended without its text being whole
};

/// Asks all engines of \p model at once. An engine that does not answer within
/// the rebuild limit counts as having none: its work is then made again.
/// \return streams of the step with the same content, the longest first, without
/// cancelled ones: these hold nothing that could be read to its end.
boost::asio::awaitable<std::vector<FoundStream>> find_streams(StepContext& context,
                                                              core::ModelName model,
                                                              core::EventName event,
                                                              core::StepNumber step,
                                                              std::uint32_t content);

}  // namespace stoneport::steps
