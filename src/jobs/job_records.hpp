/// \file
/// Storage format of jobs, results, checkpoints and the coordinator's term: tables, keys and
/// values. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jobs/job.hpp"

namespace stoneport::jobs {

/// Partition that clients' requests write: jobs and their ends. Separate from the coordinator's
/// writes, so that neither queues behind the other when the store is slow.
inline constexpr std::string_view kSubmissionPartition = "submissions";
/// Partition that the coordinator writes. It also holds the term, on which each of these writes is
/// conditional.
inline constexpr std::string_view kTermPartition = "term";
inline constexpr std::string_view kIndexTable = "stoneport-job-index";
inline constexpr std::string_view kBodyTable = "stoneport-job-body";
inline constexpr std::string_view kWholeTable = "stoneport-job-whole";
inline constexpr std::string_view kResultTable = "stoneport-job-result";
inline constexpr std::string_view kCheckpointTable = "stoneport-job-checkpoint";
inline constexpr std::string_view kTermTable = "stoneport-coordinator";
/// When a replica was last ordered to load weights, by the store's time; one key per replica.
inline constexpr std::string_view kOrderTable = "stoneport-weight-order";
inline constexpr std::string_view kTermKey = "term";
inline constexpr std::string_view kHeartbeatKey = "heartbeat";

/// A job in the index. The index has two keys per job, each written once.
struct JobIndexEntry {
  std::string host;
  std::string path;
  std::uint32_t item_count = 0;
  std::uint32_t body_chunks = 0;
  ports::StoreTime accepted_at{};
  bool ended = false;  ///< whether the client ended it
  /// Owner of the job; empty for jobs of requests without an API key, and in records written before
  /// tenants were introduced.
  core::TenantName tenant = {};
};

/// \return whether \p caller may access the job: its own tenant may, and everyone if it has none.
bool can_access(const JobIndexEntry& entry, const core::TenantName& caller);

std::string job_key(std::string_view job);
std::string ended_key(std::string_view job);
std::string body_key(std::string_view job, std::size_t chunk);
/// \param position index of the result in the job's list, from 0
std::string result_key(std::string_view job, std::uint64_t position, std::size_t chunk);
std::string checkpoint_key(std::string_view job, const Checkpoint& checkpoint);
/// \return the first key after all keys of the job, in any table but the index.
std::string end_of_job(std::string_view job);
std::string start_of_job(std::string_view job);
/// \return whether \p id can be part of a key.
bool is_valid_id(std::string_view id);

std::string encode_index_entry(const JobIndexEntry& entry);
/// \return the jobs in the records of the index, by id; records that do not parse are skipped and
/// counted in \p malformed.
std::map<std::string, JobIndexEntry> decode_index(const std::vector<ports::Record>& records,
                                                  std::uint64_t& malformed);

/// Splits \p value into chunks of at most \p limit bytes; returns at least one chunk.
std::vector<std::string> split_value(const std::string& value, std::size_t limit);

std::vector<ports::RecordWrite> encode_result(std::string_view job, std::uint64_t position,
                                              const JobResult& result, std::size_t record_bytes);
/// \param records records of one job, in key order
/// \return the complete results from \p first up to the first gap.
std::vector<JobResult> decode_results(std::string_view job, std::uint64_t first,
                                      const std::vector<ports::Record>& records);

ports::RecordWrite encode_checkpoint(std::string_view job, const Checkpoint& checkpoint);
std::optional<Checkpoint> decode_checkpoint(const ports::Record& record);

/// Holder of the coordinator term. The epoch grows with every holder; after a release there is no
/// holder.
struct TermRecord {
  std::uint64_t epoch = 0;
  std::string holder;
};
/// Encodes the value of a heartbeat or an order's announcement: the store's time at which it was
/// sent.
std::string encode_sent_at(std::optional<ports::StoreTime> now);
/// \return the time since \p value was sent, or zero when it is unknown.
core::Duration age_of(const std::string& value, std::optional<ports::StoreTime> now);
std::string encode_term(const TermRecord& term);
std::optional<TermRecord> decode_term(std::string_view value);

}  // namespace stoneport::jobs
