#include "components/dispatch/available_workers.hpp"

#include "components/dispatch/best_effort.hpp"
#include "components/dispatch/candidate.hpp"
#include "components/dispatch/context.hpp"
#include "components/dispatch/guarantees.hpp"
#include "components/dispatch/worker_speed.hpp"
#include "components/dispatch/zone_partitions.hpp"
#include "components/run_times/run_times.hpp"

#include <algorithm>
#include <limits>

namespace dispatch
{

namespace
{

/// A worker with at least this many consecutive unanswered calls gets no new runs.
constexpr int unansweredCallsToAvoid = 1;
/// How long a worker that failed gets only one run at a time, once its avoidance period is over.
constexpr fleet::Duration probationTime {3000};

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
    return isInService(context, worker) && context.m_now.m_boot >= worker.m_avoidUntil && worker.m_unansweredCalls < unansweredCallsToAvoid
        && !isPartitioned(context, worker.m_registration.m_zone);
}

std::vector<WorkerReservation> findReservations(const Context &context, const fleet::WorkerId &worker)
{
    std::vector<WorkerReservation> reservations;
    for (const auto &[step, reservation] : context.m_state.m_reservations) {
        const auto reserved = reservation.m_resources.find(worker);
        if (reserved != reservation.m_resources.end()) {
            reservations.push_back({step, reservation.m_rank, reserved->second, reservation.m_expectedAt - context.m_now.m_boot});
        }
    }
    return reservations;
}

/// A worker that failed recently is tested with a single run. The probation is limited in time, since there may be only gangs to
/// run, which are not placed on workers on probation.
bool isOnProbation(const Context &context, const WorkerState &worker)
{
    return worker.m_consecutiveFailures > 0 && worker.m_lastHealthyStartAt < worker.m_failedAt && context.m_now.m_boot < worker.m_avoidUntil + probationTime;
}

bool hasProbationRun(const Context &context, const WorkerState &worker)
{
    return std::any_of(worker.m_runs.begin(), worker.m_runs.end(), [&](const jobs::RunId &run) {
        return context.m_state.m_runs.at(run).m_launchedAt >= worker.m_failedAt;
    });
}

/// True if the tasks of the candidate should be done within the given time.
bool isDoneWithin(const Candidate &candidate, fleet::Duration time)
{
    return !candidate.m_spec->m_isLongRunning && candidate.m_spec->m_estimate.count() > 0 && candidate.m_spec->m_estimate <= time;
}

std::uint32_t countOpenRuns(const Candidate &candidate, const WorkerState &worker)
{
    // Runs are ordered by their steps. The worker may have many runs of others.
    std::uint32_t count = 0;
    const auto first = worker.m_runs.lower_bound({{candidate.m_step, 0}, 0});
    for (auto run = first; run != worker.m_runs.end() && run->m_task.m_step == candidate.m_step; ++run) {
        ++count;
    }
    return count;
}

}

bool isInService(const Context &context, const WorkerState &worker)
{
    return worker.m_isListed && !worker.m_isCordoned && !worker.m_registration.m_isDraining && !context.m_zonesOut.contains(worker.m_registration.m_zone);
}

bool isSuitable(const Candidate &candidate, const WorkerState &worker, fleet::BootTime now)
{
    const std::string &label = candidate.m_spec->m_requiredLabel;
    const workers::Registration &registration = worker.m_registration;
    const bool isInRack = candidate.m_joinedRack.empty() || candidate.m_joinedRack == registration.m_rack;
    // Best-effort tasks slow down serving tasks on the same worker by unpredictable amounts.
    const bool mayRunBeside = candidate.m_mayRunBesideServing && !isServingDisturbed(worker, now);
    const bool isFree = !candidate.m_spec->m_usesIdleProcessor || worker.m_servingRuns == 0 || mayRunBeside;
    return isFree && isInRack && !candidate.m_refusedBy.contains(registration.m_incarnation) && registration.m_service == candidate.m_queue->m_service
        && (label.empty() || label == registration.m_kind || label == registration.m_rack.value());
}

bool mayRun(const Candidate &candidate, const WorkerState &worker, fleet::BootTime now)
{
    const bool isPermitted = !candidate.m_tickets || candidate.m_tickets->contains(worker.m_registration.m_incarnation.m_worker);
    return isPermitted && isSuitable(candidate, worker, now);
}

AvailableWorkers findAvailableWorkers(Context &context)
{
    AvailableWorkers availableWorkers;
    for (auto &[id, worker] : context.m_state.m_workers) {
        if (isUsable(context, worker)) {
            AvailableWorker available {&worker, worker.m_registration.m_capacity - worker.m_allocated, findReservations(context, id)};
            if (context.m_state.m_settings.m_usesLearnedRunTimes) {
                available.m_speedClass = speedClass(run_times::speedOf(context.m_state.m_runTimes, worker.m_registration.m_incarnation, context.m_now.m_boot));
            }
            available.m_isOnProbation = isOnProbation(context, worker);
            available.m_hasProbationRun = available.m_isOnProbation && hasProbationRun(context, worker);
            availableWorkers.push_back(std::move(available));
        }
    }
    return availableWorkers;
}

std::uint32_t countSlots(const Candidate &candidate, const WorkerState &worker, const fleet::Resources &free)
{
    const std::uint32_t slots = countFitting(free, candidate.m_perTask);
    if (candidate.m_spec->m_maxPerRunner == 0) {
        return slots;
    }
    const std::uint32_t open = countOpenRuns(candidate, worker);
    return std::min<std::uint32_t>(slots, candidate.m_spec->m_maxPerRunner > open ? candidate.m_spec->m_maxPerRunner - open : 0);
}

std::uint32_t countSlots(const Candidate &candidate, const AvailableWorker &available, const fleet::Resources &free)
{
    const std::uint32_t slots = countSlots(candidate, *available.m_state, free);
    if (!available.m_isOnProbation || candidate.m_mayReclaim) {
        return slots;
    }
    const bool isAllowedOnProbation = !candidate.m_spec->m_isGang && !candidate.m_hasFailed && !available.m_hasProbationRun;
    return std::min<std::uint32_t>(slots, isAllowedOnProbation ? 1 : 0);
}

fleet::Resources freeResourcesFor(const Candidate &candidate, const AvailableWorker &available)
{
    fleet::Resources free = available.m_free;
    for (const WorkerReservation &reservation : available.m_reservations) {
        if (reservation.m_step != candidate.m_step && reservation.m_rank <= rankOf(candidate) && !isDoneWithin(candidate, reservation.m_expectedWait)) {
            free = free - reservation.m_resources;
        }
    }
    return free;
}

std::size_t countUsableReservations(const Context &context, const Candidate &candidate)
{
    const std::map<jobs::StepId, Reservation> &reservations = context.m_state.m_reservations;
    return static_cast<std::size_t>(std::count_if(reservations.begin(), reservations.end(), [&](const auto &entry) {
        return isDoneWithin(candidate, entry.second.m_expectedAt - context.m_now.m_boot);
    }));
}

std::size_t countReservedWorkers(const AvailableWorkers &availableWorkers)
{
    return static_cast<std::size_t>(std::count_if(availableWorkers.begin(), availableWorkers.end(), [](const AvailableWorker &available) {
        return !available.m_reservations.empty();
    }));
}

}
