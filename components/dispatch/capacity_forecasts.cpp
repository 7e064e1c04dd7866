#include "components/dispatch/capacity_forecasts.hpp"

#include "components/dispatch/available_workers.hpp"
#include "components/dispatch/candidate.hpp"
#include "components/dispatch/context.hpp"
#include "components/dispatch/progress.hpp"
#include "components/dispatch/runs.hpp"

#include <algorithm>
#include <map>

namespace dispatch
{

namespace
{

/// Capacity for one more task, and the time from now when it becomes free.
struct FreedSlot
{
    fleet::Duration m_wait {0};
    AvailableWorker *m_worker = nullptr;
};

/// Appends the times when each further task fits, as the runs on the worker end one after the other. Lasting tasks don't end.
void addFreedSlots(const Context &context, const Candidate &candidate, AvailableWorker &available, std::vector<FreedSlot> &freedSlots)
{
    std::multimap<fleet::Duration, fleet::Resources> ends;
    for (const jobs::RunId &id : available.m_state->m_runs) {
        const RunState &run = context.m_state.m_runs.at(id);
        if (!run.m_isStopRequested && stepOf(context, id.m_task.m_step).m_isLongRunning) {
            continue;
        }
        ends.emplace(run.m_isStopRequested ? fleet::Duration(0) : remainingTime(context, id, run), run.m_allocated);
    }
    fleet::Resources free = freeResourcesFor(candidate, available);
    const auto wanted = static_cast<std::uint32_t>(candidate.m_tasks.size());
    std::uint32_t slots = std::min(wanted, countSlots(candidate, available, free));
    freedSlots.insert(freedSlots.end(), slots, {fleet::Duration(0), &available});
    for (const auto &[wait, freed] : ends) {
        free = free + freed;
        const std::uint32_t now = std::min(wanted, countSlots(candidate, available, free));
        if (now > slots) {
            freedSlots.insert(freedSlots.end(), now - slots, {wait, &available});
            slots = now;
        }
    }
}

std::optional<CapacityForecast> earliestForecast(std::vector<FreedSlot> freedSlots, std::size_t wanted)
{
    if (freedSlots.size() < wanted) {
        return std::nullopt;
    }
    std::stable_sort(freedSlots.begin(), freedSlots.end(), [](const FreedSlot &a, const FreedSlot &b) {
        return a.m_wait < b.m_wait;
    });
    CapacityForecast forecast;
    for (std::size_t i = 0; i < wanted; ++i) {
        ++forecast.m_tasksPerWorker[freedSlots[i].m_worker];
        forecast.m_wait = freedSlots[i].m_wait;
    }
    return forecast;
}

}

std::optional<CapacityForecast> forecastCapacity(const Context &context, const Candidate &candidate, AvailableWorkers &availableWorkers)
{
    const bool requiresOneRack = candidate.m_requiresOneRack;
    std::map<fleet::RackId, std::vector<FreedSlot>> freedSlots;
    for (AvailableWorker &available : availableWorkers) {
        if (mayRun(candidate, *available.m_state, context.m_now.m_boot)) {
            addFreedSlots(context, candidate, available, freedSlots[requiresOneRack ? available.m_state->m_registration.m_rack : fleet::RackId()]);
        }
    }
    std::optional<CapacityForecast> best;
    for (const auto &[rack, rackSlots] : freedSlots) {
        std::optional<CapacityForecast> forecast = earliestForecast(rackSlots, candidate.m_tasks.size());
        if (forecast && (!best || forecast->m_wait < best->m_wait)) {
            best = std::move(forecast);
        }
    }
    return best;
}

}
