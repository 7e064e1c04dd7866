#include "components/dispatch/failures.hpp"

#include "components/dispatch/context.hpp"

#include <set>

namespace dispatch
{

namespace
{

/// How long a failure counts against its job.
constexpr fleet::Duration failureMemory {8000};
/// Number of workers on which a job has to fail. Few workers are faulty at a time, so that a sound job rarely meets this many. Those it
/// met before count as faulty, and any further one fails the tasks of other jobs too.
constexpr std::size_t failedWorkersOfACause = 2;

}

bool isJobLikelyCause(const Context &context, const jobs::JobId &job, const fleet::WorkerId &other)
{
    std::set<fleet::WorkerId> failedOn;
    const auto &failures = context.m_state.m_failures;
    for (auto step = failures.lower_bound({job, 0, 0}); step != failures.end() && step->first.m_job == job; ++step) {
        for (const auto &[worker, at] : step->second) {
            if (worker != other && context.m_now.m_boot - at < failureMemory) {
                failedOn.insert(worker);
            }
        }
    }
    return failedOn.size() >= failedWorkersOfACause;
}

}
