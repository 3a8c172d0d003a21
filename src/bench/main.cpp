/// \file
/// Entry point of stoneport-bench: picks the command that the first argument names.
#include <array>
#include <cstdlib>
#include <iostream>
#include <new>
#include <string_view>

#include "bench/allocation_count.hpp"
#include "bench/commands.hpp"

// Counts allocations; the array forms and the sized deletes come down to these.
void* operator new(std::size_t size) {
  ++stoneport::bench::allocation_count;
  if (void* memory = std::malloc(size == 0 ? 1 : size)) {
    return memory;
  }
  throw std::bad_alloc();
}
void operator delete(void* memory) noexcept {
  std::free(memory);
}
void operator delete(void* memory, std::size_t) noexcept {
  std::free(memory);
}

namespace {

using stoneport::bench::CommandFunction;

struct Command {
  std::string_view name;
  std::string_view summary;
  CommandFunction run;
};

constexpr std::array kCommands{
    Command{"run", "simulate a scenario's variants side by side",
            stoneport::bench::run_run_command},
    Command{"list", "list scenarios and variants", stoneport::bench::run_list_command},
    Command{"report", "write scenarios on several seeds as one HTML page",
            stoneport::bench::run_report_command},
    Command{"scale-run", "measure the control plane's gossip at several sizes",
            stoneport::bench::run_scale_run_command},
    Command{"idle-cost", "measure what the size of the fleet costs an idle process",
            stoneport::bench::run_idle_cost_command},
    Command{"weights-run", "measure publications of weights at several sizes",
            stoneport::bench::run_weights_run_command},
    Command{"load", "send ordinary requests over sockets and check every answer",
            stoneport::bench::run_load_command},
    Command{"demo-summary", "print the demo's final JSON line",
            stoneport::bench::run_demo_summary_command},
};

void print_usage(std::ostream& out) {
  out << "usage: stoneport-bench COMMAND [OPTION...]\n\ncommands:\n";
  for (const Command& command : kCommands) {
    out << "  " << command.name << std::string(16 - command.name.size(), ' ') << command.summary
        << "\n";
  }
  out << "\n'stoneport-bench COMMAND --help' explains a command.\n";
}

}  // namespace

int main(int argument_count, char** arguments) {
  const std::string_view name = argument_count > 1 ? arguments[1] : "";
  if (name == "--help" || name == "-h") {
    print_usage(std::cout);
    return stoneport::bench::kExitSuccess;
  }
  for (const Command& command : kCommands) {
    if (command.name == name) {
      return command.run(argument_count - 1, arguments + 1);
    }
  }
  if (!name.empty()) {
    std::cerr << "stoneport-bench: no command named '" << name << "'\n\n";
  }
  print_usage(std::cerr);
  return stoneport::bench::kExitUsage;
}
