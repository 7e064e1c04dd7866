#include "components/experiment/violation.hpp"

#include "components/experiment/workload.hpp"

namespace experiment
{

namespace
{

const char *kindText(ViolationKind kind)
{
    switch (kind) {
    case ViolationKind::TwoLiveAttempts:
        return "two live attempts";
    case ViolationKind::PartialGang:
        return "part of a gang outlived one lease";
    case ViolationKind::StartWhileUnavailable:
        return "start in a zone taken out or on a leaving worker";
    case ViolationKind::StartAfterEnd:
        return "start after the job's end";
    case ViolationKind::DoneWithoutSuccess:
        return "reported done without success";
    case ViolationKind::WorkerOverCapacity:
        return "worker over its capacity";
    }
    return "unknown";
}

}

std::string describe(const Violation &violation)
{
    const auto after = violation.m_at - runStart;
    return std::string(kindText(violation.m_kind)) + ": job '" + violation.m_job.value() + "', worker '" + violation.m_worker.value() + "', "
        + std::to_string(after.count()) + " ms after the start of the run";
}

}
