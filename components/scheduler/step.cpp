#include "components/scheduler/step.hpp"

#include "components/scheduler/admission.hpp"
#include "components/scheduler/gangs.hpp"
#include "components/scheduler/ledger.hpp"
#include "components/scheduler/queue.hpp"
#include "components/scheduler/reports.hpp"
#include "components/scheduler/state.hpp"

namespace scheduler
{

namespace
{

void holdStarts(Context &context)
{
    for (const fleet::JobId &id : context.m_state.m_active) {
        Job &job = context.m_state.m_jobs.at(id);
        if (job.m_attempt->m_phase == AttemptPhase::Reserving) {
            endAttempt(context, job, AttemptEnd::Held, "starts are not allowed");
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
    listWorker(context.m_state, event);
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
    context.m_state.m_isDirty = true;
}

void apply(Context &context, const StartsAllowed &event)
{
    State &state = context.m_state;
    state.m_isDirty = state.m_isDirty || event.m_allowed != state.m_startsAllowed;
    state.m_startsAllowed = event.m_allowed;
    state.m_isSettled = state.m_isSettled || event.m_allowed;
    if (!event.m_allowed) {
        holdStarts(context);
    }
}

void apply(Context &context, const Tick & /*event*/)
{
    tickGangs(context);
    expireEnded(context);
    context.m_state.m_isDirty = true;
}

}

std::vector<Action> step(State &state, const Event &event, fleet::TimePoint now)
{
    Context context {state, now, {}, {}};
    std::visit(
        [&context](const auto &one) {
            apply(context, one);
        },
        event);
    settleGangs(context);
    admitWaiting(context);
    return std::move(context.m_actions);
}

}
