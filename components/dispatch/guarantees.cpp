#include "components/dispatch/guarantees.hpp"

#include "components/dispatch/candidate.hpp"
#include "components/dispatch/context.hpp"

namespace dispatch
{

namespace
{

std::int64_t guaranteedAccelerators(const Context &context, const fleet::AccountId &account)
{
    const catalog::Account *found = catalog::findAccount(context.m_catalog, account);
    return found == nullptr ? 0 : found->m_guaranteedAccelerators;
}

std::int64_t neededAccelerators(const Candidate &candidate)
{
    return candidate.m_perTask.m_accelerators * static_cast<std::int64_t>(candidate.m_tasks.size() + candidate.m_unlistedTasks);
}

}

UrgentUse measureUse(const Context &context)
{
    UrgentUse use;
    for (const auto &[id, run] : context.m_state.m_runs) {
        if (run.m_priority == 0 && !run.m_isStopRequested) {
            use[run.m_account] += run.m_allocated.m_accelerators;
        }
    }
    return use;
}

void markGuaranteed(const Context &context, const UrgentUse &use, std::vector<Candidate> &candidates)
{
    UrgentUse needed = use;
    for (const Candidate &candidate : candidates) {
        if (candidate.m_queue->m_priority == 0) {
            needed[candidate.m_account] += neededAccelerators(candidate);
        }
    }
    for (Candidate &candidate : candidates) {
        candidate.m_isGuaranteed = candidate.m_queue->m_priority == 0 && needed[candidate.m_account] <= guaranteedAccelerators(context, candidate.m_account);
    }
}

bool isBorrowed(const Context &context, const UrgentUse &use, const RunState &run)
{
    const auto found = use.find(run.m_account);
    return run.m_priority == 0 && found != use.end() && found->second > guaranteedAccelerators(context, run.m_account);
}

int rankOf(const Candidate &candidate)
{
    return 2 * candidate.m_queue->m_priority + (candidate.m_isGuaranteed ? 0 : 1);
}

}
