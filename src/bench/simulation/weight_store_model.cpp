#include "bench/simulation/weight_store_model.hpp"

#include <algorithm>
#include <vector>

namespace stoneport::bench {

namespace {
constexpr double kRoundingGigabytes = 1e-4;
}  // namespace

double WeightStoreModel::rate_of_one() const {
  const double share = settings_.store_gigabytes_per_second /
                       static_cast<double>(std::max<std::size_t>(1, reads_.size()));
  return std::min(share, settings_.engine_gigabytes_per_second);
}

/// Books what was read since the anchor; nothing is read during an outage.
void WeightStoreModel::advance() {
  const core::MonotonicTime from = std::max(anchor_, std::min(outage_until_, events_.now()));
  const double gigabytes = rate_of_one() * core::to_seconds(events_.now() - from);
  for (auto& [id, read] : reads_) {
    read.gigabytes_left -= gigabytes;
  }
  anchor_ = events_.now();
}

WeightStoreModel::ReadId WeightStoreModel::read(std::function<void()> done) {
  advance();
  const ReadId id = next_read_++;
  reads_.emplace(id, Read{settings_.size_gigabytes, std::move(done)});
  schedule();
  return id;
}

void WeightStoreModel::cancel(ReadId id) {
  advance();
  reads_.erase(id);
  schedule();
}

void WeightStoreModel::set_outage(core::MonotonicTime until) {
  advance();
  outage_until_ = until;
  schedule();
}

void WeightStoreModel::schedule() {
  ++generation_;
  if (reads_.empty()) {
    return;
  }
  const auto first =
      std::min_element(reads_.begin(), reads_.end(), [](const auto& left, const auto& right) {
        return left.second.gigabytes_left < right.second.gigabytes_left;
      });
  const core::MonotonicTime from = std::max(events_.now(), outage_until_);
  const double seconds = std::max(0.0, first->second.gigabytes_left) / rate_of_one();
  events_.at(from + core::from_seconds(seconds),
             [this, generation = generation_] { on_timer(generation); });
}

void WeightStoreModel::on_timer(std::uint64_t generation) {
  if (generation != generation_) {
    return;
  }
  advance();
  std::vector<std::function<void()>> ended;
  for (auto entry = reads_.begin(); entry != reads_.end();) {
    if (entry->second.gigabytes_left <= kRoundingGigabytes) {
      ended.push_back(std::move(entry->second.done));
      entry = reads_.erase(entry);
    } else {
      ++entry;
    }
  }
  schedule();
  for (const auto& done : ended) {
    done();
  }
}

}  // namespace stoneport::bench
