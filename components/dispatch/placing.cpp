#include "components/dispatch/placing.hpp"

#include "components/dispatch/available_workers.hpp"
#include "components/dispatch/candidate.hpp"
#include "components/dispatch/worker_speed.hpp"
#include "components/dispatch/worker_state.hpp"
#include "components/jobs/step_spec.hpp"

#include <algorithm>
#include <array>
#include <iterator>
#include <limits>
#include <map>
#include <tuple>
#include <utility>

namespace dispatch
{

namespace
{

/// After a failure the step is offered to workers with a healthy start within the first of these times, then the next. Workers
/// become faulty for seconds at a time.
constexpr std::array<fleet::Duration, 3> healthyStartAges {fleet::Duration(500), fleet::Duration(1000), fleet::Duration(2000)};

/// Workers are filled up in steps of this many runs. Each answer of a worker lists all its runs, so that many on one cost more than on several.
constexpr std::size_t runsOfAStep = 64;

using PlacementOrder = std::tuple<std::int64_t, std::int64_t, std::int64_t, std::int64_t, std::int64_t>;

/// Sort key of a worker for best-fit placement: among workers of a suitable speed, those with little free capacity come first, so that
/// empty workers remain for large tasks.
PlacementOrder placementOrder(const Candidate &candidate, const AvailableWorker &available, const fleet::Resources &free)
{
    const WorkerState &worker = *available.m_state;
    const bool isAwayFromData = !candidate.m_spec->m_dataRack.empty() && worker.m_registration.m_rack.value() != candidate.m_spec->m_dataRack;
    const std::int64_t penalty
        = (isAwayFromData ? 1 : 0) + (worker.m_consecutiveFailures > 0 ? 2 : 0) + (worker.m_registration.m_warmUpLeft.count() > 0 ? 1 : 0);
    const auto runSteps = static_cast<std::int64_t>(worker.m_runs.size() / runsOfAStep);
    return {penalty, speedOrder(candidate.m_speedPreference, available.m_speedClass), runSteps, free.m_accelerators, free.m_memoryMb};
}

struct Option
{
    AvailableWorker *m_worker = nullptr;
    std::uint32_t m_slots = 0;
    PlacementOrder m_order;
};

std::vector<Option> findOptions(const Candidate &candidate, AvailableWorkers &availableWorkers, fleet::BootTime now)
{
    std::vector<Option> options;
    for (AvailableWorker &available : availableWorkers) {
        if (!mayRun(candidate, *available.m_state, now)) {
            continue;
        }
        const fleet::Resources free = freeResourcesFor(candidate, available);
        const std::uint32_t slots = countSlots(candidate, available, free);
        if (slots > 0) {
            options.push_back({&available, slots, placementOrder(candidate, available, free)});
        }
    }
    std::sort(options.begin(), options.end(), [](const Option &a, const Option &b) {
        return a.m_order < b.m_order;
    });
    return options;
}

Placement assign(const std::vector<Option> &options, std::uint32_t tasks)
{
    Placement placement;
    for (const Option &option : options) {
        if (placement.m_tasks == tasks) {
            break;
        }
        const std::uint32_t here = std::min(option.m_slots, tasks - placement.m_tasks);
        placement.m_tasksPerWorker.emplace_back(option.m_worker, here);
        placement.m_tasks += here;
    }
    return placement;
}

/// Returns what a placement costs in speed; lower is better. A gang that needs fast workers ends with its slowest member. A gang that does
/// not need them should leave them to others.
std::int64_t speedCost(SpeedPreference preference, const Placement &placement)
{
    std::int64_t slowest = std::numeric_limits<std::int64_t>::min();
    std::int64_t onFastWorkers = 0;
    for (const auto &[available, tasks] : placement.m_tasksPerWorker) {
        slowest = std::max<std::int64_t>(slowest, available->m_speedClass);
        onFastWorkers += available->m_speedClass < 0 ? tasks : 0;
    }
    switch (preference) {
    case SpeedPreference::Fastest:
        return slowest;
    case SpeedPreference::Slowest:
        return onFastWorkers;
    case SpeedPreference::None:
        break;
    }
    return 0;
}

/// Assigns all tasks to one rack: to one with workers of a suitable speed, and among these to the one with the least capacity left over.
Placement assignToOneRack(SpeedPreference preference, const std::vector<Option> &options, std::uint32_t tasks)
{
    std::map<fleet::RackId, std::vector<Option>> racks;
    std::map<fleet::RackId, std::uint32_t> slots;
    for (const Option &option : options) {
        const fleet::RackId &rack = option.m_worker->m_state->m_registration.m_rack;
        racks[rack].push_back(option);
        slots[rack] += option.m_slots;
    }
    Placement best;
    auto least = std::pair(std::numeric_limits<std::int64_t>::max(), std::numeric_limits<std::uint32_t>::max());
    for (const auto &[rack, rackOptions] : racks) {
        if (slots[rack] < tasks) {
            continue;
        }
        Placement placement = assign(rackOptions, tasks);
        const auto cost = std::pair(speedCost(preference, placement), slots[rack]);
        if (cost < least) {
            least = cost;
            best = std::move(placement);
        }
    }
    return best;
}

Placement assignTasks(const Candidate &candidate, const std::vector<Option> &options)
{
    const auto tasks = static_cast<std::uint32_t>(candidate.m_tasks.size());
    const bool isGang = candidate.m_spec->m_isGang;
    const Placement placement = candidate.m_requiresOneRack ? assignToOneRack(candidate.m_speedPreference, options, tasks) : assign(options, tasks);
    return isGang && placement.m_tasks < tasks ? Placement() : placement;
}

template<class Keep>
std::vector<Option> filter(const std::vector<Option> &options, Keep keep)
{
    std::vector<Option> kept;
    std::copy_if(options.begin(), options.end(), std::back_inserter(kept), [&](const Option &option) {
        return keep(*option.m_worker->m_state);
    });
    return kept;
}

/// Tries the workers with the most recent healthy starts first, then all workers except those where the step failed.
Placement assignAfterFailure(const Candidate &candidate, const std::vector<Option> &options, fleet::BootTime now)
{
    const std::vector<Option> others = filter(options, [&](const WorkerState &worker) {
        return !candidate.m_failedOn.contains(worker.m_registration.m_incarnation.m_worker);
    });
    for (const fleet::Duration age : healthyStartAges) {
        Placement placement = assignTasks(candidate, filter(others, [&](const WorkerState &worker) {
                                              return now - worker.m_lastHealthyStartAt <= age;
                                          }));
        if (placement.m_tasks == candidate.m_tasks.size()) {
            return placement;
        }
    }
    return assignTasks(candidate, others);
}

}

Placement choosePlacement(const Candidate &candidate, AvailableWorkers &availableWorkers, fleet::BootTime now)
{
    const std::vector<Option> options = findOptions(candidate, availableWorkers, now);
    if (candidate.m_hasFailed) {
        Placement placement = assignAfterFailure(candidate, options, now);
        if (placement.m_tasks > 0) {
            return placement;
        }
    }
    return assignTasks(candidate, options);
}

}
