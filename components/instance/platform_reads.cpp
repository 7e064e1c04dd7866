#include "components/instance/platform_reads.hpp"

#include "components/instance/core.hpp"
#include "components/instance/peer_view.hpp"
#include "components/instance/request_calls.hpp"
#include "components/instance/zone_scheduling.hpp"

#include <algorithm>

namespace instance
{

namespace
{

constexpr fleet::Duration loadInterval {1000};

void updateAddresses(Core &core, const platform::PlatformList &list)
{
    for (const platform::WorkerEntry &worker : list.m_workers) {
        core.m_platform.m_workers[worker.m_info.m_id] = worker.m_address;
    }
    for (const platform::RunnerEntry &runner : list.m_runners) {
        core.m_platform.m_runners[runner.m_id] = runner.m_address;
    }
}

bool hasRunner(const platform::PlatformList &list, const fleet::RunnerId &id)
{
    return std::any_of(list.m_runners.begin(), list.m_runners.end(), [&](const platform::RunnerEntry &runner) {
        return runner.m_id == id;
    });
}

void refreshRunners(Core &core, const platform::PlatformList &list, fleet::TimePoint now)
{
    for (const platform::RunnerEntry &known : core.m_platform.m_list.m_runners) {
        if (!hasRunner(list, known.m_id)) {
            feedRequests(core, requests::RunnerRemoved {known.m_id}, now);
        }
    }
    for (const platform::RunnerEntry &runner : list.m_runners) {
        feedRequests(core, requests::RunnerListed {runner.m_id, runner.m_zone, runner.m_slots, runner.m_connections, runner.m_leaving}, now);
    }
}

void readLoads(Core &core)
{
    for (const platform::RunnerEntry &runner : core.m_platform.m_list.m_runners) {
        core.m_ports.m_readLoad(runner.m_id, runner.m_address);
    }
}

}

void tickPlatform(Core &core, fleet::TimePoint now)
{
    if (!core.m_platform.m_inFlight && now >= core.m_platform.m_listRequestSentAt + core.m_settings.m_listPollInterval) {
        core.m_platform.m_inFlight = true;
        core.m_platform.m_listRequestSentAt = now;
        core.m_ports.m_readList();
    }
    if (now >= core.m_platform.m_loadRequestsSentAt + loadInterval) {
        core.m_platform.m_loadRequestsSentAt = now;
        readLoads(core);
    }
}

void onListReadEnded(Core &core, const ListReadEnded &event, fleet::TimePoint now)
{
    core.m_platform.m_inFlight = false;
    if (!event.m_result.m_list || event.m_result.m_list->m_asOf < core.m_platform.m_list.m_asOf) {
        return;
    }
    const platform::PlatformList &list = *event.m_result.m_list;
    updateAddresses(core, list);
    refreshRunners(core, list, now);
    refreshWorkers(core, list, now);
    updateListedPeers(core, list, now);
    core.m_platform.m_list = list;
}

void onLoadReadEnded(Core &core, const LoadReadEnded &event, fleet::TimePoint now)
{
    if (event.m_result.m_load) {
        const platform::RunnerLoad &load = *event.m_result.m_load;
        feedRequests(core, requests::RunnerLoadReported {event.m_runner, load.m_slotsUsed, load.m_connectionsUsed}, now);
    }
}

}
