#include "platform_support/stand_in_cloud.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "core/numbers.hpp"
#include "http/router.hpp"
#include "platform/names.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::tests {
namespace asio = boost::asio;
namespace {
constexpr core::Duration kSilence = std::chrono::seconds(30);
}  // namespace

asio::awaitable<void> StandInCloud::handle(const http::RequestHead& request, http::BodySource& body,
                                           http::ResponseWriter& response) {
  const core::Result<std::string> whole = co_await http::read_whole(body, 1u << 20);
  if (!whole) {
    co_return;
  }
  if (faults.silent) {
    co_await runtime::sleep_for(kSilence);
    co_return;
  }
  if (faults.refuse || faults.busy) {
    co_await response.send(http::json_response(faults.busy ? 429 : 503, "{}"));
    co_return;
  }
  const nlohmann::json call = nlohmann::json::parse(*whole, nullptr, false);
  const std::string holder(request.headers.find(platform::kDutyHolderHeader).value_or(""));
  const auto fence_field = request.headers.find(platform::kFencingTokenHeader);
  const auto fence = core::parse_number<std::uint64_t>(fence_field.value_or("")).value_or(0);
  if (!call.is_discarded() && http::path_of(request.target) == platform::kScalePath) {
    orders.push_back({call["service"].get<std::string>() + "/" + call["zone"].get<std::string>(),
                      call["desiredCount"], holder, fence});
    co_await response.send(http::json_response(faults.none_there ? 409 : 200, "{}"));
    co_return;
  }
  if (call.is_discarded() || http::path_of(request.target) != platform::kUsagePath) {
    co_await response.send(http::json_response(400, "{}"));
    co_return;
  }
  ReportedUsage report;
  report.window = call["windowIndex"];
  report.counts = call["counts"].get<std::map<std::string, std::uint64_t>>();
  report.holder = holder;
  report.fence = fence;
  reports.push_back(std::move(report));
  if (faults.lose_answers > 0) {
    --faults.lose_answers;
    co_return;
  }
  co_await response.send(http::json_response(200, "{}"));
}

std::string StandInCloud::fault_of(const std::vector<ReportedUsage>& reports) {
  std::map<std::uint64_t, std::map<std::string, std::uint64_t>> by_window;
  std::map<std::uint64_t, std::string> by_fence;
  std::uint64_t fence = 0;
  for (const ReportedUsage& report : reports) {
    const std::string window = "window " + std::to_string(report.window);
    if (by_window.try_emplace(report.window, report.counts).first->second != report.counts) {
      return window + " was reported with two counts";
    }
    if (by_fence.try_emplace(report.fence, report.holder).first->second != report.holder) {
      return window + " came under another holder's fence";
    }
    if (report.fence < fence) {
      return window + " came under a fence below the one before";
    }
    fence = report.fence;
  }
  return "";
}

std::string StandInCloud::fault_of(const std::vector<OrderedReplicas>& orders) {
  std::map<std::string, OrderedReplicas> last;
  for (const OrderedReplicas& order : orders) {
    const auto [known, is_new] = last.try_emplace(order.subject, order);
    const bool is_shared =
        order.fence == known->second.fence && order.holder != known->second.holder;
    if (order.fence < known->second.fence || is_shared) {
      return "replicas of " + order.subject + " were ordered under a fence that is not newer";
    }
    known->second = order;
  }
  return "";
}

}  // namespace stoneport::tests
