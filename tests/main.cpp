/// \file
/// Runs the CppUnit registry of one test executable. An optional argument names
/// one suite or test; without it everything runs. Exits 1 when a test fails and
/// when none was run.
#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>
#include <string>

int main(int argument_count, char** arguments) {
  CppUnit::TestResult controller;
  CppUnit::TestResultCollector collector;
  CppUnit::BriefTestProgressListener progress;
  controller.addListener(&collector);
  controller.addListener(&progress);

  CppUnit::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  const std::string selected = argument_count > 1 ? arguments[1] : "";
  runner.run(controller, selected);

  CppUnit::CompilerOutputter outputter(&collector, std::cerr);
  outputter.write();
  const int failed = collector.testFailuresTotal();
  const int run = collector.runTests();
  std::cout << run - failed << " passed, " << failed << " failed" << std::endl;
  return failed == 0 && run > 0 ? 0 : 1;
}
