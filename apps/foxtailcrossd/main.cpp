#include "components/instance/control.hpp"
#include "components/instance/control_loop.hpp"
#include "components/instance/options.hpp"
#include "components/instance/traffic.hpp"
#include "components/logging/log.hpp"
#include "components/settings/daemon_settings.hpp"
#include "components/settings/reader.hpp"
#include "components/settings/settings_error.hpp"

#include <boost/program_options/errors.hpp>

#include <csignal>
#include <exception>
#include <iostream>
#include <random>

namespace
{

constexpr int exitUnclean = 1;
constexpr int exitUsage = 2;
constexpr int exitSettings = 3;

/// Time to send answers that are already decided before connections are closed.
constexpr fleet::Duration closeLimit {1000};

volatile std::sig_atomic_t stopSignals = 0;

void onStopSignal(int)
{
    stopSignals = stopSignals + 1;
}

/// Returns a number that increases from one process of an instance to the next, and that differs between two processes that
/// start in the same millisecond.
fleet::Incarnation generateIncarnation()
{
    constexpr unsigned randomBits = 20;
    const auto now = std::chrono::floor<fleet::Duration>(std::chrono::system_clock::now());
    const std::uint64_t random = std::random_device()() & ((1U << randomBits) - 1);
    return {(static_cast<std::uint64_t>(fleet::toMilliseconds(now)) << randomBits) | random};
}

int serve(const settings::DaemonSettings &settings)
{
    logging::setUp(settings.m_logLevel);
    const logging::Log log("main");
    std::signal(SIGTERM, onStopSignal);
    std::signal(SIGINT, onStopSignal);
    instance::EventQueue<instance::Event> queue;
    const fleet::Incarnation incarnation = generateIncarnation();
    instance::Traffic traffic(settings, incarnation, queue);
    instance::Control control(settings, incarnation, traffic.ports());
    log.info("Instance " + settings.m_instance.value() + " of zone " + settings.m_zone.value() + " is serving.");
    int handled = 0;
    runControlLoop(control, queue, [&] {
        for (; handled < stopSignals; ++handled) {
            queue.push(instance::StopRequested {});
        }
    });
    traffic.stop(closeLimit);
    log.info(control.isClean() ? "Stopped cleanly." : "Stopped before everything was finished.");
    return control.isClean() ? 0 : exitUnclean;
}

int run(const instance::Options &options)
{
    if (options.m_help) {
        std::cout << instance::helpText();
        return 0;
    }
    if (options.m_version) {
        std::cout << "foxtailcrossd " << FOXTAILCROSS_VERSION << '\n';
        return 0;
    }
    if (options.m_settingsFile.empty()) {
        std::cerr << "foxtailcrossd: --settings is missing; name the settings file\n";
        return exitUsage;
    }
    settings::Reader reader = settings::Reader::fromFile(options.m_settingsFile);
    const settings::DaemonSettings settings = settings::readDaemonSettings(reader);
    if (options.m_checkSettings) {
        std::cout << options.m_settingsFile << " is correct\n";
        return 0;
    }
    return serve(settings);
}

int fail(int code, const char *message)
{
    std::cerr << "foxtailcrossd: " << message << '\n';
    return code;
}

}

int main(int argc, char **argv)
{
    try {
        return run(instance::parseOptions({argv + 1, argv + argc}));
    } catch (const settings::SettingsError &error) {
        return fail(exitSettings, error.what());
    } catch (const boost::program_options::error &error) {
        return fail(exitUsage, error.what());
    } catch (const std::exception &error) {
        return fail(exitUnclean, error.what());
    }
}
