#include "components/http/address.hpp"
#include "components/http/server_error.hpp"
#include "components/platform_standin/platform_stand_in.hpp"
#include "components/platform_standin/settings.hpp"
#include "components/settings/reader.hpp"
#include "components/settings/settings_error.hpp"

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

constexpr int exitFailure = 1;
constexpr int exitUsage = 2;
constexpr int exitSettings = 3;

options::options_description describeOptions()
{
    options::options_description description("foxtailcross-platform-standin: the users' platform on one machine, for tests and trials");
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

void serve(const platform_standin::Settings &settings)
{
    const auto signals = blockStopSignals();
    const platform_standin::PlatformStandIn standIn(settings);
    std::cout << R"({"store": ")" << http::toString(standIn.store()) << R"(", "ingress": ")" << http::toString(standIn.ingress()) << R"(", "control": ")"
              << http::toString(standIn.control()) << "\"}" << std::endl;
    int signal = 0;
    sigwait(&signals, &signal);
}

int run(const options::variables_map &values)
{
    if (values.count("help") > 0) {
        std::cout << describeOptions();
        return 0;
    }
    if (values.count("version") > 0) {
        std::cout << "foxtailcross-platform-standin " << FOXTAILCROSS_VERSION << '\n';
        return 0;
    }
    if (values.count("settings") == 0) {
        std::cerr << "no settings file; name one with --settings FILE\n";
        return exitUsage;
    }
    auto reader = settings::Reader::fromFile(values["settings"].as<std::string>());
    const auto settings = platform_standin::readSettings(reader);
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
