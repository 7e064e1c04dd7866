#include "components/dispatch/rooms.hpp"

#include "components/dispatch/candidate.hpp"
#include "components/dispatch/context.hpp"
#include "components/dispatch/guarantees.hpp"
#include "components/dispatch/zone_cuts.hpp"

#include <algorithm>
#include <limits>

namespace dispatch
{

namespace
{

/// A worker that has not answered for this many orders in a row gets no new runs.
constexpr int silencesToAvoid = 1;
/// How long after its pause a worker that failed gets single runs only.
constexpr fleet::Duration trialTime {3000};

std::uint32_t countFitting(const fleet::Resources &free, const fleet::Resources &perTask)
{
    std::int64_t count = std::numeric_limits<std::uint16_t>::max();
    const auto limit = [&](std::int64_t have, std::int64_t need) {
        if (need > 0) {
            count = std::min(count, std::max<std::int64_t>(have, 0) / need);
        }
    };
    limit(free.m_milliCores, perTask.m_milliCores);
    limit(free.m_memoryMb, perTask.m_memoryMb);
    limit(free.m_accelerators, perTask.m_accelerators);
    return static_cast<std::uint32_t>(count);
}

bool isUsable(const Context &context, const WorkerState &worker)
{
    const fleet::BootTime now = context.m_now.m_boot;
    return worker.m_isListed && !worker.m_isCordoned && !worker.m_registration.m_isDraining && now >= worker.m_avoidUntil && worker.m_silences < silencesToAvoid
        && !context.m_zonesOut.contains(worker.m_registration.m_zone) && !isCutOff(context, worker.m_registration.m_zone);
}

std::vector<Hold> findHolds(const Context &context, const fleet::WorkerId &worker)
{
    std::vector<Hold> holds;
    for (const auto &[step, reservation] : context.m_state.m_reservations) {
        const auto reserved = reservation.m_room.find(worker);
        if (reserved != reservation.m_room.end()) {
            holds.push_back({step, reservation.m_rank, reserved->second});
        }
    }
    return holds;
}

/// Judges a worker that failed lately by a single run. Only for a while, since there may be nothing but gangs to run.
bool isOnTrial(const Context &context, const WorkerState &worker)
{
    return worker.m_failuresInRow > 0 && worker.m_soundStartAt < worker.m_failedAt && context.m_now.m_boot < worker.m_avoidUntil + trialTime;
}

bool hasTrialRun(const Context &context, const WorkerState &worker)
{
    return std::any_of(worker.m_runs.begin(), worker.m_runs.end(), [&](const jobs::RunId &run) {
        return context.m_state.m_runs.at(run).m_launchedAt >= worker.m_failedAt;
    });
}

std::uint32_t countOpenRuns(const Candidate &candidate, const WorkerState &worker)
{
    return static_cast<std::uint32_t>(std::count_if(worker.m_runs.begin(), worker.m_runs.end(), [&](const jobs::RunId &run) {
        return run.m_task.m_step == candidate.m_step;
    }));
}

}

bool isSuitable(const Candidate &candidate, const WorkerState &worker)
{
    const std::string &label = candidate.m_spec->m_requiredLabel;
    const workers::Registration &registration = worker.m_registration;
    const bool isInRack = candidate.m_joinedRack.empty() || candidate.m_joinedRack == registration.m_rack;
    // Tasks that fill slow down those that serve beside them by amounts that nobody can foresee.
    const bool isFree = !candidate.m_spec->m_usesIdleProcessor || worker.m_servingRuns == 0;
    return isFree && isInRack && !candidate.m_refusedBy.contains(registration.m_incarnation) && registration.m_service == candidate.m_queue->m_service
        && (label.empty() || label == registration.m_kind || label == registration.m_rack.value());
}

bool mayRun(const Candidate &candidate, const WorkerState &worker)
{
    const bool isPermitted = !candidate.m_tickets || candidate.m_tickets->contains(worker.m_registration.m_incarnation.m_worker);
    return isPermitted && isSuitable(candidate, worker);
}

Rooms findRooms(Context &context)
{
    Rooms rooms;
    for (auto &[id, worker] : context.m_state.m_workers) {
        if (isUsable(context, worker)) {
            Room room {&worker, worker.m_registration.m_capacity - worker.m_booked, findHolds(context, id)};
            room.m_isOnTrial = isOnTrial(context, worker);
            room.m_hasTrialRun = room.m_isOnTrial && hasTrialRun(context, worker);
            rooms.push_back(std::move(room));
        }
    }
    return rooms;
}

std::uint32_t slotsOn(const Candidate &candidate, const Room &room, const fleet::Resources &free)
{
    const WorkerState &worker = *room.m_worker;
    std::uint32_t slots = countFitting(free, candidate.m_perTask);
    if (room.m_isOnTrial && !candidate.m_mayReclaim) {
        const bool isTrialTask = !candidate.m_spec->m_isGang && !candidate.m_hasFailed && !room.m_hasTrialRun;
        slots = std::min<std::uint32_t>(slots, isTrialTask ? 1 : 0);
    }
    if (candidate.m_spec->m_maxPerRunner > 0) {
        const std::uint32_t open = countOpenRuns(candidate, worker);
        slots = std::min<std::uint32_t>(slots, candidate.m_spec->m_maxPerRunner > open ? candidate.m_spec->m_maxPerRunner - open : 0);
    }
    return slots;
}

fleet::Resources freeFor(const Candidate &candidate, const Room &room)
{
    fleet::Resources free = room.m_free;
    for (const Hold &hold : room.m_holds) {
        if (hold.m_step != candidate.m_step && hold.m_rank <= rankOf(candidate)) {
            free = free - hold.m_resources;
        }
    }
    return free;
}

std::size_t countHeld(const Rooms &rooms)
{
    return static_cast<std::size_t>(std::count_if(rooms.begin(), rooms.end(), [](const Room &room) {
        return !room.m_holds.empty();
    }));
}

}
