#include "components/experiment/audit.hpp"

#include <criterion/criterion.h>

namespace
{

using experiment::ViolationKind;
using scheduler::TaskPhase;
using std::chrono::seconds;

const fleet::TimePoint start {std::chrono::hours(1)};
const fleet::JobId jobId("job");

experiment::TaskChange change(int attempt, int task, TaskPhase phase, fleet::Duration after)
{
    return {{jobId, attempt, task}, fleet::WorkerId("worker-" + std::to_string(task)), phase, start + after, seconds(10), fleet::Duration(0)};
}

struct Fixture
{
    experiment::Audit m_audit;
    std::optional<fleet::TimePoint> m_unavailableSince;

    void observe(int attempt, int task, TaskPhase phase, fleet::Duration after)
    {
        experiment::observe(m_audit, change(attempt, task, phase, after), 2, m_unavailableSince);
    }

    bool foundOnly(ViolationKind kind) const
    {
        return m_audit.m_violations.size() == 1 && m_audit.m_violations.front().m_kind == kind;
    }
};

}

Test(audit, wholeGangThatSucceeds_observe_findsNothing)
{
    Fixture fixture;
    fixture.observe(1, 0, TaskPhase::Running, seconds(0));
    fixture.observe(1, 1, TaskPhase::Running, seconds(1));
    fixture.observe(1, 0, TaskPhase::Succeeded, seconds(100));
    fixture.observe(1, 1, TaskPhase::Succeeded, seconds(200));
    experiment::observeJobEnd(fixture.m_audit, jobId, true, start + seconds(201));
    experiment::finish(fixture.m_audit, start + seconds(300));
    cr_assert(fixture.m_audit.m_violations.empty());
}

Test(audit, secondAttemptBeforeFirstEnded_observe_findsTwoLiveAttempts)
{
    Fixture fixture;
    fixture.observe(1, 0, TaskPhase::Running, seconds(0));
    fixture.observe(2, 1, TaskPhase::Running, seconds(1));
    cr_assert(fixture.foundOnly(ViolationKind::TwoLiveAttempts));
}

Test(audit, sameTaskStartedTwice_observe_findsTwoLiveAttempts)
{
    Fixture fixture;
    fixture.observe(1, 0, TaskPhase::Running, seconds(0));
    fixture.observe(1, 0, TaskPhase::Running, seconds(1));
    cr_assert(fixture.foundOnly(ViolationKind::TwoLiveAttempts));
}

Test(audit, partOfGangRunsPastOneLease_observe_findsPartialGang)
{
    Fixture fixture;
    fixture.observe(1, 0, TaskPhase::Running, seconds(0));
    fixture.observe(1, 1, TaskPhase::Running, seconds(0));
    fixture.observe(1, 1, TaskPhase::LeaseExpired, seconds(20));
    fixture.observe(1, 0, TaskPhase::Stopped, seconds(40));
    cr_assert(fixture.foundOnly(ViolationKind::PartialGang));
}

Test(audit, partOfGangStoppedWithinLease_observe_findsNothing)
{
    Fixture fixture;
    fixture.observe(1, 0, TaskPhase::Running, seconds(0));
    fixture.observe(1, 1, TaskPhase::Running, seconds(0));
    fixture.observe(1, 1, TaskPhase::LeaseExpired, seconds(20));
    fixture.observe(1, 0, TaskPhase::Stopped, seconds(30));
    cr_assert(fixture.m_audit.m_violations.empty());
}

Test(audit, gangStillPartialAtTheEnd_finish_findsPartialGang)
{
    Fixture fixture;
    fixture.observe(1, 0, TaskPhase::Running, seconds(0));
    experiment::finish(fixture.m_audit, start + seconds(30));
    cr_assert(fixture.foundOnly(ViolationKind::PartialGang));
}

Test(audit, startAfterGrace_observe_findsStartAfterTakeOut)
{
    Fixture fixture;
    fixture.m_unavailableSince = start;
    fixture.observe(1, 0, TaskPhase::Running, experiment::unavailabilityGrace);
    cr_assert(fixture.m_audit.m_violations.empty());
    fixture.observe(1, 1, TaskPhase::Running, experiment::unavailabilityGrace + fleet::Duration(1));
    cr_assert(fixture.foundOnly(ViolationKind::StartWhileUnavailable));
}

Test(audit, startOfEndedJob_observe_findsStartAfterEnd)
{
    Fixture fixture;
    experiment::observeJobEnd(fixture.m_audit, jobId, false, start);
    fixture.observe(1, 0, TaskPhase::Running, seconds(1));
    cr_assert(fixture.foundOnly(ViolationKind::StartAfterEnd));
}

Test(audit, doneWithOneTaskFailed_observeJobEnd_findsDoneWithoutSuccess)
{
    Fixture fixture;
    fixture.observe(1, 0, TaskPhase::Running, seconds(0));
    fixture.observe(1, 1, TaskPhase::Running, seconds(0));
    fixture.observe(1, 0, TaskPhase::Succeeded, seconds(5));
    fixture.observe(1, 1, TaskPhase::Failed, seconds(5));
    experiment::observeJobEnd(fixture.m_audit, jobId, true, start + seconds(6));
    cr_assert(fixture.foundOnly(ViolationKind::DoneWithoutSuccess));
}

Test(audit, leasesBeyondCapacity_checkCapacity_findsWorkerOverCapacity)
{
    Fixture fixture;
    experiment::FakeWorker worker;
    worker.m_info.m_capacity = {1'000, 1'000, 8};
    worker.m_leases[{jobId, 1, 0}].m_resources = {0, 0, 8};
    experiment::checkCapacity(fixture.m_audit, worker, start);
    cr_assert(fixture.m_audit.m_violations.empty());
    worker.m_leases[{jobId, 1, 1}].m_resources = {0, 0, 1};
    experiment::checkCapacity(fixture.m_audit, worker, start);
    cr_assert(fixture.foundOnly(ViolationKind::WorkerOverCapacity));
}
