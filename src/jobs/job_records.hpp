/// \file
/// How jobs, results, checkpoints and the coordinator's term lie in the store:
/// tables, keys and values. Plain code.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jobs/job.hpp"

namespace stoneport::jobs {

/// What clients write: jobs and their ends. Apart from the coordinator's writes, so
/// that neither waits behind the other when the store is slow.
inline constexpr std::string_view kSubmissionPartition = "submissions";
/// What a coordinator writes, each write conditional on the term that lies here too.
inline constexpr std::string_view kTermPartition = "term";
inline constexpr std::string_view kIndexTable = "stoneport-job-index";
inline constexpr std::string_view kBodyTable = "stoneport-job-body";
inline constexpr std::string_view kWholeTable = "stoneport-job-whole";
inline constexpr std::string_view kResultTable = "stoneport-job-result";
inline constexpr std::string_view kCheckpointTable = "stoneport-job-checkpoint";
inline constexpr std::string_view kTermTable = "stoneport-coordinator";
/// When a replica was last ordered to load, by the store's time; a key a replica.
inline constexpr std::string_view kOrderTable = "stoneport-weight-order";
inline constexpr std::string_view kTermKey = "term";
inline constexpr std::string_view kHeartbeatKey = "heartbeat";

/// A job in the index. The index has two keys a job, each written once.
struct JobIndexEntry {
  std::string host;
  std::string path;
  std::uint32_t item_count = 0;
  std::uint32_t body_chunks = 0;
  ports::StoreTime accepted_at{};
  bool ended = false;  ///< the client ended it
  /// Whose job it is; empty for jobs of requests without a key, and in records written before
  /// tenants were known.
  core::TenantName tenant = {};
};

/// \return whether \p caller may know of the job: its tenant may, and everybody where it has none.
bool can_access(const JobIndexEntry& entry, const core::TenantName& caller);

std::string job_key(std::string_view job);
std::string ended_key(std::string_view job);
std::string body_key(std::string_view job, std::size_t chunk);
/// \param position of the result, from 0
std::string result_key(std::string_view job, std::uint64_t position, std::size_t chunk);
std::string checkpoint_key(std::string_view job, const Checkpoint& checkpoint);
/// The first key after all keys of that job in any table but the index.
std::string end_of_job(std::string_view job);
std::string start_of_job(std::string_view job);
/// \return whether \p id can stand in a key.
bool is_valid_id(std::string_view id);

std::string encode_index_entry(const JobIndexEntry& entry);
/// \return the jobs that the index's records tell of, by id; records that do not
/// parse are left out and counted in \p malformed.
std::map<std::string, JobIndexEntry> decode_index(const std::vector<ports::Record>& records,
                                                  std::uint64_t& malformed);

/// Cuts \p value into pieces of at most \p limit bytes; at least one.
std::vector<std::string> split_value(const std::string& value, std::size_t limit);

std::vector<ports::RecordWrite> encode_result(std::string_view job, std::uint64_t position,
                                              const JobResult& result, std::size_t record_bytes);
/// \param records of one job in order of key
/// \return whole results from \p first on, without a gap.
std::vector<JobResult> decode_results(std::string_view job, std::uint64_t first,
                                      const std::vector<ports::Record>& records);

ports::RecordWrite encode_checkpoint(std::string_view job, const Checkpoint& checkpoint);
std::optional<Checkpoint> decode_checkpoint(const ports::Record& record);

/// Who places work. The epoch grows with every holder; no holder after a release.
struct TermRecord {
  std::uint64_t epoch = 0;
  std::string holder;
};
/// A heartbeat and an order's announcement are the store's time at which they were sent.
std::string encode_sent_at(std::optional<ports::StoreTime> now);
/// \return how long ago, or zero when that is not known.
core::Duration age_of(const std::string& value, std::optional<ports::StoreTime> now);
std::string encode_term(const TermRecord& term);
std::optional<TermRecord> decode_term(std::string_view value);

}  // namespace stoneport::jobs
