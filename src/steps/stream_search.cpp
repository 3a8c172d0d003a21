#include "steps/stream_search.hpp"

#include <algorithm>

#include "runtime/tasks.hpp"
#include "steps/signal.hpp"

namespace stoneport::steps {
namespace asio = boost::asio;
namespace {

/// State shared with the queries, which may outlive the search.
struct Search {
  explicit Search(asio::any_io_executor executor) : answered(std::move(executor)) {}
  std::vector<FoundStream> found;
  std::size_t waiting = 0;
  Signal answered;
};

asio::awaitable<void> ask(std::shared_ptr<Search> search,
                          std::shared_ptr<ports::ModelEngine> engine, routing::Replica replica,
                          std::string prefix) {
  const auto listed = co_await engine->list_streams(std::move(prefix));
  if (listed) {
    for (const ports::StreamStatus& status : *listed) {
      if (const auto name = rollout::parse_stream_id(status.stream)) {
        const bool is_cancelled = status.finish_reason == ports::FinishReason::kCancelled;
        search->found.push_back(
            FoundStream{*name, replica, status.token_count, status.finished, is_cancelled});
      }
    }
  }
  --search->waiting;
  search->answered.notify();
}

}  // namespace

asio::awaitable<std::vector<FoundStream>> find_streams(StepContext& context, core::ModelName model,
                                                       core::EventName event, core::StepNumber step,
                                                       std::uint32_t content) {
  const auto search = std::make_shared<Search>(context.dependencies.executor);
  const std::vector<routing::Replica> replicas = context.engines.all(model);
  search->waiting = replicas.size();
  for (const routing::Replica& replica : replicas) {
    runtime::start(context.dependencies.executor, "list streams",
                   ask(search, context.engines.client(replica.address), replica,
                       rollout::stream_prefix(event, step)));
  }
  const core::MonotonicTime limit = context.now() + context.settings().recovery_timeout;
  while (search->waiting > 0 && context.now() < limit) {
    co_await search->answered.wait_for(limit - context.now());
  }
  std::vector<FoundStream> result = std::move(search->found);
  search->found.clear();
  std::erase_if(result, [&](const FoundStream& stream) {
    return stream.name.event != event || stream.name.step != step || stream.name.content != content;
  });
  const std::size_t cancelled =
      std::erase_if(result, [](const FoundStream& stream) { return stream.cancelled; });
  context.metrics.streams_found_cancelled.Increment(static_cast<double>(cancelled));
  std::sort(result.begin(), result.end(), [](const FoundStream& left, const FoundStream& right) {
    return left.token_count != right.token_count ? left.token_count > right.token_count
                                                 : left.name < right.name;
  });
  co_return result;
}

}  // namespace stoneport::steps
