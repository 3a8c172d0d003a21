/// \file
/// Entry point of stoneportctl.
#include <iostream>

#include "ctl/command.hpp"

int main(int argument_count, char** arguments) {
  const std::vector<std::string> given(arguments + 1, arguments + argument_count);
  return static_cast<int>(stoneport::ctl::run(given, std::cout, std::cerr));
}
