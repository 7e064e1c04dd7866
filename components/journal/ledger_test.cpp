#include "components/journal/changes.hpp"
#include "components/journal/ledger.hpp"

#include <criterion/criterion.h>

namespace journal::test
{

namespace
{

const jobs::JobId job {7};
const workers::Life first {fleet::WorkerId("w1"), 1};
const workers::Life second {fleet::WorkerId("w2"), 1};

/// A ledger with one gang of two tasks.
class LedgerFixture
{
public:
    LedgerFixture()
    {
        jobs::StepSpec step;
        step.m_tasks = 2;
        step.m_isGang = true;
        JobAccepted record;
        record.m_spec.m_id = job;
        record.m_spec.m_steps = {step};
        record.m_mostAttempts = 3;
        apply(m_ledger, record, m_changes);
    }

    void launch(std::uint16_t task, std::uint32_t run, const workers::Life &on)
    {
        apply(m_ledger, RunsLaunched {{{{{{job, 0, 0}, task}, run}, on}}}, m_changes);
    }

    void end(std::uint16_t task, std::uint32_t run, const workers::Life &on, jobs::RunEnd how)
    {
        apply(m_ledger, RunsEnded {{{{{{job, 0, 0}, task}, run}, on, how, {}}}, {}}, m_changes);
    }

    const TaskRecord &task(std::uint16_t index) const
    {
        return *findTask(m_ledger.m_jobs.at(job), {{job, 0, 0}, index});
    }

private:
    Ledger m_ledger;
    Changes m_changes;
};

}

/// The holder reads its own records back where another instance's came between them.
Test(Ledger, endOfMember_readAgainAfterMemberJoinedElsewhere_leavesNewRunOpen)
{
    LedgerFixture fixture;
    fixture.launch(0, 1, first);
    fixture.end(0, 1, first, jobs::RunEnd::NeverBegan);
    fixture.launch(0, 1, second);
    fixture.end(0, 1, first, jobs::RunEnd::NeverBegan);
    cr_assert_eq(fixture.task(0).m_open.size(), 1U);
    cr_assert(fixture.task(0).m_open.front().m_on == second);
}

Test(Ledger, launchOfMember_readAgainAfterItNeverBegan_staysEnded)
{
    LedgerFixture fixture;
    fixture.launch(0, 1, first);
    fixture.end(0, 1, first, jobs::RunEnd::NeverBegan);
    fixture.launch(0, 1, first);
    cr_assert(fixture.task(0).m_open.empty());
}

Test(Ledger, launchOfMember_readAgainAfterWorkerBeganNewLife_staysEnded)
{
    LedgerFixture fixture;
    fixture.launch(0, 1, first);
    fixture.end(0, 1, {first.m_worker, 2}, jobs::RunEnd::NeverBegan);
    fixture.launch(0, 1, first);
    cr_assert(fixture.task(0).m_open.empty());
}

Test(Ledger, endOnNewLifeOfWorker_runLaunchedOnLifeBefore_endsRun)
{
    LedgerFixture fixture;
    fixture.launch(0, 1, first);
    fixture.end(0, 1, {first.m_worker, 2}, jobs::RunEnd::LostWithWorker);
    cr_assert(fixture.task(0).m_open.empty());
}

}
