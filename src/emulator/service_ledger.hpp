/// \file
/// What the replicas of one ordinary service truly ran. Shared by the replicas'
/// event loops.
#pragma once

#include <cstdint>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace stoneport::emulator {

struct LedgerSummary {
  std::uint64_t runs = 0;
  std::uint64_t distinct_requests = 0;
  std::uint64_t unidentified_runs = 0;  ///< without a request id
  std::uint64_t non_repeatable_runs = 0;
  std::uint64_t non_repeatable_distinct = 0;
  std::uint64_t non_repeatable_double_runs = 0;  ///< runs beyond the first of a request
  std::vector<std::string> double_run_ids;       ///< the first few of them
};

template <class Visitor>
void visit_fields(Visitor& visitor, LedgerSummary& summary) {
  visitor("runs", summary.runs);
  visitor("distinct_requests", summary.distinct_requests);
  visitor("unidentified_runs", summary.unidentified_runs);
  visitor("non_repeatable_runs", summary.non_repeatable_runs);
  visitor("non_repeatable_distinct", summary.non_repeatable_distinct);
  visitor("non_repeatable_double_runs", summary.non_repeatable_double_runs);
  visitor("double_run_ids", summary.double_run_ids);
}

class ServiceLedger {
 public:
  /// Counts one run of the request \p id (empty: unidentified).
  /// \return how often it has run now.
  std::uint64_t count_run(const std::string& id, bool repeatable) {
    const std::lock_guard lock(mutex_);
    ++summary_.runs;
    summary_.non_repeatable_runs += repeatable ? 0 : 1;
    if (id.empty()) {
      ++summary_.unidentified_runs;
      return 1;
    }
    const std::uint64_t runs = ++runs_[id];
    if (runs == 1) {
      ++summary_.distinct_requests;
      summary_.non_repeatable_distinct += repeatable ? 0 : 1;
    } else if (!repeatable) {
      count_double_run(id);
    }
    return runs;
  }

  std::uint64_t runs_of(const std::string& id) const {
    const std::lock_guard lock(mutex_);
    const auto found = runs_.find(id);
    return found == runs_.end() ? 0 : found->second;
  }

  LedgerSummary summary() const {
    const std::lock_guard lock(mutex_);
    return summary_;
  }

 private:
  static constexpr std::size_t kListedDoubleRuns = 20;
  void count_double_run(const std::string& id) {
    ++summary_.non_repeatable_double_runs;
    if (summary_.double_run_ids.size() < kListedDoubleRuns) {
      summary_.double_run_ids.push_back(id);
    }
  }

  mutable std::mutex mutex_;
  std::unordered_map<std::string, std::uint64_t> runs_;  ///< by request id
  LedgerSummary summary_;
};

}  // namespace stoneport::emulator
