#include "components/dispatch/plan.hpp"

#include "components/dispatch/account_limits.hpp"
#include "components/dispatch/account_shares.hpp"
#include "components/dispatch/advice.hpp"
#include "components/dispatch/available_workers.hpp"
#include "components/dispatch/candidates.hpp"
#include "components/dispatch/capacity_forecasts.hpp"
#include "components/dispatch/context.hpp"
#include "components/dispatch/eviction_policy.hpp"
#include "components/dispatch/evictions.hpp"
#include "components/dispatch/failures.hpp"
#include "components/dispatch/guarantees.hpp"
#include "components/dispatch/launch_limits.hpp"
#include "components/dispatch/placement_requirements.hpp"
#include "components/dispatch/placing.hpp"
#include "components/dispatch/rack_preference.hpp"
#include "components/dispatch/runs.hpp"
#include "components/dispatch/waiting.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace dispatch
{

namespace
{

/// How long capacity freed by evictions is reserved for a step, beyond the time that the runs take to stop. Covers the orders to
/// stop, polling the worker and storing the ends. A step that has not started by then chooses again: a step of higher rank may have
/// taken the capacity, or a worker may not answer. Runs that are being stopped already cost nothing then.
constexpr fleet::Duration evictionOverhead {500};
/// A gang that has waited this long gets workers reserved; other workers may be chosen after the reservation time.
constexpr fleet::Duration gangWaitBeforeReservation {1500};
constexpr fleet::Duration gangReservationTime {6000};
/// Divisors of the reclaim limit: a guaranteed step reclaims borrowed capacity after a quarter of the limit and accepts tasks in
/// several racks after half of it.
constexpr int reclaimAfterDivisor = 4;
constexpr int anyRackAfterDivisor = 2;
/// Minimum time between starts of a long-running step whose job causes its failures.
constexpr fleet::Duration restartPause {1000};
/// Maximum share of the available workers that may be reserved.
constexpr double maxReservedShare = 0.25;
/// How long a best-effort step waits for room on a worker without serving tasks. Longer, and it would count as lost, as a gang that waits
/// for one rack.
constexpr fleet::Duration besideServingWait {1500};
/// How often it is checked whether a rack could hold a gang at all; the list of workers is read about as often.
constexpr fleet::Duration rackCheckInterval {500};

int slowestSpeedClass(const Placement &placement)
{
    int slowest = std::numeric_limits<int>::min();
    for (const auto &[available, tasks] : placement.m_tasksPerWorker) {
        slowest = std::max(slowest, available->m_speedClass);
    }
    return slowest;
}

std::uint32_t nextRunNumber(const journal::JobRecord &job, const Candidate &candidate)
{
    const journal::StepRecord *record = journal::findStep(job, candidate.m_step);
    return record == nullptr ? 1 : journal::nextRunNumber(*record);
}

std::string ticketFor(const Candidate &candidate, const fleet::WorkerId &worker)
{
    return candidate.m_tickets ? candidate.m_tickets->at(worker) : std::string();
}

void dropReservation(Context &context, const jobs::StepId &step, AvailableWorkers &availableWorkers)
{
    if (context.m_state.m_reservations.erase(step) == 0) {
        return;
    }
    for (AvailableWorker &available : availableWorkers) {
        std::erase_if(available.m_reservations, [&](const WorkerReservation &reservation) {
            return reservation.m_step == step;
        });
    }
}

void start(Context &context, const Candidate &candidate, const Placement &placement, AvailableWorkers &availableWorkers)
{
    const journal::JobRecord &job = context.m_journalState.m_jobs.at(candidate.m_step.m_job);
    const std::uint32_t run = candidate.m_joinedRun > 0 ? candidate.m_joinedRun : nextRunNumber(job, candidate);
    std::size_t next = 0;
    for (const auto &[available, tasks] : placement.m_tasksPerWorker) {
        for (std::uint32_t i = 0; i < tasks; ++i) {
            const workers::WorkerIncarnation &incarnation = available->m_state->m_registration.m_incarnation;
            const jobs::RunId id {{candidate.m_step, candidate.m_tasks[next++]}, run};
            launch(context, id, incarnation, ticketFor(candidate, incarnation.m_worker));
            context.m_state.m_runs.at(id).m_staysBesideServing = candidate.m_mayRunBesideServing && available->m_state->m_servingRuns > 0;
            available->m_free = available->m_free - candidate.m_perTask;
            available->m_hasProbationRun = true;
        }
    }
    dropReservation(context, candidate.m_step, availableWorkers);
    if (candidate.m_spec->m_isGang) {
        context.m_state.m_incompleteGangs.insert(candidate.m_step);
    }
    if (candidate.m_spec->m_isLongRunning && isJobLikelyCause(context, candidate.m_step.m_job)) {
        context.m_state.m_restartNotBefore[candidate.m_step] = context.m_now.m_boot + restartPause;
    }
    context.m_out.m_log.push_back(logging::Line("dispatch", "launch")
                                      .add("job", toString(candidate.m_step.m_job))
                                      .add("occurrence", candidate.m_step.m_occurrence)
                                      .add("step", candidate.m_step.m_step)
                                      .add("run", run)
                                      .add("tasks", next)
                                      .add("workers", placement.m_tasksPerWorker.size())
                                      .add("priority", candidate.m_queue->m_priority)
                                      .add("prefers_fast", candidate.m_speedPreference == SpeedPreference::Fastest)
                                      .add("slowest_speed_class", slowestSpeedClass(placement))
                                      .add("waited_ms", context.m_now.m_wall - job.m_acceptedAt)
                                      .add("token", context.m_state.m_token.m_value)
                                      .add("catalog", context.m_catalog.m_version));
}

/// Reserves the resources of the given number of tasks on each worker for the candidate.
void reserve(Context &context,
             const Candidate &candidate,
             const std::map<AvailableWorker *, std::uint32_t> &tasks,
             fleet::Duration length,
             fleet::Duration expectedWait,
             bool awaitsStops)
{
    Reservation reservation;
    reservation.m_until = context.m_now.m_boot + length;
    reservation.m_expectedAt = context.m_now.m_boot + expectedWait;
    reservation.m_awaitsStops = awaitsStops;
    reservation.m_rank = rankOf(candidate);
    reservation.m_isInOneRack = candidate.m_requiresOneRack;
    for (const auto &[available, count] : tasks) {
        const fleet::Resources resources = candidate.m_perTask * count;
        reservation.m_resources[available->m_state->m_registration.m_incarnation.m_worker] = resources;
        available->m_reservations.push_back({candidate.m_step, reservation.m_rank, resources, expectedWait});
    }
    context.m_state.m_reservations[candidate.m_step] = std::move(reservation);
}

/// Stops runs of lower priority, or borrowed ones that the candidate may reclaim, and reserves their capacity.
void evictFor(Context &context, const Candidate &candidate, AvailableWorkers &availableWorkers)
{
    const std::vector<Eviction> chosen = chooseEvictions(context, candidate, availableWorkers);
    if (chosen.empty()) {
        return;
    }
    std::map<AvailableWorker *, std::uint32_t> tasks;
    for (const Eviction &eviction : chosen) {
        tasks[eviction.m_worker] = eviction.m_slots;
    }
    dropReservation(context, candidate.m_step, availableWorkers);
    reserve(context, candidate, tasks, context.m_state.m_settings.m_stopGrace + evictionOverhead, fleet::Duration(0), true);
    for (const Eviction &eviction : chosen) {
        for (const jobs::RunId &victim : eviction.m_victims) {
            requestStop(context, victim, "room-for-" + toString(candidate.m_step.m_job));
        }
    }
}

/// Reserves the workers that will have enough capacity soonest for a gang. Without this, small tasks would keep taking each freed
/// accelerator and the gang would starve.
void reserveForGang(Context &context, const Candidate &candidate, AvailableWorkers &availableWorkers)
{
    const auto maxReserved = static_cast<std::size_t>(maxReservedShare * static_cast<double>(availableWorkers.size()));
    const std::size_t reserved = countReservedWorkers(availableWorkers);
    if (reserved >= maxReserved) {
        return;
    }
    const std::optional<CapacityForecast> expected = forecastCapacity(context, candidate, availableWorkers);
    if (!expected || reserved + expected->m_tasksPerWorker.size() > maxReserved) {
        return;
    }
    reserve(context, candidate, expected->m_tasksPerWorker, gangReservationTime, expected->m_wait, false);
    context.m_out.m_log.push_back(logging::Line("dispatch", "hold")
                                      .add("job", toString(candidate.m_step.m_job))
                                      .add("step", candidate.m_step.m_step)
                                      .add("workers", expected->m_tasksPerWorker.size())
                                      .add("expected_ms", expected->m_wait));
}

void dropExpiredReservations(Context &context)
{
    std::erase_if(context.m_state.m_reservations, [&](const auto &entry) {
        const journal::JobRecord *job = journal::findJob(context.m_journalState, entry.first.m_job);
        return context.m_now.m_boot >= entry.second.m_until || job == nullptr || job->isOver();
    });
}

PlacementRequirements requirementsOf(const Context &context, const Candidate &candidate)
{
    return {candidate.m_queue->m_service,
            candidate.m_spec->m_requiredLabel,
            candidate.m_perTask,
            rankOf(candidate),
            candidate.m_spec->m_isGang,
            candidate.m_requiresOneRack,
            candidate.m_spec->m_usesIdleProcessor && !candidate.m_mayRunBesideServing,
            countUsableReservations(context, candidate)};
}

/// Requirements of steps that could not be placed in this plan, with the smallest number of tasks. A step with the same
/// requirements and at least as many tasks cannot be placed either.
using UnplaceableRequirements = std::vector<std::pair<PlacementRequirements, std::size_t>>;

/// What was found out in this plan, to examine steps with the same requirements only once.
struct PlanFindings
{
    /// Steps that could neither be placed nor have runs evicted for them.
    UnplaceableRequirements m_unplaceable;
    /// Steps that prefer one rack and did not fit in several. Evicting runs for them was not tried.
    UnplaceableRequirements m_notInSeveralRacks;
};

UnplaceableRequirements::iterator findRequirements(UnplaceableRequirements &unplaceable, const PlacementRequirements &requirements)
{
    return std::find_if(unplaceable.begin(), unplaceable.end(), [&](const auto &entry) {
        return entry.first == requirements;
    });
}

bool isComparable(const Context &context, const Candidate &candidate)
{
    return candidate.m_joinedRun == 0 && !candidate.m_tickets && candidate.m_spec->m_maxPerRunner == 0
        && !context.m_state.m_reservations.contains(candidate.m_step);
}

bool isKnownUnplaceable(const Context &context, const Candidate &candidate, UnplaceableRequirements &unplaceable)
{
    const auto found = findRequirements(unplaceable, requirementsOf(context, candidate));
    return found != unplaceable.end() && candidate.m_tasks.size() >= found->second && isComparable(context, candidate);
}

void addUnplaceable(const Context &context, const Candidate &candidate, UnplaceableRequirements &unplaceable)
{
    if (!isComparable(context, candidate)) {
        return;
    }
    const std::size_t tasks = candidate.m_spec->m_isGang ? candidate.m_tasks.size() : 1;
    const PlacementRequirements requirements = requirementsOf(context, candidate);
    const auto found = findRequirements(unplaceable, requirements);
    if (found == unplaceable.end()) {
        unplaceable.emplace_back(requirements, tasks);
    } else {
        found->second = std::min(found->second, tasks);
    }
}

fleet::Duration waitedFor(const Context &context, const Candidate &candidate)
{
    return context.m_now.m_boot - context.m_state.m_activeJobs.at(candidate.m_step.m_job);
}

/// Launches the tasks that fit.
void placeWhatFits(Context &context, Candidate &candidate, AvailableWorkers &availableWorkers)
{
    const Placement placement = choosePlacement(candidate, availableWorkers, context.m_now.m_boot);
    if (placement.m_tasks > 0) {
        start(context, candidate, placement, availableWorkers);
        candidate.m_tasks.erase(candidate.m_tasks.begin(), candidate.m_tasks.begin() + placement.m_tasks);
    }
}

/// Launches one task of a best-effort step beside a serving task, or the whole step if it is a gang, once it has waited in vain for other room.
/// The serving tasks show within a second or two what that does to them, before the next task follows.
void placeBesideServing(Context &context, Candidate &candidate, const WaitingStep &waiting, AvailableWorkers &availableWorkers)
{
    if (candidate.m_tasks.empty() || !candidate.m_spec->m_usesIdleProcessor || context.m_now.m_boot - waiting.m_since < besideServingWait) {
        return;
    }
    Candidate beside = candidate;
    beside.m_mayRunBesideServing = true;
    beside.m_tasks.resize(beside.m_spec->m_isGang ? beside.m_tasks.size() : 1);
    const std::size_t tried = beside.m_tasks.size();
    placeWhatFits(context, beside, availableWorkers);
    const std::size_t placed = tried - beside.m_tasks.size();
    candidate.m_tasks.erase(candidate.m_tasks.begin(), candidate.m_tasks.begin() + static_cast<std::ptrdiff_t>(placed));
}

void evictForTheRest(Context &context, const Candidate &candidate, AvailableWorkers &availableWorkers)
{
    const auto reservation = context.m_state.m_reservations.find(candidate.m_step);
    const bool isAwaitingStops = reservation != context.m_state.m_reservations.end() && reservation->second.m_awaitsStops;
    if (!candidate.m_tasks.empty() && !isAwaitingStops && candidate.m_acceptableLoss) {
        evictFor(context, candidate, availableWorkers);
    }
}

/// Gives up the preference of a gang for one rack if no rack could ever hold it, or if it has waited for one while it would fit in
/// several.
void updateRackPreference(const Context &context, Candidate &candidate, WaitingStep &waiting, AvailableWorkers &availableWorkers, PlanFindings &findings)
{
    const fleet::BootTime now = context.m_now.m_boot;
    if (!waiting.m_rackCheckedAt || now - *waiting.m_rackCheckedAt >= rackCheckInterval) {
        waiting.m_rackCheckedAt = now;
        waiting.m_canARackHold = canARackHold(candidate, context.m_state.m_workers, now);
    }
    Candidate inSeveral = candidate;
    giveUpOneRack(inSeveral);
    const bool isKnownNotToFit
        = isKnownUnplaceable(context, inSeveral, findings.m_unplaceable) || isKnownUnplaceable(context, inSeveral, findings.m_notInSeveralRacks);
    const bool fits = !isKnownNotToFit && choosePlacement(inSeveral, availableWorkers, now).m_tasks > 0;
    recordFitInSeveralRacks(waiting, fits, now);
    if (!waiting.m_canARackHold || (fits && hasWaitedForOneRack(waiting))) {
        giveUpOneRack(candidate);
    } else if (!fits) {
        addUnplaceable(context, inSeveral, findings.m_notInSeveralRacks);
    }
}

/// Drops capacity that was reserved in one rack for a step that has given that up, so that the step can choose from all racks.
void dropReservationInOneRack(Context &context, const Candidate &candidate, AvailableWorkers &availableWorkers)
{
    const auto reservation = context.m_state.m_reservations.find(candidate.m_step);
    if (reservation != context.m_state.m_reservations.end() && reservation->second.m_isInOneRack && !reservation->second.m_awaitsStops) {
        dropReservation(context, candidate.m_step, availableWorkers);
    }
}

/// A guaranteed step must start within the reclaim limit. After a part of it the step reclaims borrowed capacity, and after a
/// larger part it accepts tasks in several racks.
void applyGuaranteeDeadline(const Context &context, Candidate &candidate)
{
    const fleet::Duration waited = waitedFor(context, candidate);
    candidate.m_mayReclaim = candidate.m_isGuaranteed && waited >= context.m_state.m_settings.m_reclaimLimit / reclaimAfterDivisor;
    if (candidate.m_isGuaranteed && waited >= context.m_state.m_settings.m_reclaimLimit / anyRackAfterDivisor) {
        giveUpOneRack(candidate);
    }
}

void placeCandidate(Context &context, Candidate &candidate, WaitingStep &waiting, AvailableWorkers &availableWorkers, PlanFindings &findings)
{
    applyGuaranteeDeadline(context, candidate);
    candidate.m_acceptableLoss = acceptableLoss(candidate.m_queue->m_priority, waitedFor(context, candidate));
    bool mayBePlaceable = !isKnownUnplaceable(context, candidate, findings.m_unplaceable);
    if (mayBePlaceable) {
        placeWhatFits(context, candidate, availableWorkers);
    }
    if (!candidate.m_tasks.empty() && candidate.m_requiresOneRack) {
        updateRackPreference(context, candidate, waiting, availableWorkers, findings);
        mayBePlaceable = !isKnownUnplaceable(context, candidate, findings.m_unplaceable);
        if (!candidate.m_requiresOneRack && mayBePlaceable) {
            placeWhatFits(context, candidate, availableWorkers);
        }
    }
    placeBesideServing(context, candidate, waiting, availableWorkers);
    if (!candidate.m_requiresOneRack) {
        dropReservationInOneRack(context, candidate, availableWorkers);
    }
    if (mayBePlaceable) {
        evictForTheRest(context, candidate, availableWorkers);
    }
    if (candidate.m_tasks.empty() || context.m_state.m_reservations.contains(candidate.m_step)) {
        return;
    }
    addUnplaceable(context, candidate, findings.m_unplaceable);
    if (candidate.m_tickets) {
        askAdvice(context, candidate, availableWorkers);
    }
    const bool hasWaited = waitedFor(context, candidate) >= gangWaitBeforeReservation;
    if (candidate.m_spec->m_isGang && hasWaited) {
        reserveForGang(context, candidate, availableWorkers);
    }
}

/// Withholds the tasks that the maximum of the account does not allow to start, with the reservation that only they need.
void withholdExcess(Context &context, AccountBudgets &budgets, Candidate &candidate, AvailableWorkers &availableWorkers)
{
    if (withholdTasks(context, budgets, candidate)) {
        dropReservation(context, candidate.m_step, availableWorkers);
    }
}

/// A guaranteed step has to start within the reclaim limit also if runs of lower priority take up the maximum of its own account.
void makeRoomBelowMaximum(Context &context, const AccountBudgets &budgets, const Candidate &candidate)
{
    if (!candidate.m_isGuaranteed || candidate.m_withheldTasks.empty()) {
        return;
    }
    for (const jobs::RunId &run : chooseStopsInOwnAccount(context, candidate, missingBelowMaximum(budgets, candidate))) {
        requestStop(context, run, "maximum-for-" + toString(candidate.m_step.m_job));
    }
}

void countPlan(WorkCounts &work, const std::vector<Candidate> &candidates)
{
    ++work.m_plans;
    work.m_candidates += candidates.size();
    for (const Candidate &candidate : candidates) {
        work.m_listedTasks += candidate.m_tasks.size();
    }
}

}

bool plan(Context &context)
{
    dropExpiredReservations(context);
    AvailableWorkers availableWorkers = findAvailableWorkers(context);
    PlanFindings findings;
    bool isAnyLeft = false;
    context.m_state.m_isPlanLimited = false;
    std::vector<Candidate> candidates = findCandidates(context);
    countPlan(context.m_out.m_work, candidates);
    orderByShare(context, candidates);
    AccountBudgets budgets = makeAccountBudgets(context, candidates);
    for (Candidate &candidate : candidates) {
        WaitingStep &waiting = findWaitingStep(context, candidate);
        limitLaunches(context, candidate);
        withholdExcess(context, budgets, candidate, availableWorkers);
        makeRoomBelowMaximum(context, budgets, candidate);
        const std::size_t ready = candidate.m_tasks.size();
        if (ready > 0) {
            placeCandidate(context, candidate, waiting, availableWorkers, findings);
        }
        if (candidate.m_tasks.size() < ready) {
            recordPlaced(context, waiting);
        }
        settleTasks(context, budgets, candidate, ready);
        const bool areAnyUnlisted = candidate.m_unlistedTasks > 0;
        context.m_state.m_isPlanLimited = context.m_state.m_isPlanLimited || areAnyUnlisted;
        isAnyLeft = isAnyLeft || areAnyUnlisted || !candidate.m_tasks.empty();
    }
    reportWaitingSteps(context, candidates, availableWorkers);
    return isAnyLeft;
}

}
