#include "components/dispatch/placing.hpp"

#include "components/dispatch/candidate.hpp"
#include "components/dispatch/rooms.hpp"
#include "components/dispatch/worker_state.hpp"
#include "components/jobs/step_spec.hpp"

#include <algorithm>
#include <array>
#include <iterator>
#include <limits>
#include <map>
#include <tuple>

namespace dispatch
{

namespace
{

/// How recent a sound start is asked for after a failure, in turn. Workers turn bad for seconds.
constexpr std::array<fleet::Duration, 3> soundAges {fleet::Duration(500), fleet::Duration(1000), fleet::Duration(2000)};

/// Orders workers so that those that the tasks leave with the least stay in front: whole workers are kept for large tasks.
std::tuple<std::int64_t, std::int64_t, std::int64_t> tightness(const Candidate &candidate, const WorkerState &worker, const fleet::Resources &free)
{
    const bool isAwayFromData = !candidate.m_spec->m_dataRack.empty() && worker.m_registration.m_rack.value() != candidate.m_spec->m_dataRack;
    const std::int64_t penalty = (isAwayFromData ? 1 : 0) + (worker.m_failuresInRow > 0 ? 2 : 0) + (worker.m_registration.m_warmUpLeft.count() > 0 ? 1 : 0);
    return {penalty, free.m_accelerators, free.m_memoryMb};
}

struct Option
{
    Room *m_room = nullptr;
    std::uint32_t m_slots = 0;
    std::tuple<std::int64_t, std::int64_t, std::int64_t> m_order;
};

std::vector<Option> findOptions(const Candidate &candidate, Rooms &rooms)
{
    std::vector<Option> options;
    for (Room &room : rooms) {
        if (!mayRun(candidate, *room.m_worker)) {
            continue;
        }
        const fleet::Resources free = freeFor(candidate, room);
        const std::uint32_t slots = slotsOn(candidate, room, free);
        if (slots > 0) {
            options.push_back({&room, slots, tightness(candidate, *room.m_worker, free)});
        }
    }
    std::sort(options.begin(), options.end(), [](const Option &a, const Option &b) {
        return a.m_order < b.m_order;
    });
    return options;
}

Choice fill(const std::vector<Option> &options, std::uint32_t tasks)
{
    Choice choice;
    for (const Option &option : options) {
        if (choice.m_tasks == tasks) {
            break;
        }
        const std::uint32_t here = std::min(option.m_slots, tasks - choice.m_tasks);
        choice.m_places.emplace_back(option.m_room, here);
        choice.m_tasks += here;
    }
    return choice;
}

/// The rack that holds all tasks and has the least room left over.
Choice fillOneRack(const std::vector<Option> &options, std::uint32_t tasks)
{
    std::map<fleet::RackId, std::vector<Option>> racks;
    std::map<fleet::RackId, std::uint32_t> slots;
    for (const Option &option : options) {
        const fleet::RackId &rack = option.m_room->m_worker->m_registration.m_rack;
        racks[rack].push_back(option);
        slots[rack] += option.m_slots;
    }
    const std::vector<Option> *best = nullptr;
    std::uint32_t fewest = std::numeric_limits<std::uint32_t>::max();
    for (const auto &[rack, rackOptions] : racks) {
        if (slots[rack] >= tasks && slots[rack] < fewest) {
            best = &rackOptions;
            fewest = slots[rack];
        }
    }
    return best == nullptr ? Choice() : fill(*best, tasks);
}

Choice fillAny(const Candidate &candidate, const std::vector<Option> &options)
{
    const auto tasks = static_cast<std::uint32_t>(candidate.m_tasks.size());
    const bool isGang = candidate.m_spec->m_isGang;
    const Choice choice = candidate.m_wantsOneRack ? fillOneRack(options, tasks) : fill(options, tasks);
    return isGang && choice.m_tasks < tasks ? Choice() : choice;
}

template<class Keep>
std::vector<Option> filter(const std::vector<Option> &options, Keep keep)
{
    std::vector<Option> kept;
    std::copy_if(options.begin(), options.end(), std::back_inserter(kept), [&](const Option &option) {
        return keep(*option.m_room->m_worker);
    });
    return kept;
}

/// Tries the workers with the most recent sound starts first, then all but those where the step failed.
Choice fillAfterFailure(const Candidate &candidate, const std::vector<Option> &options, fleet::BootTime now)
{
    const std::vector<Option> others = filter(options, [&](const WorkerState &worker) {
        return !candidate.m_failedOn.contains(worker.m_registration.m_incarnation.m_worker);
    });
    for (const fleet::Duration age : soundAges) {
        Choice choice = fillAny(candidate, filter(others, [&](const WorkerState &worker) {
                                    return now - worker.m_soundStartAt <= age;
                                }));
        if (choice.m_tasks == candidate.m_tasks.size()) {
            return choice;
        }
    }
    return fillAny(candidate, others);
}

}

Choice choosePlaces(const Candidate &candidate, Rooms &rooms, fleet::BootTime now)
{
    const std::vector<Option> options = findOptions(candidate, rooms);
    if (candidate.m_hasFailed) {
        Choice choice = fillAfterFailure(candidate, options, now);
        if (choice.m_tasks > 0) {
            return choice;
        }
    }
    return fillAny(candidate, options);
}

}
