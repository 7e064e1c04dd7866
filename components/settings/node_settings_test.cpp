#include "components/settings/file_watch.hpp"
#include "components/settings/node_settings.hpp"
#include "components/settings/reader.hpp"
#include "components/settings/settings_error.hpp"

#include <unistd.h>

#include <filesystem>
#include <fstream>

#include <criterion/criterion.h>

namespace
{

using namespace std::chrono_literals;

settings::NodeSettings read(const std::string &tail)
{
    const std::string head = "instance = \"kochi-1\"\nzone = \"kochi\"\nregion = \"kerala\"\n"
                             "[listen]\ncallers = \"127.0.0.1:7400\"\nreadiness = \"127.0.0.1:7401\"\npeers = \"127.0.0.1:7402\"\n"
                             "[platform]\nstore = \"127.0.0.1:7300\"\n";
    settings::Reader reader = settings::Reader::fromText(head + tail, "node.toml");
    return settings::readNodeSettings(reader);
}

/// Returns the problem of a file that has exactly one.
settings::Problem onlyProblem(const std::string &tail)
{
    try {
        read(tail);
    } catch (const settings::SettingsError &error) {
        cr_assert_eq(error.problems().size(), 1, "%s", error.what());
        return error.problems().front();
    }
    cr_assert_fail("the file was accepted");
}

}

Test(nodeSettings, processorShareAndSpeed_read_areMultiplied)
{
    const auto settings = read("[machine]\nprocessor_share = 0.25\nprocessor_speed = 2\n");
    cr_assert_float_eq(settings.m_processorShare, 0.5, 1e-9);
}

Test(nodeSettings, metricsAddressMissing_read_servesNone)
{
    cr_assert_eq(read("").m_metrics.m_port, 0);
}

Test(nodeSettings, shareThatIsText_read_isRefusedWithRemedy)
{
    const auto problem = onlyProblem("[machine]\nprocessor_share = \"a quarter\"\n");
    cr_assert(problem.m_key == "machine.processor_share");
    cr_assert(problem.m_remedy == "write a number without quotes");
}

Test(nodeSettings, stopAsLongAsTheLease_read_isRefusedWithBothKeys)
{
    const auto problem = onlyProblem("[bounds]\nlease = \"2 s\"\ntask_stop = \"2 s\"\n");
    cr_assert(problem.m_key == "bounds.task_stop");
    cr_assert_neq(problem.m_remedy.find("bounds.lease"), std::string::npos);
}

Test(nodeSettings, reclaimWithinTheTimeOfAStop_read_isRefusedWithBothKeys)
{
    const auto problem = onlyProblem("[bounds]\nreclaim = \"500 ms\"\ntask_stop = \"1 s\"\n");
    cr_assert(problem.m_key == "bounds.reclaim");
    cr_assert_neq(problem.m_remedy.find("bounds.task_stop"), std::string::npos);
}

Test(nodeSettings, revocationWithinTheMargin_read_isRefused)
{
    cr_assert(onlyProblem("[bounds]\nkey_revocation = \"700 ms\"\n").m_key == "bounds.key_revocation");
}

/// The defaults of the smallest machine must leave room for what clients inside the limits send.
Test(nodeSettings, clientLimitsMissing_read_areThoseOfTheSmallestMachine)
{
    const auto settings = read("");
    cr_assert(settings.m_clients == settings::ClientLimits());
    cr_assert(read("[machine]\nmemory = 120\ndescriptors = 3075\n").m_clients == settings.m_clients);
    cr_assert_geq(settings.m_clients.m_connections, 1000);
    cr_assert_geq(settings.m_clients.m_heldBytes, 40 * 262'144);
}

Test(nodeSettings, machineMemoryAndDescriptors_read_limitsFollow)
{
    const auto settings = read("[machine]\nmemory = 260.5\ndescriptors = 4100\n");
    cr_assert_eq(settings.m_clients.m_heldBytes, (std::int64_t {260} << 20) / 8);
    cr_assert_eq(settings.m_clients.m_connections, 2340);
}

/// A machine below the sizes in use must start all the same.
Test(nodeSettings, smallestAcceptedMachine_read_limitsAreConsistent)
{
    cr_assert_geq(read("[machine]\nmemory = 16\ndescriptors = 512\n").m_clients.m_connections, 3 * settings::reservedConnections);
}

Test(nodeSettings, clientLimitsThatContradictTheMachine_read_areRefused)
{
    cr_assert(onlyProblem("[clients]\nheld_bytes = 70000000\n").m_key == "clients.held_bytes");
    cr_assert(onlyProblem("[clients]\nconnections = 3000\n").m_key == "clients.connections");
    cr_assert(onlyProblem("[clients]\nmax_body_bytes = 10000000\n").m_key == "clients.max_body_bytes");
    cr_assert(onlyProblem("[clients]\nbody_grace = \"40 s\"\n").m_key == "clients.body_grace");
}

Test(fileWatch, fileWrittenAgain_isNoticedOnceAfterTheInterval)
{
    const std::filesystem::path file = std::filesystem::temp_directory_path() / ("foxtailcross-watch-" + std::to_string(getpid()));
    std::ofstream(file) << "a";
    settings::FileWatch watch(file.string(), 2s);
    const fleet::BootTime start(10s);
    cr_assert_not(watch.hasChanged(start));
    std::filesystem::last_write_time(file, std::filesystem::last_write_time(file) + 5s);
    cr_assert_not(watch.hasChanged(start + 1s));
    cr_assert(watch.hasChanged(start + 2s));
    cr_assert_not(watch.hasChanged(start + 4s));
    std::filesystem::remove(file);
}

/// Guards against deployments without the setting that lose the use of the model, and against one that can't turn it off.
Test(nodeSettings, learnedRunTimes_read_areUsedUnlessTurnedOff)
{
    cr_assert(read("").m_usesLearnedRunTimes);
    cr_assert_not(read("[scheduling]\nlearned_run_times = false\n").m_usesLearnedRunTimes);
    cr_assert(onlyProblem("[scheduling]\nlearned_run_times = \"no\"\n").m_key == "scheduling.learned_run_times");
}
