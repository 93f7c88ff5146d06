#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>

/// Runs the registered CppUnit tests, or only the test whose path is the first argument.
int main(int argc, char** argv)
{
    CppUnit::TestResult controller;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    controller.addListener(&collector);
    controller.addListener(&progress);

    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    runner.run(controller, argc > 1 ? argv[1] : "");

    CppUnit::CompilerOutputter outputter{&collector, std::cerr};
    outputter.write();
    const bool executed = collector.runTests() > 0;
    return executed && collector.wasSuccessful() ? 0 : 1;
}
