#include "components/http/address.hpp"
#include "components/http/server_error.hpp"
#include "components/logging/level.hpp"
#include "components/logging/log.hpp"
#include "components/settings/reader.hpp"
#include "components/settings/settings_error.hpp"
#include "components/standin/stand_in.hpp"

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/parsers.hpp>
#include <boost/program_options/variables_map.hpp>

#include <csignal>
#include <exception>
#include <iostream>
#include <string>

namespace
{

namespace options = boost::program_options;

constexpr int exitUsage = 2;
constexpr int exitSettings = 3;
constexpr int exitFailure = 1;

options::options_description describeOptions()
{
    options::options_description description("foxtailcross-standin: stand-ins for log, list, workers and runners");
    description.add_options()("help", "print this text")("version", "print the version")(
        "settings", options::value<std::string>()->value_name("FILE"), "settings file")("check-settings", "check the settings file and end");
    return description;
}

/// Blocks the stop signals. Must be called before any thread starts, so that only sigwait() receives them.
sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

void printAddresses(const standin::StandIn &standIn)
{
    std::cout << R"({"control": ")" << http::toString(standIn.controlAddress()) << R"(", "log": ")" << http::toString(standIn.logAddress()) << R"(", "list": ")"
              << http::toString(standIn.listAddress()) << "\"}" << std::endl;
}

void serve(const standin::StandInSettings &settings)
{
    const auto signals = blockStopSignals();
    logging::setUp(logging::Level::Info);
    const logging::Log log("standin");
    const standin::StandIn standIn(settings);
    printAddresses(standIn);
    log.info("Serving, control on " + http::toString(standIn.controlAddress()) + ".");
    int signal = 0;
    sigwait(&signals, &signal);
    log.info("Stopping.");
}

int run(const options::variables_map &values)
{
    if (values.count("help") > 0) {
        std::cout << describeOptions();
        return 0;
    }
    if (values.count("version") > 0) {
        std::cout << "foxtailcross-standin " << FOXTAILCROSS_VERSION << '\n';
        return 0;
    }
    if (values.count("settings") == 0) {
        std::cerr << "no settings file; name one with --settings FILE\n";
        return exitUsage;
    }
    auto reader = settings::Reader::fromFile(values["settings"].as<std::string>());
    const auto settings = standin::readStandInSettings(reader);
    if (values.count("check-settings") == 0) {
        serve(settings);
    }
    return 0;
}

}

int main(int argc, char **argv)
{
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, describeOptions()), values);
        return run(values);
    } catch (const options::error &error) {
        std::cerr << error.what() << "; see --help\n";
        return exitUsage;
    } catch (const settings::SettingsError &error) {
        std::cerr << error.what() << '\n';
        return exitSettings;
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return exitFailure;
    }
}
