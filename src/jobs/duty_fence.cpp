#include "jobs/duty_fence.hpp"

namespace stoneport::jobs {
namespace asio = boost::asio;
namespace {
/// When a call for a subject was last announced, by the store's time; one key per subject.
constexpr std::string_view kDutyTable = "stoneport-duty";
}  // namespace

DutyFence::DutyFence(ports::RecordStore& store, JobStore& reader, TermContext context,
                     const core::TimeSource& time, DutyFenceSettings settings)
    : store_(store),
      reader_(reader),
      context_(std::move(context)),
      time_(time),
      settings_(settings) {}

asio::awaitable<bool> DutyFence::learn() {
  ports::RecordRange range{std::string(kDutyTable), std::string(kTermPartition)};
  const core::Result<std::vector<ports::Record>> announced =
      co_await reader_.read_range(std::move(range), false);
  if (!announced) {
    co_return false;
  }
  const core::MonotonicTime now = time_.now();
  for (const ports::Record& record : *announced) {
    const core::Duration age = age_of(record.value, store_.now());
    blocked_until_[record.key] = now + settings_.pause - age;
  }
  announcements_loaded_ = true;
  co_return true;
}

ports::RecordTransaction DutyFence::transaction() const {
  ports::RecordTransaction transaction;
  transaction.partition = std::string(kTermPartition);
  transaction.conditions.push_back(
      {std::string(kTermTable), std::string(kTermKey), context_.term.revision});
  return transaction;
}

ports::RecordWrite DutyFence::announcement(const std::string& subject) const {
  return {std::string(kDutyTable), subject, encode_sent_at(store_.now())};
}

void DutyFence::on_announced(const std::string& subject, core::MonotonicTime sent_at) {
  announced_at_[subject] = sent_at;
}

bool DutyFence::is_open(const std::string& subject) const {
  const auto quiet = blocked_until_.find(subject);
  const bool is_quiet = quiet != blocked_until_.end() && time_.now() < quiet->second;
  return announcements_loaded_ && !is_quiet && context_.is_sure();
}

bool DutyFence::may_call(const std::string& subject) const {
  const auto announced = announced_at_.find(subject);
  const bool is_covered = announced != announced_at_.end() &&
                          time_.now() - announced->second < settings_.announcement_validity;
  return is_covered && is_open(subject);
}

}  // namespace stoneport::jobs
