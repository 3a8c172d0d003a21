/// \file
/// Entry point of stoneport-emulator.
#include <spdlog/spdlog.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cstdlib>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>

#include "core/logging.hpp"
#include "emulator/emulator.hpp"

namespace {

using stoneport::emulator::Emulator;
using stoneport::emulator::EmulatorSettings;

constexpr int kExitUsage = 2;

struct Arguments {
  std::string config;
  std::string ports_file;
  double time_scale = 0;  ///< 0: as the settings file says
  bool check_only = false;
};

cxxopts::Options make_options() {
  cxxopts::Options options("stoneport-emulator",
                           "Stands in for the platform and the back ends of stoneport.\n"
                           "Example: stoneport-emulator --config examples/emulator-demo.toml");
  options.add_options()("config", "settings file (TOML)", cxxopts::value<std::string>())(
      "check-config", "check the settings file and exit")(
      "print-ports", "write every listener's address to this file as JSON",
      cxxopts::value<std::string>()->default_value(""))(
      "time-scale", "model seconds a real second; overrides the settings file",
      cxxopts::value<double>()->default_value("0"))("help", "print this text");
  return options;
}

bool write_ports(const std::string& file, const Emulator& emulator) {
  // Written aside and renamed, so that a reader never sees half of it.
  const std::string partial = file + ".partial";
  std::ofstream out(partial);
  out << emulator.ports().dump(2) << "\n";
  out.close();
  return out && std::rename(partial.c_str(), file.c_str()) == 0;
}

int run(const EmulatorSettings& settings, const std::string& ports_file) {
  boost::asio::io_context signals_context;
  boost::asio::signal_set signals(signals_context, SIGINT, SIGTERM);
  Emulator emulator(settings);
  const auto started = emulator.start();
  if (!started) {
    std::cerr << "stoneport-emulator: " << started.error().message << "\n";
    return EXIT_FAILURE;
  }
  if (!ports_file.empty() && !write_ports(ports_file, emulator)) {
    std::cerr << "stoneport-emulator: cannot write " << ports_file << "\n";
    return EXIT_FAILURE;
  }
  spdlog::info("listening, control on {}", to_string(emulator.control_address()));
  signals.async_wait([](const boost::system::error_code&, int) {});
  signals_context.run();
  spdlog::info("stopping");
  emulator.stop();
  return EXIT_SUCCESS;
}

int run_with(const Arguments& arguments) {
  auto settings = stoneport::emulator::load_settings(arguments.config);
  if (!settings) {
    std::cerr << arguments.config << ": " << settings.error().message << "\n";
    return kExitUsage;
  }
  if (arguments.time_scale > 0) {
    settings->time_scale = arguments.time_scale;
  }
  stoneport::core::LogSettings log;
  log.level = settings->log_level;
  log.component = "stoneport-emulator";
  const auto installed = stoneport::core::install_logger(log);
  if (!installed) {
    std::cerr << arguments.config << ": log_level: " << installed.error().message << "\n";
    return kExitUsage;
  }
  if (arguments.check_only) {
    std::cout << arguments.config << ": valid\n";
    return EXIT_SUCCESS;
  }
  return run(*settings, arguments.ports_file);
}

}  // namespace

int main(int argument_count, char** argument_values) {
  cxxopts::Options options = make_options();
  try {
    const cxxopts::ParseResult parsed = options.parse(argument_count, argument_values);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return EXIT_SUCCESS;
    }
    if (parsed.count("config") == 0) {
      std::cerr << "stoneport-emulator: --config is needed\n";
      return kExitUsage;
    }
    return run_with({parsed["config"].as<std::string>(), parsed["print-ports"].as<std::string>(),
                     parsed["time-scale"].as<double>(), parsed.count("check-config") > 0});
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "stoneport-emulator: " << error.what() << "\n";
    return kExitUsage;
  }
}
