/// \file
/// Fixture for configuration tests: daemons that share a table service and call one another
/// over loopback.
#pragma once

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>
#include <memory>
#include <vector>

#include "support/configuration_daemon.hpp"
#include "support/fake_table_service.hpp"
#include "support/run_task.hpp"

namespace stoneport::controllers {

using support::ConfigurationDaemon;
using support::quick_options;

inline config::Document make_document(const std::string& text) {
  return *config::read_document(*config::source_from_toml(text, "test.toml"));
}

inline config::Document event_template(const std::string& name, int max_tokens = 100) {
  return make_document("kind = \"event-template\"\nmodel = \"proposal\"\nname = \"" + name +
                       "\"\nmax_tokens = " + std::to_string(max_tokens) + "\n");
}

/// Options of a daemon that does not poll the store after startup.
inline ConfigurationOptions peers_only_options() {
  ConfigurationOptions options = quick_options();
  options.min_store_poll_interval = std::chrono::hours(1);
  options.initial_store_poll_interval = std::chrono::hours(1);
  return options;
}

class ConfigurationFixture : public CppUnit::TestFixture {
 public:
  /// Stops pending operations before the daemons are destroyed.
  void tearDown() override {
    for (const auto& daemon : daemons_) {
      daemon->controller.stop();
      daemon->server.abort();
    }
    context_.restart();
    context_.run_for(std::chrono::milliseconds(300));
    daemons_.clear();
  }

 protected:
  ConfigurationDaemon& add_daemon(const std::string& zone,
                                  const ConfigurationOptions& options = quick_options()) {
    wire::Member self;
    self.node = core::NodeId("node-" + std::to_string(daemons_.size() + 1));
    self.incarnation = core::Incarnation(1);
    self.zone = core::ZoneName(zone);
    daemons_.push_back(std::make_unique<ConfigurationDaemon>(context_.get_executor(), table_,
                                                             members_, self, options));
    return *daemons_.back();
  }

  core::Result<PublishOutcome> publish(ConfigurationDaemon& daemon, config::Document document,
                                       std::uint64_t base_revision) {
    config::PublishRequest request{std::move(document), core::Revision(base_revision), "selam",
                                   "why"};
    return support::run_task(context_, daemon.controller.publish(std::move(request)));
  }

  /// Publishes a document, which must be accepted.
  /// \return the revision of the publication
  std::uint64_t accepted(ConfigurationDaemon& daemon, config::Document document,
                         std::uint64_t base_revision) {
    const auto outcome = publish(daemon, std::move(document), base_revision);
    CPPUNIT_ASSERT(outcome.has_value());
    return std::get<PublishAccepted>(*outcome).revision.value();
  }

  bool run_until(const std::function<bool()>& condition,
                 std::chrono::seconds limit = std::chrono::seconds(20)) {
    const auto deadline = std::chrono::steady_clock::now() + limit;
    context_.restart();
    while (!condition() && std::chrono::steady_clock::now() < deadline) {
      context_.run_one_for(std::chrono::milliseconds(10));
    }
    return condition();
  }

  bool everywhere(std::uint64_t revision) {
    return run_until([this, revision] {
      return std::all_of(daemons_.begin(), daemons_.end(),
                         [revision](const auto& daemon) { return daemon->revision() == revision; });
    });
  }

  bool run_until_ready(ConfigurationDaemon& daemon) {
    return run_until([&daemon] { return daemon.controller.ready(); });
  }

  boost::asio::io_context context_{1};
  support::FakeTableService table_;
  std::vector<support::FakeMembership*> members_;
  std::vector<std::unique_ptr<ConfigurationDaemon>> daemons_;
};

}  // namespace stoneport::controllers
