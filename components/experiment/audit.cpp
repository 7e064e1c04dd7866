#include "components/experiment/audit.hpp"

#include <algorithm>

namespace experiment
{

namespace
{

using scheduler::TaskPhase;

void checkPartial(Audit &audit, const JobAudit &job, const TaskChange &change, fleet::TimePoint until)
{
    if (job.m_partialSince && until - *job.m_partialSince > job.m_leaseLength + maxCommandDelay) {
        audit.m_violations.push_back({ViolationKind::PartialGang, change.m_task.m_job, change.m_worker, until});
    }
}

/// Starts or ends the gang's partial period after a change and checks the length of a period that ended.
void updatePartial(Audit &audit, JobAudit &job, const TaskChange &change)
{
    const int running = static_cast<int>(job.m_live.size());
    const bool isPartial = running > 0 && running + job.m_succeeded < job.m_gangSize;
    if (isPartial && !job.m_partialSince) {
        job.m_partialSince = change.m_at;
    }
    if (!isPartial) {
        checkPartial(audit, job, change, change.m_at);
        job.m_partialSince.reset();
    }
}

void checkSingleAttempt(Audit &audit, const JobAudit &job, const TaskChange &change)
{
    const bool clashes = std::any_of(job.m_live.begin(), job.m_live.end(), [&](const LiveTask &live) {
        return live.m_task.m_attempt != change.m_task.m_attempt || live.m_task == change.m_task;
    });
    if (clashes) {
        audit.m_violations.push_back({ViolationKind::TwoLiveAttempts, change.m_task.m_job, change.m_worker, change.m_at});
    }
}

void observeStart(Audit &audit, JobAudit &job, const TaskChange &change, std::optional<fleet::TimePoint> unavailableSince)
{
    checkSingleAttempt(audit, job, change);
    if (unavailableSince && change.m_at - *unavailableSince > unavailabilityGrace) {
        audit.m_violations.push_back({ViolationKind::StartWhileUnavailable, change.m_task.m_job, change.m_worker, change.m_at});
    }
    if (job.m_ended) {
        audit.m_violations.push_back({ViolationKind::StartAfterEnd, change.m_task.m_job, change.m_worker, change.m_at});
    }
    if (change.m_task.m_attempt != job.m_attempt) {
        job.m_attempt = change.m_task.m_attempt;
        job.m_succeeded = 0;
    }
    job.m_leaseLength = std::max(job.m_leaseLength, change.m_leaseLength);
    job.m_live.push_back({change.m_task, change.m_worker});
    if (static_cast<int>(job.m_live.size()) == job.m_gangSize && !job.m_allRunningAt) {
        job.m_allRunningAt = change.m_at;
    }
}

void observeEnd(JobAudit &job, const TaskChange &change)
{
    std::erase_if(job.m_live, [&](const LiveTask &live) {
        return live.m_task == change.m_task && live.m_worker == change.m_worker;
    });
    if (change.m_phase != TaskPhase::Succeeded || change.m_task.m_attempt != job.m_attempt) {
        return;
    }
    ++job.m_succeeded;
    if (job.m_succeeded == job.m_gangSize && !job.m_succeededAt) {
        job.m_succeededAt = change.m_at;
    }
}

}

void observe(Audit &audit, const TaskChange &change, int gangSize, std::optional<fleet::TimePoint> unavailableSince)
{
    JobAudit &job = audit.m_jobs[change.m_task.m_job];
    job.m_gangSize = gangSize;
    if (change.m_phase == TaskPhase::Running) {
        observeStart(audit, job, change, unavailableSince);
    } else {
        observeEnd(job, change);
    }
    updatePartial(audit, job, change);
}

void observeJobEnd(Audit &audit, const fleet::JobId &id, bool isDone, fleet::TimePoint now)
{
    JobAudit &job = audit.m_jobs[id];
    job.m_ended = true;
    if (isDone && !job.m_succeededAt) {
        audit.m_violations.push_back({ViolationKind::DoneWithoutSuccess, id, {}, now});
    }
}

void checkCapacity(Audit &audit, const FakeWorker &worker, fleet::TimePoint now)
{
    if (!leasedResources(worker).fitsIn(worker.m_info.m_capacity)) {
        audit.m_violations.push_back({ViolationKind::WorkerOverCapacity, {}, worker.m_info.m_id, now});
    }
}

void finish(Audit &audit, fleet::TimePoint now)
{
    std::vector<Violation> late;
    for (const auto &[id, job] : audit.m_jobs) {
        if (job.m_partialSince && now - *job.m_partialSince > job.m_leaseLength + maxCommandDelay) {
            late.push_back({ViolationKind::PartialGang, id, job.m_live.front().m_worker, now});
        }
    }
    std::sort(late.begin(), late.end(), [](const Violation &a, const Violation &b) {
        return a.m_job < b.m_job;
    });
    audit.m_violations.insert(audit.m_violations.end(), late.begin(), late.end());
}

}
