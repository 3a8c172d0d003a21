/// \file
/// Entry point of stoneportd: settings, logger, then the daemon until a signal.
#include <spdlog/spdlog.h>

#include <cstdlib>
#include <iostream>

#include "config/load_settings.hpp"
#include "core/logging.hpp"
#include "daemon/daemon.hpp"

namespace {

constexpr int kExitInvalidSettings = 2;

int run_daemon(stoneport::config::DaemonSettings settings) {
  settings.log.component = "stoneportd " + settings.node.value();
  const auto logger = stoneport::core::install_logger(settings.log);
  if (!logger) {
    std::cerr << "stoneportd: " << logger.error().message << "\n";
    return kExitInvalidSettings;
  }
  stoneport::daemon::Daemon daemon(std::move(settings));
  const auto served = daemon.run();
  if (!served) {
    spdlog::critical("cannot start: {}", served.error().message);
  }
  spdlog::shutdown();
  // Frames of suspended coroutines are left to the end of the process: the
  // threads are joined, and there is no order in which to destroy them.
  std::quick_exit(served ? EXIT_SUCCESS : EXIT_FAILURE);
}

}  // namespace

int main(int argument_count, char** arguments) {
  auto parsed = stoneport::config::load_settings(argument_count, arguments);
  if (!parsed) {
    std::cerr << parsed.error().message << "\n";
    return kExitInvalidSettings;
  }
  if (parsed->action == stoneport::config::CommandLineAction::kShowText) {
    std::cout << parsed->text;
    return EXIT_SUCCESS;
  }
  return run_daemon(std::move(parsed->settings));
}
