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
  if (call.is_discarded() || http::path_of(request.target) != platform::kUsagePath) {
    co_await response.send(http::json_response(400, "{}"));
    co_return;
  }
  ReportedUsage report;
  report.window = call["windowIndex"];
  report.counts = call["counts"].get<std::map<std::string, std::uint64_t>>();
  report.holder = request.headers.find(platform::kDutyHolderHeader).value_or("");
  const auto fence = request.headers.find(platform::kFencingTokenHeader);
  report.fence = core::parse_number<std::uint64_t>(fence.value_or("")).value_or(0);
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

}  // namespace stoneport::tests
