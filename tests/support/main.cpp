#include "support/seed.h"

#include <boost/program_options.hpp>
#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>
#include <string>

namespace {

struct options {
    std::string test_path;
};

options parse(int argc, char** argv)
{
    namespace po = boost::program_options;
    options result;
    auto& seeds = lovagebeam::test::seeds();
    po::options_description description{"Options"};
    description.add_options()("help", "show this text")(
        "seed", po::value(&seeds.first)->default_value(seeds.first),
        "first seed of the randomised tests")(
        "runs", po::value(&seeds.runs)->default_value(seeds.runs),
        "number of seeds of each randomised test; 0 keeps the test's own number")(
        "test", po::value(&result.test_path), "run only the test with this path");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
    if (values.count("help") != 0) {
        std::cout << description;
        std::exit(0);
    }
    return result;
}

} // namespace

namespace lovagebeam::test {

seed_options& seeds()
{
    static seed_options instance;
    return instance;
}

} // namespace lovagebeam::test

int main(int argc, char** argv)
{
    const options chosen = parse(argc, argv);
    std::cout << "seed=" << lovagebeam::test::seeds().first << '\n';
    CppUnit::TestResult controller;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    controller.addListener(&collector);
    controller.addListener(&progress);
    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    runner.run(controller, chosen.test_path);
    CppUnit::CompilerOutputter outputter{&collector, std::cerr};
    outputter.write();
    if (collector.runTests() == 0) {
        std::cerr << "no test was run\n";
        return 2;
    }
    return collector.wasSuccessful() ? 0 : 1;
}
