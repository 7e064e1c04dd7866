#include "components/scheduler/admission.hpp"

#include "components/scheduler/gangs.hpp"

namespace scheduler
{

namespace
{

/// Strict order of submission: the first job that does not fit holds up the rest, but for jobs in their retry wait.
void admitFifo(Context &context)
{
    State &state = context.m_state;
    const auto waiting = state.m_waiting;
    for (const WaitingJob &entry : waiting) {
        Job &job = state.m_jobs.at(entry.m_job);
        if (job.m_notBefore > context.m_now) {
            continue;
        }
        const auto workers = placement::place(state.m_pool, job.m_spec.m_shape, placement::Rule::FirstFit);
        if (!workers) {
            return;
        }
        beginAttempt(context, job, *workers);
    }
}

}

void admitWaiting(Context &context)
{
    State &state = context.m_state;
    if (!state.m_startsAllowed || !state.m_isDirty) {
        return;
    }
    state.m_isDirty = false;
    admitFifo(context);
}

}
