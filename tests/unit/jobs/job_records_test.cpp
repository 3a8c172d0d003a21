/// \file
/// Encoding and decoding of jobs and results; malformed or incomplete records are skipped.
#include "jobs/job_records.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include "jobs/open_job.hpp"

namespace stoneport::jobs {

class JobRecordsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JobRecordsTest);
  CPPUNIT_TEST(results_are_read_back_in_any_number_of_chunks);
  CPPUNIT_TEST(a_gap_or_a_missing_chunk_ends_the_list);
  CPPUNIT_TEST(index_marks_ended_jobs);
  CPPUNIT_TEST(malformed_index_records_are_counted);
  CPPUNIT_TEST(texts_are_restored_from_overlapping_checkpoints);
  CPPUNIT_TEST_SUITE_END();

  static JobResult result(const std::string& item, std::size_t length) {
    JobResult made;
    made.item = item;
    made.text = std::string(length, 'x') + "\nend of " + item;
    made.versions = {3, 4};
    made.score = "score-" + item;
    return made;
  }

  static std::vector<ports::Record> records_of(const std::vector<ports::RecordWrite>& writes) {
    std::vector<ports::Record> records;
    for (const ports::RecordWrite& write : writes) {
      records.push_back({write.table, "jobs", write.key, *write.value, core::Revision(1)});
    }
    return records;
  }

  static std::vector<ports::Record> three_results(std::size_t record_bytes) {
    std::vector<ports::Record> all;
    for (std::uint64_t position = 0; position < 3; ++position) {
      const JobResult made = result("item" + std::to_string(position), 100 * position);
      const auto records = records_of(encode_result("job", position, made, record_bytes));
      all.insert(all.end(), records.begin(), records.end());
    }
    return all;
  }

  void results_are_read_back_in_any_number_of_chunks() {
    for (const std::size_t record_bytes : {40u, 100u, 65536u}) {
      const std::vector<JobResult> read = decode_results("job", 0, three_results(record_bytes));
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, read.size());
      for (std::size_t position = 0; position < 3; ++position) {
        const JobResult expected = result("item" + std::to_string(position), 100 * position);
        CPPUNIT_ASSERT_EQUAL(expected.item, read[position].item);
        CPPUNIT_ASSERT_EQUAL(expected.text, read[position].text);
        CPPUNIT_ASSERT_EQUAL(expected.score, read[position].score);
        CPPUNIT_ASSERT(expected.versions == read[position].versions);
      }
    }
  }

  void a_gap_or_a_missing_chunk_ends_the_list() {
    std::vector<ports::Record> records = three_results(100);
    const std::vector<ports::Record> without_last_chunk(records.begin(), records.end() - 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decode_results("job", 0, without_last_chunk).size());
    const auto is_second = [](const ports::Record& record) {
      return record.key.find("/00000001/") != std::string::npos;
    };
    std::erase_if(records, is_second);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decode_results("job", 0, records).size());
    CPPUNIT_ASSERT(decode_results("another", 0, records).empty());
  }

  void index_marks_ended_jobs() {
    JobIndexEntry entry;
    entry.host = "host.example";
    entry.path = "/path/";
    entry.item_count = 7;
    entry.body_chunks = 2;
    entry.accepted_at = ports::StoreTime(1234);
    std::vector<ports::Record> records;
    for (const std::string key : {"a", "b", "b/ended", "c", "gone/ended"}) {
      records.push_back({"index", "jobs", key, encode_index_entry(entry), core::Revision(1)});
    }
    std::uint64_t malformed = 0;
    const auto jobs = decode_index(records, malformed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, jobs.size());
    CPPUNIT_ASSERT(!jobs.at("a").ended && !jobs.at("c").ended);
    CPPUNIT_ASSERT(jobs.at("b").ended);
    CPPUNIT_ASSERT_EQUAL(std::string("/path/"), jobs.at("a").path);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{7}, jobs.at("a").item_count);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1234}, jobs.at("a").accepted_at.count());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, malformed);
  }

  void malformed_index_records_are_counted() {
    const std::vector<ports::Record> records = {
        {"index", "jobs", "a", "no json", core::Revision(1)},
        {"index", "jobs", "b", "[1]", core::Revision(1)}};
    std::uint64_t malformed = 0;
    CPPUNIT_ASSERT(decode_index(records, malformed).empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, malformed);
  }

  static Checkpoint checkpoint(std::uint32_t lineage, std::uint64_t first,
                               std::vector<std::string> events) {
    Checkpoint made;
    made.item = "item";
    made.lineage = lineage;
    made.first_event = first;
    made.versions.assign(events.size(), 5);
    made.events = std::move(events);
    return made;
  }

  void texts_are_restored_from_overlapping_checkpoints() {
    struct Case {
      std::string name;
      std::vector<Checkpoint> checkpoints;
      std::string text;
    };
    const Case cases[] = {
        {"none", {}, ""},
        {"in a row", {checkpoint(0, 1, {"a", "b"}), checkpoint(0, 3, {"c"})}, "a\nb\nc"},
        {"overlap", {checkpoint(0, 1, {"a", "b"}), checkpoint(0, 2, {"b", "c"})}, "a\nb\nc"},
        {"gap", {checkpoint(0, 1, {"a"}), checkpoint(0, 3, {"c"})}, "a"},
        {"a late, shorter write of the same key",
         {checkpoint(0, 1, {"a"}), checkpoint(0, 4, {"d"})},
         "a"},
        {"begun anew", {checkpoint(0, 1, {"a", "b"}), checkpoint(1, 1, {"x"})}, "x"},
    };
    for (const Case& one : cases) {
      std::vector<Checkpoint> read;
      for (const Checkpoint& written : one.checkpoints) {
        const ports::RecordWrite write = encode_checkpoint("job", written);
        const auto decoded =
            decode_checkpoint({write.table, "jobs", write.key, *write.value, core::Revision(1)});
        CPPUNIT_ASSERT_MESSAGE(one.name, decoded.has_value());
        read.push_back(*decoded);
      }
      ItemText text;
      text.restore(read);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, one.text, text.joined());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, text.events.size(), text.versions.size());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, std::uint64_t{text.events.size()}, text.checkpointed);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobRecordsTest);

}  // namespace stoneport::jobs
