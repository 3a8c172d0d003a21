/// \file
/// The commands of stoneport-bench, one source file each.
#pragma once

namespace stoneport::bench {

/// Exit codes of every command.
inline constexpr int kExitSuccess = 0;
inline constexpr int kExitGuaranteeBroken = 1;  ///< something that must always hold did not
inline constexpr int kExitUsage = 2;            ///< wrong options, or an input that cannot be read

/// Each takes its own arguments, the command's name first, and returns an exit code.
using CommandFunction = int (*)(int argument_count, char** arguments);

/// Writes scenarios on several seeds as one HTML page.
int run_report_command(int argument_count, char** arguments);
/// Measures gossip among hollow members at several sizes.
int run_scale_run_command(int argument_count, char** arguments);
/// Measures what membership and the listing of replicas cost an idle process.
int run_idle_cost_command(int argument_count, char** arguments);
/// Publishes weights to several numbers of engines.
int run_weights_run_command(int argument_count, char** arguments);
/// Sends ordinary requests to callers' listeners and checks every answer.
int run_load_command(int argument_count, char** arguments);
/// Simulates a scenario's variants side by side.
int run_run_command(int argument_count, char** arguments);
/// Lists scenarios and variants.
int run_list_command(int argument_count, char** arguments);
/// Prints the demo's final line, counted by the emulator and by the callers.
int run_demo_summary_command(int argument_count, char** arguments);

}  // namespace stoneport::bench
