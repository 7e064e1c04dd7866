#include "components/scheduler/step.hpp"

#include "components/scheduler/admission.hpp"
#include "components/scheduler/allocations.hpp"
#include "components/scheduler/feasibility.hpp"
#include "components/scheduler/gangs.hpp"
#include "components/scheduler/guarantee_coverage.hpp"
#include "components/scheduler/queue.hpp"
#include "components/scheduler/reports.hpp"
#include "components/scheduler/reservations.hpp"
#include "components/scheduler/state.hpp"

namespace scheduler
{

namespace
{

void endPendingStarts(Context &context)
{
    for (const fleet::JobId &id : context.m_state.m_active) {
        Job &job = context.m_state.m_jobs.at(id);
        const AttemptPhase phase = job.m_attempt->m_phase;
        if (phase == AttemptPhase::Claiming || phase == AttemptPhase::Reserving) {
            endAttempt(context, job, AttemptEnd::StartsDisallowed, "starts are not allowed");
        }
    }
}

void apply(Context &context, const JobArrived &event)
{
    admitJob(context, event);
}

void apply(Context &context, const JobCancelRequested &event)
{
    cancelJob(context, event);
}

void apply(Context &context, const WorkerListed &event)
{
    addOrUpdateWorker(context.m_state, event, context.m_now);
}

void apply(Context &context, const WorkerRemoved &event)
{
    removeWorker(context, event);
}

void apply(Context &context, const WorkerReported &event)
{
    applyReport(context, event);
}

void apply(Context &context, const PolicyChanged &event)
{
    context.m_state.m_accounts.clear();
    for (const ZoneAccount &account : event.m_accounts) {
        context.m_state.m_accounts.emplace(account.m_account, account);
    }
    applyGuarantees(context);
    for (auto &[key, group] : context.m_state.m_groups) {
        group.m_feasibleFleetVersion = 0;
    }
    context.m_state.m_isFreed = true;
    context.m_state.m_isDirty = true;
}

void apply(Context &context, const StartsAllowed &event)
{
    State &state = context.m_state;
    state.m_isDirty = state.m_isDirty || event.m_allowed != state.m_startsAllowed;
    state.m_isFreed = state.m_isFreed || event.m_allowed != state.m_startsAllowed;
    state.m_startsAllowed = event.m_allowed;
    state.m_isRecoveryComplete = state.m_isRecoveryComplete || event.m_allowed;
    if (!event.m_allowed) {
        endPendingStarts(context);
    }
}

void expireRemoved(State &state, Worker &worker, fleet::TimePoint now)
{
    const bool isRemoved = !worker.m_listed && worker.m_isExpected;
    if (isRemoved && now - worker.m_removedAt >= state.m_settings.m_replacementTime) {
        worker.m_isExpected = false;
        ++state.m_fleetVersion;
    }
}

/// Makes workers usable again whose quarantine or backoff is over.
void refreshWorkers(Context &context)
{
    State &state = context.m_state;
    for (const int worker : health::expire(state.m_health, state.m_settings.m_health, context.m_now)) {
        refreshUsable(state, worker, context.m_now);
    }
    for (int worker = 0; worker < static_cast<int>(state.m_workers.size()); ++worker) {
        expireRemoved(state, state.m_workers[worker], context.m_now);
        fleet::TimePoint &holdUntil = state.m_workers[worker].m_backoffUntil;
        if (holdUntil != fleet::TimePoint {} && holdUntil <= context.m_now) {
            holdUntil = fleet::TimePoint {};
            refreshUsable(state, worker, context.m_now);
        }
    }
}

/// True if a reservation may start its job by preemption or repacking. Other events announce all other changes.
bool isReservationDue(const Context &context)
{
    return !context.m_state.m_reservations.empty()
        && (earliestDue(context.m_state) <= context.m_now || context.m_now - context.m_state.m_repackedAt >= context.m_state.m_settings.m_repackInterval);
}

void apply(Context &context, const Tick & /*event*/)
{
    context.m_isTick = true;
    tickGangs(context);
    refreshWorkers(context);
    expireEnded(context);
    releaseDelayed(context.m_state, context.m_now);
    refuseInfeasible(context);
    context.m_state.m_isDirty = context.m_state.m_isDirty || isReservationDue(context);
}

}

std::vector<Action> step(State &state, const Event &event, fleet::TimePoint now)
{
    Context context {state, now, {}, {}, false, false};
    std::visit(
        [&context](const auto &one) {
            apply(context, one);
        },
        event);
    advanceGangs(context);
    advanceClaims(context);
    admitWaiting(context);
    advanceGangs(context);
    return std::move(context.m_actions);
}

}
