/// \file
/// Value types of batch jobs: submissions, items, results and checkpoints.
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

/// Call that rates a complete text; the signature in its answer is the text's score.
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
  std::uint64_t expected_tokens =
      0;              ///< client's estimate of the generated tokens; zero if unknown
  std::string group;  ///< items of a group share their prompt
  std::optional<ScoringCall> scoring;
};

struct Job {
  std::string id;
  std::string host;
  std::string path;  ///< path of the submission, by which its route is found
  core::ModelName model;
  core::WeightVersion oldest_version;  ///< minimum weight version that may generate its texts
  std::uint32_t wanted_groups = 0;
  std::vector<JobItem> items;
};

/// A job as submitted: the body is stored unparsed, and parsed by the coordinator.
struct JobSubmission {
  std::string id;
  std::string host;
  std::string path;
  std::string body;
  core::TenantName tenant = {};  ///< owner; empty where requests need no API key
};

/// Parses the body of a submission.
class JobParser {
 public:
  virtual ~JobParser() = default;
  /// \return kInvalidArgument if the body is not a valid job.
  virtual core::Result<Job> parse(const JobSubmission& submission) const = 0;
};

enum class ResultState { kCompleted, kTerminated };

/// One entry of a job's result list. Its position and content never change once it is listed.
struct JobResult {
  std::string item;
  ResultState state = ResultState::kCompleted;
  std::string text;
  std::vector<std::uint64_t> versions;  ///< weight versions that generated events, ascending
  std::string score;
};

/// Events of an unfinished text, stored so that it can be resumed after a takeover.
struct Checkpoint {
  std::string item;
  std::uint32_t lineage = 0;      ///< higher for a text that was restarted
  std::uint64_t first_event = 0;  ///< index of the first event held
  std::vector<std::string> events;
  std::vector<std::uint64_t> versions;  ///< of each event
};

}  // namespace stoneport::jobs
