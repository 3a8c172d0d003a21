/// \file
/// Documents: reading, writing, checks of one and of the whole, differences,
/// and the record that is stored and passed on.
#include <cppunit/extensions/HelperMacros.h>

#include "config/configuration_check.hpp"
#include "config/configuration_record.hpp"
#include "config/publish_plan.hpp"

namespace stoneport::config {
namespace {

Document read(const std::string& text) {
  return *read_document(*source_from_toml(text, "test.toml"));
}

Document event_template(const std::string& name) {
  return read("kind = \"event-template\"\nname = \"" + name + "\"\nmodel = \"proposal\"\n");
}

Document parameters(const std::string& name, const std::string& rest) {
  return read("kind = \"parameters\"\nname = \"" + name + "\"\ntenant = \"abay\"\n" + rest);
}

Document event_parameters(const std::string& name, const std::string& event_template) {
  return parameters(name,
                    "event_template = \"" + event_template + "\"\npolicy = \"proposal-policy\"\n");
}

Document service_template(const std::string& name, const std::string& service) {
  return read("kind = \"service-template\"\nname = \"" + name + "\"\nservice = \"" + service +
              "\"\n");
}

PublishPlan plan(const ConfigurationRecord& newest, const Document& document,
                 std::uint64_t base_revision) {
  const PublishRequest request{document, core::Revision(base_revision), "selam", "why"};
  return plan_publish(newest, request, core::WallTime());
}

/// \return \p newest with each document published on top.
ConfigurationRecord publish(ConfigurationRecord newest, const std::vector<Document>& documents) {
  for (const Document& document : documents) {
    const DocumentRecord* published = newest.find(key_of(document));
    const std::uint64_t base = published == nullptr ? 0 : published->revision.value();
    newest = std::get<PublishCommit>(plan(newest, document, base)).record;
  }
  return newest;
}

struct ProblemCase {
  std::string text;
  std::string key;
  std::uint32_t line;
  std::string allowed;  ///< part of it
};

class DocumentTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DocumentTest);
  CPPUNIT_TEST(examples_are_valid_together);
  CPPUNIT_TEST(toml_and_json_read_back_the_same);
  CPPUNIT_TEST(names_the_place_of_each_problem);
  CPPUNIT_TEST(reports_every_problem_of_the_whole);
  CPPUNIT_TEST(stored_documents_may_have_unknown_keys);
  CPPUNIT_TEST(differences_by_key);
  CPPUNIT_TEST(publishing_numbers_the_whole);
  CPPUNIT_TEST(a_stale_base_is_a_conflict_with_both_sides);
  CPPUNIT_TEST(a_repeat_changes_nothing);
  CPPUNIT_TEST(an_invalid_whole_is_refused);
  CPPUNIT_TEST(a_delta_gives_the_whole);
  CPPUNIT_TEST(malformed_deltas_are_refused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void examples_are_valid_together() {
    std::map<DocumentKey, Document> documents;
    for (const std::string name : {"compound-proposals", "compounds", "topups", "prepaid-topups",
                                   "materials", "abay-materials"}) {
      const auto source = source_from_toml_file("examples/" + name + ".toml");
      CPPUNIT_ASSERT_MESSAGE(name, source.has_value());
      const auto document = read_document(*source);
      CPPUNIT_ASSERT_MESSAGE(name, document.has_value());
      documents.emplace(key_of(*document), *document);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, documents.size());
    ConfigurationRecord record;
    for (const auto& [key, document] : documents) {
      record = publish(record, {document});
    }
    const auto whole = build_configuration(record);
    CPPUNIT_ASSERT(whole.has_value());
    CPPUNIT_ASSERT(whole->find_event(core::EventName("compounds")));
    CPPUNIT_ASSERT(whole->find_service(core::ServiceName("topups")) != nullptr);
  }

  void toml_and_json_read_back_the_same() {
    const Document document =
        parameters("compounds",
                   "event_template = \"t\"\npolicy = \"p\"\nscorers = [\"a\", \"b\"]\n"
                   "scheduled_start = 2026-12-02T08:00:00Z\nage_bound = 0\npriority = -3\n");
    const std::string canonical = write_document(document).dump();
    const Document from_toml = read(document_to_toml(document));
    CPPUNIT_ASSERT_EQUAL(canonical, write_document(from_toml).dump());
    const auto from_json = read_document(*source_from_json(nlohmann::json::parse(canonical), "x"));
    CPPUNIT_ASSERT_EQUAL(canonical, write_document(*from_json).dump());
    CPPUNIT_ASSERT(canonical.find("\"scheduled_start\":\"2026-12-02T08:00:00Z\"") !=
                   std::string::npos);
  }

  void names_the_place_of_each_problem() {
    const std::string event = "kind = \"event-template\"\nname = \"t\"\nmodel = \"m\"\n";
    const std::string service = "kind = \"service-template\"\nname = \"t\"\nservice = \"s\"\n";
    const std::string fill = "kind = \"parameters\"\nname = \"p\"\ntenant = \"abay\"\n";
    const std::string both = "event_template = \"t\"\nservice_template = \"s\"\n";
    const std::vector<ProblemCase> cases = {
        {"name = \"t\"\n", "kind", 0, "one of event-template"},
        {"kind = \"event-templat\"\n", "kind", 1, "nearest is 'event-template'"},
        {event + "samples_per_promt = 3\n", "samples_per_promt", 4, "'samples_per_prompt'"},
        {event + "over_sampling = -0.1\n", "over_sampling", 4, "from 0 to 4"},
        {event + "temperature = nan\n", "temperature", 4, "from 0 to 10"},
        {event + "max_tokens = 4294967297\n", "max_tokens", 4, "from 1 to"},
        {event + "allow_migration = 1\n", "allow_migration", 4, "true or false"},
        {event + "warm_up = 30\n", "warm_up", 4, "a duration"},
        {service + "repeatable_methods = [\"GET\", \"GET\"]\n", "repeatable_methods", 4,
         "without repeats"},
        {service + "default_deadline = \"5m\"\n", "default_deadline", 4,
         "at most longest_deadline"},
        {fill, "event_template", 0, "exactly one"},
        {fill + both, "service_template", 5, "exactly one"},
        {fill + "event_template = \"t\"\n", "policy", 0, "a policy"},
        {fill + "service_template = \"t\"\nscorers = [\"a\"]\n", "scorers", 5, "nothing"},
        {fill + "event_template = \"t\"\npolicy = \"p\"\nscheduled_start = 2026-12-02\n",
         "scheduled_start", 6, "a time such as"},
        {"kind = \"event-template\"\nname = \"a/b\"\nmodel = \"m\"\n", "name", 2, "letters"},
    };
    for (const ProblemCase& each : cases) {
      const auto document = read_document(*source_from_toml(each.text, "test.toml"));
      CPPUNIT_ASSERT_MESSAGE(each.text, document.has_error());
      const Problems problems = document.error();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(each.text, std::size_t{1}, problems.size());
      CPPUNIT_ASSERT_EQUAL(each.key, problems[0].key);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(each.text, each.line, problems[0].line);
      CPPUNIT_ASSERT_MESSAGE(problems[0].allowed,
                             problems[0].allowed.find(each.allowed) != std::string::npos);
    }
  }

  void reports_every_problem_of_the_whole() {
    Configuration whole;
    whole.event_templates.emplace("compounds", EventTemplate());
    for (const std::string name : {"a", "b"}) {
      ServiceTemplate service;
      service.service = core::ServiceName("topups");
      whole.service_templates.emplace(name, service);
      TenantParameters fill;
      fill.name = name;
      fill.service_template = core::TemplateName("a");
      whole.parameters.emplace(name, fill);
    }
    TenantParameters event;
    event.name = "event";
    event.event_template = core::TemplateName("compound");
    whole.parameters.emplace("event", event);

    const Problems problems = check_configuration(whole);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, problems.size());
    CPPUNIT_ASSERT_EQUAL(
        std::string("parameters/event: event_template: found compound; allowed: a published "
                    "template; the nearest is 'compounds'"),
        to_string(problems[0]));
    CPPUNIT_ASSERT_EQUAL(std::string("templates/b"), problems[1].file);
    CPPUNIT_ASSERT_EQUAL(std::string("parameters/b"), problems[2].file);
    CPPUNIT_ASSERT(problems_from_json(to_json_value(problems)) == problems);
  }

  void stored_documents_may_have_unknown_keys() {
    ConfigurationRecord record = publish({}, {event_template("t")});
    record.documents.begin()->second.document["from_the_future"] = 1;
    CPPUNIT_ASSERT(build_configuration(record).has_value());
    record.documents.begin()->second.document["max_tokens"] = 0;
    CPPUNIT_ASSERT(build_configuration(record).has_error());
  }

  void differences_by_key() {
    const nlohmann::json before = {{"a", 1}, {"b", 2}, {"c", 3}};
    const nlohmann::json after = {{"a", 1}, {"b", 5}, {"d", 4}};
    const std::vector<DocumentChange> expected = {
        {"b", 2, 5}, {"c", 3, nullptr}, {"d", nullptr, 4}};
    CPPUNIT_ASSERT(diff_documents(before, after) == expected);
    CPPUNIT_ASSERT(diff_documents(before, before).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, diff_documents(nullptr, after).size());
  }

  void publishing_numbers_the_whole() {
    const auto record = publish({}, {event_template("t"), event_parameters("e", "t")});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, record.revision.value());
    const DocumentRecord* first = record.find({DocumentGroup::kTemplates, "t"});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, first->revision.value());
    CPPUNIT_ASSERT_EQUAL(std::string("selam"), first->author);
  }

  void a_stale_base_is_a_conflict_with_both_sides() {
    const auto newest =
        publish({}, {event_template("t"), event_parameters("e", "t"),
                     parameters("e", "event_template = \"t\"\npolicy = \"p\"\nage_bound = 3\n")});
    const Document proposed =
        parameters("e", "event_template = \"t\"\npolicy = \"p\"\nage_bound = 2\n");
    for (const std::uint64_t base : {0, 1, 2, 4}) {
      const auto conflict = std::get<PublishConflict>(plan(newest, proposed, base));
      CPPUNIT_ASSERT_EQUAL(base, conflict.base_revision.value());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, conflict.in_force.revision.value());
      const std::vector<DocumentChange> expected = {{"age_bound", 3, 2}};
      CPPUNIT_ASSERT(conflict.changes == expected);
    }
    CPPUNIT_ASSERT(std::holds_alternative<PublishCommit>(plan(newest, proposed, 3)));
    const auto missing = plan(newest, event_template("new"), 1);
    CPPUNIT_ASSERT(std::holds_alternative<PublishConflict>(missing));
  }

  void a_repeat_changes_nothing() {
    const auto newest = publish({}, {event_template("t"), event_parameters("e", "t")});
    for (const std::uint64_t base : {0, 1, 9}) {
      const auto unchanged = std::get<PublishUnchanged>(plan(newest, event_template("t"), base));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, unchanged.revision.value());
    }
  }

  void an_invalid_whole_is_refused() {
    const auto newest = publish({}, {service_template("a", "topups")});
    const auto missing = plan(newest, event_parameters("e", "t"), 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, std::get<PublishInvalid>(missing).problems.size());
    const auto twice = plan(newest, service_template("b", "topups"), 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, std::get<PublishInvalid>(twice).problems.size());
  }

  void a_delta_gives_the_whole() {
    const auto first = publish({}, {event_template("t")});
    const auto second = publish(first, {event_parameters("e", "t"), event_template("u")});
    for (const ConfigurationRecord& base : {ConfigurationRecord(), first, second}) {
      const auto delta = delta_since(second, base.revision);
      const auto passed_on = delta_from_json(nlohmann::json::parse(to_json_value(delta).dump()));
      CPPUNIT_ASSERT_EQUAL(hash_of(second), hash_of(apply_delta(base, *passed_on)));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                         delta_since(second, first.revision).changed.documents.size());
  }

  void malformed_deltas_are_refused() {
    const auto good = to_json_value(delta_since(publish({}, {event_template("t")}), {}));
    for (const std::string key : {"revision", "since", "hash", "documents"}) {
      for (const nlohmann::json& value :
           std::vector<nlohmann::json>{nullptr, "x", -1, {{"x", 1}}}) {
        nlohmann::json bad = good;
        bad[key] = value;
        const auto delta = delta_from_json(bad);
        const bool refused =
            delta.has_error() || hash_of(apply_delta({}, *delta)) != delta->whole_hash;
        CPPUNIT_ASSERT_MESSAGE(key + " " + value.dump(), refused);
      }
    }
    for (const nlohmann::json& bad :
         std::vector<nlohmann::json>{nullptr, 1, nlohmann::json::array()}) {
      CPPUNIT_ASSERT(delta_from_json(bad).has_error());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DocumentTest);

}  // namespace
}  // namespace stoneport::config
