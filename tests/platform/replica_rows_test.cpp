/// \file
/// Conversion of the replica rows of the store to changes of the listing.
#include "platform/replica_rows.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "core/random.hpp"
#include "platform/configuration_codec.hpp"

namespace stoneport::platform {

class ReplicaRowsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplicaRowsTest);
  CPPUNIT_TEST(a_new_sequence_number_alone_is_no_change);
  CPPUNIT_TEST(new_field_values_are_a_change);
  CPPUNIT_TEST(a_removed_row_is_a_removal);
  CPPUNIT_TEST(an_undecodable_row_is_no_replica);
  CPPUNIT_TEST(invalid_rows_are_no_replica);
  CPPUNIT_TEST(a_corrupted_row_is_no_replica_until_it_is_repaired);
  CPPUNIT_TEST(mutated_rows_are_decoded_or_skipped);
  CPPUNIT_TEST(a_restarted_replica_gets_a_new_id);
  CPPUNIT_TEST(a_change_of_any_field_is_reported);
  CPPUNIT_TEST(the_cost_of_a_change_is_independent_of_the_listing_size);
  CPPUNIT_TEST_SUITE_END();

  static constexpr core::MonotonicTime kNow{};
  core::Metrics metrics_;
  ReplicaRowReader reader_{metrics_};
  records::RowChanges rows_;  ///< changes since the last look()
  std::uint64_t revision_ = 0;

  void write(const std::string& id, const std::string& value) {
    ports::Record row;
    row.key = id;
    row.value = value;
    row.revision = core::Revision(++revision_);
    rows_.written.push_back(row);
  }
  ingress::ReplicaChanges look() { return reader_.read(std::exchange(rows_, {}), kNow); }
  static std::string entry(std::uint64_t sequence, const std::string& state = "ready") {
    return fmt::format(
        R"({{"service":"models","address":"10.0.0.1:8000","zone":"hall","slots":6,"state":"{}",)"
        R"("models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":{}}})",
        state, sequence);
  }

  void a_new_sequence_number_alone_is_no_change() {
    write("a", entry(1));
    write("b", entry(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, look().written.size());
    write("a", entry(2));
    CPPUNIT_ASSERT(look().empty());
  }

  void new_field_values_are_a_change() {
    write("a", entry(1));
    write("b", entry(1));
    look();
    write("a", entry(2, "draining"));
    const ingress::ReplicaChanges changes = look();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes.written.size());
    CPPUNIT_ASSERT(changes.written.front().draining);
    CPPUNIT_ASSERT(changes.removed.empty());
  }

  void a_removed_row_is_a_removal() {
    write("a", entry(1));
    look();
    rows_.removed.push_back("a");
    const ingress::ReplicaChanges changes = look();
    CPPUNIT_ASSERT(changes.removed == std::vector<core::ReplicaId>{core::ReplicaId("a")});
    CPPUNIT_ASSERT(look().empty());
  }

  void an_undecodable_row_is_no_replica() {
    write("a", entry(1));
    write("b", "{");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, look().written.size());
    write("a", R"({"address":"nowhere"})");
    const ingress::ReplicaChanges changes = look();
    CPPUNIT_ASSERT(changes.written.empty());
    CPPUNIT_ASSERT(changes.removed == std::vector<core::ReplicaId>{core::ReplicaId("a")});
    write("a", entry(3));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, look().written.size());
  }

  /// \return whether \p bytes decode to a replica.
  static bool is_replica(const std::string& bytes) {
    ports::Record row;
    row.key = "a";
    row.value = bytes;
    return decode_replica(row, kNow).has_value();
  }
  static nlohmann::json complete_row() { return nlohmann::json::parse(entry(1)); }

  void invalid_rows_are_no_replica() {
    CPPUNIT_ASSERT(is_replica(complete_row().dump()));
    for (const char* field : {"service", "address", "zone", "slots", "state"}) {
      nlohmann::json row = complete_row();
      row.erase(field);
      CPPUNIT_ASSERT_MESSAGE(field, !is_replica(row.dump()));
    }
    const nlohmann::json others[] = {
        nullptr, true, -1, 1.5, "", "word", nlohmann::json::array({1}), nlohmann::json::object()};
    for (const char* field : {"service", "address", "zone", "slots", "state", "models", "born"}) {
      for (const nlohmann::json& other : others) {
        nlohmann::json row = complete_row();
        row[field] = other;
        const bool is_valid =
            (std::string_view(field) == "service" || std::string_view(field) == "zone") &&
            other == "word";
        CPPUNIT_ASSERT_EQUAL_MESSAGE(row.dump(), is_valid, is_replica(row.dump()));
      }
    }
    for (const std::string bytes : {"", "{", "null", "[]", "\xff\xfe\x01", "17", "\"row\""}) {
      CPPUNIT_ASSERT_MESSAGE(bytes, !is_replica(bytes));
    }
  }

  void a_corrupted_row_is_no_replica_until_it_is_repaired() {
    write("a", entry(1));
    write("b", entry(1));
    look();
    write("a", "\xff");
    const ingress::ReplicaChanges corrupted = look();
    CPPUNIT_ASSERT(corrupted.removed == std::vector<core::ReplicaId>{core::ReplicaId("a")});
    CPPUNIT_ASSERT(corrupted.written.empty());
    write("a", entry(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, look().written.size());
  }

  /// Rows with randomly changed, removed and duplicated bytes must not stop the reader.
  void mutated_rows_are_decoded_or_skipped() {
    constexpr int kRows = 20'000;
    core::RandomSource random(20);
    const std::string whole = entry(1);
    for (int index = 0; index < kRows; ++index) {
      std::string bytes = whole;
      const std::uint64_t changes = random.uniform(1, 4);
      for (std::uint64_t change = 0; change < changes && !bytes.empty(); ++change) {
        const std::size_t place = random.uniform(0, bytes.size() - 1);
        switch (random.uniform(0, 2)) {
          case 0:
            bytes[place] = static_cast<char>(random.uniform(0, 255));
            break;
          case 1:
            bytes.erase(place, random.uniform(1, 8));
            break;
          default:
            bytes.insert(place, bytes.substr(place, random.uniform(1, 8)));
        }
      }
      write("a", bytes);
    }
    const ingress::ReplicaChanges changes = look();
    for (const ingress::ReplicaRecord& record : changes.written) {
      CPPUNIT_ASSERT(!record.service.empty() && !record.zone.empty() && record.slots > 0);
    }
    write("b", entry(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, look().written.size());
  }

  static std::string entry_born(std::uint64_t born) {
    nlohmann::json row = complete_row();
    row["born"] = born;
    return row.dump();
  }

  /// A restarted replica must get a new id, so that state stored under the old id is not reused.
  void a_restarted_replica_gets_a_new_id() {
    constexpr std::uint64_t kFirst = 1'785'831'306'770;
    write("a", entry_born(kFirst));
    const ingress::ReplicaChanges first = look();
    CPPUNIT_ASSERT(first.written.front().id == core::replica_life("a", kFirst));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), core::replica_name(first.written.front().id));
    write("a", entry_born(kFirst));
    CPPUNIT_ASSERT(look().empty());
    write("a", entry_born(kFirst + 1));
    const ingress::ReplicaChanges second = look();
    CPPUNIT_ASSERT(second.written.front().id == core::replica_life("a", kFirst + 1));
    CPPUNIT_ASSERT(second.removed == std::vector<core::ReplicaId>{core::replica_life("a", kFirst)});
    rows_.removed.push_back("a");
    CPPUNIT_ASSERT(look().removed ==
                   std::vector<core::ReplicaId>{core::replica_life("a", kFirst + 1)});
  }

  void a_change_of_any_field_is_reported() {
    const std::pair<const char*, nlohmann::json> others[] = {
        {"service", "other"},
        {"address", "10.0.0.1:8001"},
        {"zone", "other"},
        {"slots", 7},
        {"state", "draining"},
        {"coldRemainingMs", 300},
        {"spot", true},
        {"models", nlohmann::json::array()},
        {"models", nlohmann::json::parse(R"([{"name":"m","version":2}])")},
        {"born", 5}};
    for (const auto& [field, other] : others) {
      write("a", entry(1));
      look();
      nlohmann::json row = complete_row();
      row[field] = other;
      write("a", row.dump());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(field, std::size_t{1}, look().written.size());
    }
  }

  /// A change of one row must decode one row, also when the listing is four times as long.
  void the_cost_of_a_change_is_independent_of_the_listing_size() {
    for (const std::size_t listed : {100u, 400u}) {
      for (std::size_t row = 0; row < listed; ++row) {
        write(fmt::format("row-{}", row), entry(1));
      }
      look();
      write("row-7", entry(2, "draining"));
      const ingress::ReplicaChanges changes = look();
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes.written.size());
      CPPUNIT_ASSERT(changes.removed.empty());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaRowsTest);

}  // namespace stoneport::platform
