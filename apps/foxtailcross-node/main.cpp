#include "apps/foxtailcross-node/check_command.hpp"
#include "components/logging/line_log.hpp"
#include "components/metrics/registry.hpp"
#include "components/node/clocks.hpp"
#include "components/node/control.hpp"
#include "components/settings/file_watch.hpp"
#include "components/settings/node_settings.hpp"
#include "components/settings/reader.hpp"
#include "components/settings/settings_error.hpp"
#include "platform/adapter.hpp"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <random>
#include <string_view>

namespace
{

constexpr int exitUnclean = 1;
constexpr int exitUsage = 2;
constexpr int exitSettings = 3;
constexpr double milliCoresPerCore = 1000;
/// Interval at which the settings file is checked for changes without a signal.
constexpr fleet::Duration settingsCheckInterval {2000};
/// Time that the reader of the log has to accept the last lines. Must be below the margin that a planned stop keeps of its
/// grace period.
constexpr fleet::Duration logDrainLimit {300};

volatile std::sig_atomic_t stopSignals = 0;

volatile std::sig_atomic_t reloadSignals = 0;

void onReloadSignal(int)
{
    reloadSignals = reloadSignals + 1;
}

void onStopSignal(int)
{
    stopSignals = stopSignals + 1;
}

void installSignalHandlers()
{
    std::signal(SIGTERM, onStopSignal);
    std::signal(SIGINT, onStopSignal);
    std::signal(SIGHUP, onReloadSignal);
    std::signal(SIGPIPE, SIG_IGN);
}

http::Address toAddress(const settings::Endpoint &endpoint)
{
    return {endpoint.m_address, endpoint.m_port};
}

std::string generateKey()
{
    constexpr int words = 4;
    std::random_device random;
    std::string key;
    for (int i = 0; i < words; ++i) {
        const std::uint32_t word = random();
        key.append(reinterpret_cast<const char *>(&word), sizeof word);
    }
    return key;
}

node::Settings toControlSettings(const settings::NodeSettings &settings)
{
    node::Settings control;
    control.m_instance = settings.m_instance;
    control.m_incarnation.m_value = (static_cast<std::uint64_t>(std::random_device()()) << 32U) | std::random_device()();
    control.m_zone = settings.m_zone;
    control.m_peerAddress = settings::toString(settings.m_peers);
    control.m_peerKey = generateKey();
    control.m_milliCores = static_cast<std::uint32_t>(settings.m_processorShare * milliCoresPerCore);
    control.m_dispatch.m_leaseLimit = settings.m_leaseLimit;
    control.m_dispatch.m_stopGrace = settings.m_stopGrace;
    control.m_dispatch.m_gangWait = settings.m_gangWait;
    control.m_dispatch.m_reclaimLimit = settings.m_reclaimLimit;
    control.m_dispatch.m_machineLease = settings.m_machineLease;
    control.m_dispatch.m_restoreTime = settings.m_restoreTime;
    control.m_dispatch.m_upkeepTime = settings.m_upkeepTime;
    control.m_dispatch.m_maxOpenRuns = dispatch::Settings::openRunsWithin(settings.m_memoryMb);
    control.m_dispatch.m_usesLearnedRunTimes = settings.m_usesLearnedRunTimes;
    control.m_keyRevocation = settings.m_keyRevocation;
    control.m_catalogInForce = settings.m_catalogInForce;
    control.m_zoneEvacuation = settings.m_zoneEvacuation;
    control.m_statusRetention = settings.m_statusRetention;
    control.m_journalRetention = settings.m_journalRetention;
    control.m_stopLimit = settings.m_stopLimit;
    return control;
}

/// Reads the settings file again. If it has errors, logs them and keeps the present settings.
void reload(const std::string &file, settings::NodeSettings &inForce, node::Control &control, logging::LineLog &log)
{
    const fleet::Now now = node::currentTime();
    try {
        settings::Reader reader = settings::Reader::fromFile(file);
        const settings::NodeSettings read = settings::readNodeSettings(reader);
        const bool isChanged = read != inForce;
        if (isChanged) {
            inForce = read;
            control.setBounds(toControlSettings(read));
        }
        log.write(logging::Line("node", "reload").add("file", file).add("changed", isChanged), now);
    } catch (const settings::SettingsError &error) {
        log.write(logging::Line("node", "reload-refused", logging::Level::Warning).add("file", file).add("reason", error.what()), now);
    }
}

void serve(const std::string &file, settings::NodeSettings settings, logging::LineLog &log)
{
    log.write(logging::Line("node", "start")
                  .add("instance", settings.m_instance.value())
                  .add("zone", settings.m_zone.value())
                  .add("version", FOXTAILCROSS_VERSION)
                  .add("callers", settings::toString(settings.m_callers))
                  .add("store", settings::toString(settings.m_store))
                  .add("client_bytes", settings.m_clients.m_heldBytes)
                  .add("client_connections", settings.m_clients.m_connections),
              node::currentTime());
    metrics::Registry registry;
    node::EventQueue queue;
    platform::Adapter adapter({toAddress(settings.m_callers),
                               toAddress(settings.m_readiness),
                               toAddress(settings.m_peers),
                               toAddress(settings.m_store),
                               toAddress(settings.m_advice),
                               toAddress(settings.m_machines),
                               toAddress(settings.m_metrics),
                               settings.m_clients},
                              queue,
                              log,
                              registry);
    node::Control control(toControlSettings(settings), adapter, registry);
    settings::FileWatch watch(file, settingsCheckInterval);
    std::sig_atomic_t handledReloadSignals = 0;
    fleet::BootTime nextTick;
    // Also called between events, so that a long queue of them does not delay the heartbeats to the other instances.
    const auto tickIfDue = [&] {
        const fleet::Now now = node::currentTime();
        if (now.m_boot >= nextTick) {
            control.tick(now);
            nextTick = control.nextTick(now);
            log.tick(now);
        }
    };
    while (!control.isStopped()) {
        const fleet::Now before = node::currentTime();
        for (const node::Event &event : queue.take(std::max(fleet::Duration(0), nextTick - before.m_boot))) {
            control.handle(event, node::currentTime());
            tickIfDue();
        }
        control.onEventsHandled(node::currentTime());
        if (stopSignals > 0) {
            control.handle(node::StopRequested {}, node::currentTime());
        }
        const bool isWritten = watch.hasChanged(node::currentTime().m_boot);
        if (isWritten || reloadSignals != handledReloadSignals) {
            handledReloadSignals = reloadSignals;
            reload(file, settings, control, log);
        }
        tickIfDue();
    }
}

int run(const std::string &file, const settings::NodeSettings &settings)
{
    logging::LineLog log(settings.m_logLevel, {});
    serve(file, settings, log);
    if (!log.close(logDrainLimit)) {
        // The library's thread is blocked in a write, and a normal exit would wait for it.
        std::_Exit(EXIT_SUCCESS);
    }
    return EXIT_SUCCESS;
}

int fail(int code, const char *message)
{
    std::cerr << "foxtailcross-node: " << message << '\n';
    return code;
}

}

int main(int argc, char **argv)
{
    if (argc > 1 && std::string_view(argv[1]) == "check") {
        return node_app::runCheck({argv + 2, argv + argc}, std::cout, std::cerr);
    }
    // Before the settings are read, since a SIGHUP or SIGTERM without a handler ends the process at once.
    installSignalHandlers();
    try {
        const char *fromEnvironment = std::getenv("FOXTAILCROSS_SETTINGS");
        const std::string file = argc > 1 ? argv[1] : fromEnvironment != nullptr ? fromEnvironment : "";
        if (file.empty()) {
            return fail(exitUsage, "name the settings file");
        }
        settings::Reader reader = settings::Reader::fromFile(file);
        return run(file, settings::readNodeSettings(reader));
    } catch (const settings::SettingsError &error) {
        return fail(exitSettings, error.what());
    } catch (const std::exception &error) {
        return fail(exitUnclean, error.what());
    }
}
