/// \file
/// Settings of stoneportd: files, flags, and every problem at once.
#include <cppunit/extensions/HelperMacros.h>
#include <stdlib.h>
#include <unistd.h>

#include <fstream>

#include "config/load_settings.hpp"
#include "config/nearest_name.hpp"
#include "config/settings_schema.hpp"

namespace stoneport::config {
namespace {

const std::string kWhole = R"(node = "node-1"
zone = "bole-hall"
region = "addis"
caller_listener = "127.0.0.1:7000"
admin_listener = "127.0.0.1:7001"
peer_listener = "127.0.0.1:7002"
gossip_listener = "127.0.0.1:7003"
table_service = "127.0.0.1:9001"
object_store = "127.0.0.1:9002"
weight_store = "127.0.0.1:9003"
machine_list = "127.0.0.1:9004"
scoring_service = "127.0.0.1:9005"
)";

/// A settings file that is removed with the object.
class SettingsFile {
 public:
  explicit SettingsFile(const std::string& text) {
    const int descriptor = mkstemp(path_.data());
    close(descriptor);
    std::ofstream(path_) << text;
  }
  ~SettingsFile() { unlink(path_.c_str()); }
  const std::string& path() const { return path_; }

 private:
  std::string path_ = "/tmp/stoneport-settings-XXXXXX";
};

Checked<ParsedCommandLine> parse(const std::string& file, std::vector<std::string> flags = {}) {
  const SettingsFile settings(file);
  std::vector<const char*> arguments = {"stoneportd", "--config", settings.path().c_str()};
  for (const std::string& flag : flags) {
    arguments.push_back(flag.c_str());
  }
  return parse_command_line(static_cast<int>(arguments.size()), arguments.data());
}

struct ProblemCase {
  std::string file;
  std::vector<std::string> flags;
  std::string key;
  std::uint32_t line;
  std::string found;
  std::string allowed;  ///< part of it
};

class SettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(reads_file_and_keeps_defaults);
  CPPUNIT_TEST(a_flag_wins_over_the_file);
  CPPUNIT_TEST(every_setting_is_a_flag);
  CPPUNIT_TEST(names_the_place_of_each_problem);
  CPPUNIT_TEST(reports_every_problem_at_once);
  CPPUNIT_TEST(printed_settings_read_back_the_same);
  CPPUNIT_TEST(check_and_help_do_not_run);
  CPPUNIT_TEST(durations);
  CPPUNIT_TEST(wall_times);
  CPPUNIT_TEST(edit_distances);
  CPPUNIT_TEST_SUITE_END();

 public:
  void reads_file_and_keeps_defaults() {
    const auto parsed = parse(kWhole + "gossip_interval = \"250ms\"\n");
    CPPUNIT_ASSERT(parsed.has_value());
    CPPUNIT_ASSERT(parsed->action == CommandLineAction::kRun);
    const DaemonSettings& settings = parsed->settings;
    CPPUNIT_ASSERT_EQUAL(std::string("node-1"), settings.node.value());
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{7002}, settings.peer_listener.port);
    CPPUNIT_ASSERT(settings.gossip_interval == std::chrono::milliseconds(250));
    CPPUNIT_ASSERT(settings.lease_duration == DaemonSettings().lease_duration);
    CPPUNIT_ASSERT(!settings.trainer_listener);
  }

  void a_flag_wins_over_the_file() {
    const auto parsed = parse(kWhole, {"--node=other", "--trainer-listener", "[::1]:0"});
    CPPUNIT_ASSERT(parsed.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("other"), parsed->settings.node.value());
    CPPUNIT_ASSERT_EQUAL(std::string("::1"), parsed->settings.trainer_listener->ip);
  }

  void every_setting_is_a_flag() {
    DaemonSettings settings = parse(kWhole)->settings;
    settings.trainer_listener = core::Address{"127.0.0.1", 7009};
    const nlohmann::json values = settings_schema().write(settings);
    std::vector<std::string> flags = {"stoneportd"};
    for (const FieldDescription& field : settings_schema().fields()) {
      std::string flag = field.key;
      std::replace(flag.begin(), flag.end(), '_', '-');
      const nlohmann::json& value = values.at(field.key);
      const std::string text = value.is_string() ? value.get<std::string>() : value.dump();
      flags.push_back("--" + flag + "=" + text);
    }
    std::vector<const char*> arguments;
    for (const std::string& flag : flags) {
      arguments.push_back(flag.c_str());
    }
    const auto parsed = parse_command_line(static_cast<int>(arguments.size()), arguments.data());
    CPPUNIT_ASSERT(parsed.has_value());
    CPPUNIT_ASSERT_EQUAL(values.dump(), settings_schema().write(parsed->settings).dump());
  }

  void names_the_place_of_each_problem() {
    const std::vector<ProblemCase> cases = {
        {kWhole + "gosip_interval = \"1s\"\n",
         {},
         "gosip_interval",
         13,
         "an unknown key",
         "'gossip_interval'"},
        {kWhole + "traffic_threads = 0\n", {}, "traffic_threads", 13, "0", "from 1 to 256"},
        {kWhole + "traffic_threads = \"2\"\n", {}, "traffic_threads", 13, "\"2\"", "whole number"},
        {kWhole + "drain_timeout = \"5\"\n", {}, "drain_timeout", 13, "\"5\"", "from 100ms to 24h"},
        {kWhole + "log_level = \"loud\"\n", {}, "log_level", 13, "\"loud\"", "trace, debug"},
        {kWhole + "trainer_listener = \"localhost:1\"\n",
         {},
         "trainer_listener",
         13,
         "\"localhost:1\"",
         "an IP number and a port"},
        {kWhole + "trainer_listener = \"127.0.0.1:7001\"\n",
         {},
         "trainer_listener",
         13,
         "127.0.0.1:7001",
         "other than admin_listener"},
        {kWhole + "lease_duration = \"600ms\"\n",
         {},
         "lease_duration",
         13,
         "600ms",
         "at least twice gossip_interval"},
        {kWhole,
         {"--peer-listener=0.0.0.0:7002"},
         "peer_listener",
         0,
         "\"0.0.0.0:7002\"",
         "not a wildcard"},
        {kWhole,
         {"--table-service=127.0.0.1:0"},
         "table_service",
         0,
         "\"127.0.0.1:0\"",
         "not port 0"},
        {kWhole, {"--subset-sise=4"}, "--subset-sise", 0, "an unknown flag", "'--subset-size'"},
        {kWhole, {"stray"}, "stray", 0, "an unknown flag", "nearest"},
        {kWhole.substr(kWhole.find('\n') + 1), {}, "node", 0, "nothing", "letters, digits"},
        {kWhole + "broken = \n", {}, "", 13, "", "a TOML document"},
        {kWhole + "node = \"twice\"\n", {}, "", 13, "", "a TOML document"},
    };
    for (const ProblemCase& each : cases) {
      const auto parsed = parse(each.file, each.flags);
      CPPUNIT_ASSERT_MESSAGE(each.allowed, parsed.has_error());
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, parsed.error().size());
      const Problem problem = parsed.error().front();
      CPPUNIT_ASSERT_EQUAL(each.key, problem.key);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(each.allowed, each.line, problem.line);
      CPPUNIT_ASSERT(each.found.empty() || each.found == problem.found);
      CPPUNIT_ASSERT_MESSAGE(problem.allowed,
                             problem.allowed.find(each.allowed) != std::string::npos);
    }
  }

  void reports_every_problem_at_once() {
    const auto parsed =
        parse("node = \"\"\nzone = 7\ncaler_listener = \"127.0.0.1:1\"\n", {"--subset-size=none"});
    CPPUNIT_ASSERT(parsed.has_error());
    std::size_t missing = 0;
    const Problems problems = parsed.error();
    for (const Problem& problem : problems) {
      missing += problem.found == "nothing" ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, missing);
    CPPUNIT_ASSERT_EQUAL(std::size_t{14}, parsed.error().size());
    const std::string text = to_error(parsed.error()).message;
    CPPUNIT_ASSERT(text.find(":2: zone: found 7; allowed: ") != std::string::npos);
    CPPUNIT_ASSERT(text.find("command line --subset-size: subset_size: found \"none\"") !=
                   std::string::npos);
  }

  void printed_settings_read_back_the_same() {
    const auto printed = parse(kWhole, {"--print-config", "--log-format=json"});
    CPPUNIT_ASSERT(printed.has_value());
    CPPUNIT_ASSERT(printed->action == CommandLineAction::kShowText);
    const auto again = parse(printed->text);
    CPPUNIT_ASSERT(again.has_value());
    CPPUNIT_ASSERT_EQUAL(printed->text, print_settings(again->settings));
    CPPUNIT_ASSERT(again->settings.log.format == core::LogFormat::kJson);
  }

  void check_and_help_do_not_run() {
    CPPUNIT_ASSERT(parse(kWhole, {"--check-config"})->action == CommandLineAction::kShowText);
    const auto help = parse("", {"--help"});
    CPPUNIT_ASSERT(help->text.find("--gossip-interval DURATION") != std::string::npos);
    CPPUNIT_ASSERT(parse("", {"--check-config"}).has_error());
  }

  void durations() {
    const std::vector<std::pair<std::string, std::int64_t>> cases = {
        {"90s", 90'000'000},   {"4m", 240'000'000}, {"1500us", 1'500},
        {"2h", 7'200'000'000}, {"250ms", 250'000},  {"0s", 0}};
    for (const auto& [text, microseconds] : cases) {
      CPPUNIT_ASSERT_EQUAL(microseconds, parse_duration(text)->count());
      CPPUNIT_ASSERT_EQUAL(text, format_duration(core::Duration(microseconds)));
    }
    for (const std::string refused :
         {"", "s", "5", "5 s", "-1s", "1.5s", "1d", "99999999999999h"}) {
      CPPUNIT_ASSERT_MESSAGE(refused, !parse_duration(refused));
    }
  }

  void wall_times() {
    const auto time = parse_wall_time("2026-12-02T10:30:00.250+02:30");
    CPPUNIT_ASSERT_EQUAL(std::string("2026-12-02T08:00:00.250Z"), format_wall_time(*time));
    for (const std::string refused :
         {"2026-12-02", "2026-12-02T08:00:00", "2026-12-02T08:00:00+2"}) {
      CPPUNIT_ASSERT_MESSAGE(refused, !parse_wall_time(refused));
    }
  }

  void edit_distances() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, edit_distance("", ""));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, edit_distance("", "abc"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, edit_distance("zone", "zoen"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, edit_distance("kitten", "sitting"));
    CPPUNIT_ASSERT_EQUAL(std::string("zone"), nearest_name("zoen", {"node", "zone"}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

}  // namespace
}  // namespace stoneport::config
