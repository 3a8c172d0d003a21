#include "jobs/job_records.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>

#include "core/json_text.hpp"
#include "core/numbers.hpp"

namespace stoneport::jobs {
namespace {

constexpr std::string_view kEndedSuffix = "/ended";
/// The next byte after '/'.
constexpr char kAfterSlash = '0';
constexpr std::size_t kLongestId = 100;

template <class Number>
Number number_field(const nlohmann::json& object, const char* name) {
  const auto found = object.find(name);
  return found != object.end() && found->is_number_unsigned() ? found->get<Number>() : Number{0};
}

std::string text_field(const nlohmann::json& object, const char* name) {
  const auto found = object.find(name);
  return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::optional<JobResult> parse_result(const std::string& text) {
  const std::optional<nlohmann::json> value = core::parse_json(text);
  if (!value || !value->is_object() || !value->contains("versions")) {
    return std::nullopt;
  }
  JobResult result;
  result.item = text_field(*value, "item");
  const bool is_completed = text_field(*value, "state") == "completed";
  result.state = is_completed ? ResultState::kCompleted : ResultState::kTerminated;
  result.text = text_field(*value, "text");
  result.score = text_field(*value, "score");
  for (const nlohmann::json& version : (*value)["versions"]) {
    if (version.is_number_unsigned()) {
      result.versions.push_back(version.get<std::uint64_t>());
    }
  }
  return result;
}

/// Position, chunk and number of chunks in a result's key.
struct ResultPlace {
  std::uint64_t position = 0;
  std::uint64_t chunk = 0;
};

std::optional<ResultPlace> parse_result_key(std::string_view job, std::string_view key) {
  const std::string start = start_of_job(job);
  if (!key.starts_with(start)) {
    return std::nullopt;
  }
  key.remove_prefix(start.size());
  const std::size_t slash = key.find('/');
  if (slash == std::string_view::npos) {
    return std::nullopt;
  }
  const auto position = core::parse_number<std::uint64_t>(key.substr(0, slash));
  const auto chunk = core::parse_number<std::uint64_t>(key.substr(slash + 1));
  if (!position || !chunk) {
    return std::nullopt;
  }
  return ResultPlace{*position, *chunk};
}

/// Removes the number of chunks, which precedes a colon at the start of a result's first chunk.
std::optional<std::uint64_t> take_chunk_count(std::string& first_chunk) {
  const std::size_t colon = first_chunk.find(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  const auto count = core::parse_number<std::uint64_t>(first_chunk.substr(0, colon));
  first_chunk.erase(0, colon + 1);
  return count;
}

}  // namespace

bool can_access(const JobIndexEntry& entry, const core::TenantName& caller) {
  return entry.tenant.empty() || entry.tenant == caller;
}

std::string job_key(std::string_view job) {
  return std::string(job);
}
std::string ended_key(std::string_view job) {
  return std::string(job).append(kEndedSuffix);
}
std::string start_of_job(std::string_view job) {
  return std::string(job) + '/';
}
std::string end_of_job(std::string_view job) {
  return std::string(job) + kAfterSlash;
}
std::string body_key(std::string_view job, std::size_t chunk) {
  return fmt::format("{}/{:06}", job, chunk);
}
std::string result_key(std::string_view job, std::uint64_t position, std::size_t chunk) {
  return fmt::format("{}/{:08}/{:04}", job, position, chunk);
}
std::string checkpoint_key(std::string_view job, const Checkpoint& checkpoint) {
  return fmt::format("{}/{}/{:06}/{:08}", job, checkpoint.item, checkpoint.lineage,
                     checkpoint.first_event);
}

bool is_valid_id(std::string_view id) {
  return !id.empty() && id.size() <= kLongestId &&
         std::all_of(id.begin(), id.end(), [](char character) {
           const auto byte = static_cast<unsigned char>(character);
           return byte > 0x20 && byte < 0x7f && character != '/';
         });
}

std::string encode_index_entry(const JobIndexEntry& entry) {
  return core::write_json({{"host", entry.host},
                           {"path", entry.path},
                           {"items", entry.item_count},
                           {"chunks", entry.body_chunks},
                           {"accepted_ms", entry.accepted_at.count()},
                           {"tenant", entry.tenant.value()}});
}

std::map<std::string, JobIndexEntry> decode_index(const std::vector<ports::Record>& records,
                                                  std::uint64_t& malformed) {
  std::map<std::string, JobIndexEntry> jobs;
  for (const ports::Record& record : records) {
    if (record.key.find('/') != std::string::npos) {
      continue;
    }
    const std::optional<nlohmann::json> value = core::parse_json(record.value);
    if (!value || !value->is_object()) {
      ++malformed;
      continue;
    }
    JobIndexEntry entry;
    entry.host = text_field(*value, "host");
    entry.path = text_field(*value, "path");
    entry.item_count = number_field<std::uint32_t>(*value, "items");
    entry.body_chunks = number_field<std::uint32_t>(*value, "chunks");
    entry.accepted_at = ports::StoreTime(number_field<std::uint64_t>(*value, "accepted_ms"));
    entry.tenant = core::TenantName(text_field(*value, "tenant"));
    jobs[record.key] = entry;
  }
  for (const ports::Record& record : records) {
    const std::size_t slash = record.key.find('/');
    const auto job = jobs.find(record.key.substr(0, slash));
    if (slash == std::string::npos || job == jobs.end()) {
      continue;
    }
    job->second.ended |= record.key.ends_with(kEndedSuffix);
  }
  return jobs;
}

std::vector<std::string> split_value(const std::string& value, std::size_t limit) {
  std::vector<std::string> pieces;
  std::size_t start = 0;
  do {
    pieces.push_back(value.substr(start, limit));
    start += limit;
  } while (start < value.size());
  return pieces;
}

std::vector<ports::RecordWrite> encode_result(std::string_view job, std::uint64_t position,
                                              const JobResult& result, std::size_t record_bytes) {
  constexpr std::size_t kCountBytes = 16;  // room for the number of chunks
  const bool is_completed = result.state == ResultState::kCompleted;
  const std::string text = core::write_json({{"item", result.item},
                                             {"state", is_completed ? "completed" : "terminated"},
                                             {"text", result.text},
                                             {"versions", result.versions},
                                             {"score", result.score}});
  std::vector<std::string> pieces = split_value(text, record_bytes - kCountBytes);
  pieces.front().insert(0, std::to_string(pieces.size()) + ":");
  std::vector<ports::RecordWrite> writes;
  for (std::size_t chunk = 0; chunk < pieces.size(); ++chunk) {
    writes.push_back(
        {std::string(kResultTable), result_key(job, position, chunk), std::move(pieces[chunk])});
  }
  return writes;
}

std::vector<JobResult> decode_results(std::string_view job, std::uint64_t first,
                                      const std::vector<ports::Record>& records) {
  std::vector<JobResult> results;
  std::string text;
  std::uint64_t chunks_wanted = 0;
  std::uint64_t chunks_found = 0;
  for (const ports::Record& record : records) {
    const std::optional<ResultPlace> place = parse_result_key(job, record.key);
    const std::uint64_t expected_position = first + results.size();
    if (!place || place->position != expected_position || place->chunk != chunks_found) {
      break;
    }
    std::string piece = record.value;
    if (chunks_found == 0) {
      const std::optional<std::uint64_t> count = take_chunk_count(piece);
      if (!count) {
        break;
      }
      chunks_wanted = *count;
      text.clear();
    }
    text += piece;
    ++chunks_found;
    if (chunks_found < chunks_wanted) {
      continue;
    }
    std::optional<JobResult> result = parse_result(text);
    if (!result) {
      break;
    }
    results.push_back(std::move(*result));
    chunks_found = 0;
  }
  return results;
}

ports::RecordWrite encode_checkpoint(std::string_view job, const Checkpoint& checkpoint) {
  return {std::string(kCheckpointTable), checkpoint_key(job, checkpoint),
          core::write_json({{"item", checkpoint.item},
                            {"lineage", checkpoint.lineage},
                            {"first", checkpoint.first_event},
                            {"events", checkpoint.events},
                            {"versions", checkpoint.versions}})};
}

std::optional<Checkpoint> decode_checkpoint(const ports::Record& record) {
  const std::optional<nlohmann::json> value = core::parse_json(record.value);
  const bool has_lists = value && value->is_object() && value->contains("events") &&
                         value->contains("versions") &&
                         (*value)["events"].size() == (*value)["versions"].size();
  if (!has_lists) {
    return std::nullopt;
  }
  Checkpoint checkpoint;
  checkpoint.item = text_field(*value, "item");
  checkpoint.lineage = number_field<std::uint32_t>(*value, "lineage");
  checkpoint.first_event = number_field<std::uint64_t>(*value, "first");
  for (const nlohmann::json& event : (*value)["events"]) {
    if (!event.is_string()) {
      return std::nullopt;
    }
    checkpoint.events.push_back(event.get<std::string>());
  }
  for (const nlohmann::json& version : (*value)["versions"]) {
    if (!version.is_number_unsigned()) {
      return std::nullopt;
    }
    checkpoint.versions.push_back(version.get<std::uint64_t>());
  }
  return checkpoint;
}

std::string encode_sent_at(std::optional<ports::StoreTime> now) {
  return std::to_string(now.value_or(ports::StoreTime(0)).count());
}

core::Duration age_of(const std::string& value, std::optional<ports::StoreTime> now) {
  const auto sent = core::parse_number<std::int64_t>(value);
  if (!sent || !now || *sent == 0) {
    return core::Duration(0);
  }
  return std::max(core::Duration(0), core::Duration(*now - ports::StoreTime(*sent)));
}

std::string encode_term(const TermRecord& term) {
  return core::write_json({{"epoch", term.epoch}, {"holder", term.holder}});
}

std::optional<TermRecord> decode_term(std::string_view value) {
  const std::optional<nlohmann::json> json = core::parse_json(value);
  if (!json || !json->is_object()) {
    return std::nullopt;
  }
  TermRecord term;
  term.epoch = number_field<std::uint64_t>(*json, "epoch");
  term.holder = text_field(*json, "holder");
  return term;
}

}  // namespace stoneport::jobs
