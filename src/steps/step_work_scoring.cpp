/// \file
/// Scoring of finished samples.
#include "core/backoff.hpp"
#include "runtime/tasks.hpp"
#include "steps/step_work.hpp"

namespace stoneport::steps {
namespace asio = boost::asio;

/// \return the mean score of the tenant's scorers, zero without any; nothing when the step stopped
/// before all had answered. Failed calls are retried, since scoring is deterministic.
asio::awaitable<std::optional<double>> StepWork::score(std::string prompt, std::string completion) {
  const std::vector<core::ServiceName> scorers = rules().parameters.scorers;
  const StepSettings& settings = context_.settings();
  double sum = 0;
  for (const core::ServiceName& scorer : scorers) {
    std::uint32_t failures = 0;
    while (true) {
      if (stopped_) {
        co_return std::nullopt;
      }
      ports::ScoringRequest request;
      request.prompt = prompt;
      request.completion = completion;
      const core::MonotonicTime deadline = context_.now() + settings.score_timeout;
      const core::Result<double> scored =
          co_await context_.dependencies.scoring.score(scorer, std::move(request), deadline);
      if (scored) {
        sum += *scored;
        break;
      }
      context_.metrics.scoring_retries.Increment();
      const core::Duration pause =
          core::backoff_delay(settings.backoff, failures++, context_.random);
      co_await runtime::sleep_for(pause);
    }
  }
  co_return scorers.empty() ? 0 : sum / static_cast<double>(scorers.size());
}

}  // namespace stoneport::steps
