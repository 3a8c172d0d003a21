#include "jobs/job_adoption.hpp"

#include <unordered_map>

namespace stoneport::jobs {
namespace asio = boost::asio;
namespace {

using ItemIndexes = std::unordered_map<std::string, std::size_t>;

ItemIndexes index_items(const Job& job) {
  ItemIndexes indexes;
  for (std::size_t index = 0; index < job.items.size(); ++index) {
    indexes.emplace(job.items[index].id, index);
  }
  return indexes;
}

void restore_results(OpenJob& open, const ItemIndexes& indexes,
                     const std::vector<JobResult>& results) {
  open.listed = results.size();
  for (const JobResult& result : results) {
    const auto found = indexes.find(result.item);
    if (found != indexes.end()) {
      open.items[found->second].state = ItemState::kListed;
    }
  }
}

void restore_texts(OpenJob& open, const ItemIndexes& indexes,
                   const std::vector<ports::Record>& records) {
  std::unordered_map<std::size_t, std::vector<Checkpoint>> by_item;
  for (const ports::Record& record : records) {
    std::optional<Checkpoint> checkpoint = decode_checkpoint(record);
    if (!checkpoint) {
      continue;
    }
    const auto found = indexes.find(checkpoint->item);
    if (found != indexes.end()) {
      by_item[found->second].push_back(std::move(*checkpoint));
    }
  }
  for (const auto& [index, checkpoints] : by_item) {
    open.items[index].text.restore(checkpoints);
  }
}

}  // namespace

asio::awaitable<core::Result<OpenJobPointer>> adopt_job(JobStore& store, const JobParser& parser,
                                                        std::string job, JobIndexEntry entry,
                                                        bool is_fresh) {
  const core::Result<JobSubmission> submission = co_await store.submission(job);
  if (!submission) {
    co_return submission.error();
  }
  core::Result<Job> parsed = parser.parse(*submission);
  if (!parsed) {
    co_return parsed.error();
  }
  const auto open = std::make_shared<OpenJob>();
  open->job = std::move(*parsed);
  open->entry = std::move(entry);
  open->items.resize(open->job.items.size());
  open->order_is_stale = true;
  if (is_fresh) {
    co_return open;
  }
  const ItemIndexes indexes = index_items(open->job);
  ports::RecordRange range{std::string(kResultTable), std::string(kTermPartition),
                           start_of_job(job), end_of_job(job)};
  ports::RecordRange texts = range;
  texts.table = std::string(kCheckpointTable);
  const core::Result<std::vector<ports::Record>> results =
      co_await store.read_range(std::move(range), false);
  if (!results) {
    co_return results.error();
  }
  restore_results(*open, indexes, decode_results(job, 0, *results));
  const core::Result<std::vector<ports::Record>> checkpoints =
      co_await store.read_range(std::move(texts), false);
  if (!checkpoints) {
    co_return checkpoints.error();
  }
  restore_texts(*open, indexes, *checkpoints);
  co_return open;
}

}  // namespace stoneport::jobs
