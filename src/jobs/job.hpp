/// \file
/// Batch jobs as plain values: what was submitted, and the results.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/error.hpp"
#include "core/identifiers.hpp"
#include "http/message.hpp"
#include "ports/record_store.hpp"

namespace stoneport::jobs {

/// A call that rates a whole text; its answer's signature is the text's score.
struct ScoringCall {
  std::string request_id;
  std::string host;
  std::string path;
  std::string body;
};

struct JobItem {
  std::string id;
  std::string path;
  http::HeaderMap headers;
  std::string body;
  std::uint64_t expected_tokens = 0;  ///< the client's guess of the tokens made; zero unknown
  std::string group;                  ///< items of a group share their prompt
  std::optional<ScoringCall> scoring;
};

struct Job {
  std::string id;
  std::string host;
  std::string path;  ///< that it was submitted to; its route is found by it
  core::ModelName model;
  core::WeightVersion oldest_version;  ///< of the weights that may make its texts
  std::uint32_t wanted_groups = 0;
  std::vector<JobItem> items;
};

/// A job as it arrives: its body is kept as it came and parsed where it runs.
struct JobSubmission {
  std::string id;
  std::string host;
  std::string path;
  std::string body;
  core::TenantName tenant = {};  ///< whose job it is; empty where requests need no key
};

/// Reads the body of a submission.
class JobParser {
 public:
  virtual ~JobParser() = default;
  /// \return kInvalidArgument for a body that is no job.
  virtual core::Result<Job> parse(const JobSubmission& submission) const = 0;
};

enum class ResultState { kCompleted, kTerminated };

/// One entry of a job's list. Once listed, its position and content stay.
struct JobResult {
  std::string item;
  ResultState state = ResultState::kCompleted;
  std::string text;
  std::vector<std::uint64_t> versions;  ///< every weight version that made an event, rising
  std::string score;
};

/// Events that were made of an item's text, to go on from after a take-over.
struct Checkpoint {
  std::string item;
  std::uint32_t lineage = 0;      ///< a text begun anew has a higher one
  std::uint64_t first_event = 0;  ///< number of the first event held
  std::vector<std::string> events;
  std::vector<std::uint64_t> versions;  ///< of each event
};

}  // namespace stoneport::jobs
