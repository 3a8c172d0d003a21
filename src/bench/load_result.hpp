/// \file
/// What a load run counted, from the caller's side alone.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "bench/statistics.hpp"

namespace stoneport::bench {

/// How one request ended, as its caller sees it.
enum class LoadOutcome {
  kCompleted,
  kNotRun,   ///< stated by stoneport, or no byte of it left the caller
  kUnknown,  ///< stated by stoneport, or cut after bytes had left the caller
};

/// Idempotency keys of one outcome among the non-repeatable requests, for
/// comparison with the ledger of the service that ran them.
struct NonRepeatableIds {
  std::vector<std::string> completed;
  std::vector<std::string> not_run;
  std::vector<std::string> unknown;
};

/// Counts of one load run or of a part of it. Parts are added up.
struct LoadResult {
  std::uint64_t sent = 0;
  std::uint64_t completed = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  /// Answers without a Stoneport-Outcome header, which every answer must carry.
  std::uint64_t outcome_missing = 0;
  /// Bodies that were not the whole answer to their own request.
  std::uint64_t wrong_answers = 0;
  std::map<unsigned, std::uint64_t> by_status;
  std::map<std::string, std::uint64_t> by_client_error;
  std::vector<std::string> wrong_answer_examples;
  NonRepeatableIds non_repeatable;
  Distribution latency_ms;     ///< from the send to the end of the body, completed requests
  Distribution late_start_ms;  ///< how far behind its planned time a request was sent
  double seconds = 0;

  void add(const LoadResult& other);
  bool ok() const { return wrong_answers == 0 && outcome_missing == 0; }
};

/// Both sides of one comparison with a direct connection.
struct LoadReport {
  LoadResult through;
  LoadResult direct;  ///< sent == 0 when no direct baseline was asked for
};

nlohmann::json to_json(const LoadReport& report);

}  // namespace stoneport::bench
