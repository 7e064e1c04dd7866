#include "components/journal/changes.hpp"
#include "components/journal/journal_state.hpp"

#include <chrono>

#include <criterion/criterion.h>

namespace journal::test
{

using namespace std::chrono_literals;

namespace
{

const jobs::JobId job {7};
const workers::WorkerIncarnation firstWorker {fleet::WorkerId("w1"), 1};
const workers::WorkerIncarnation secondWorker {fleet::WorkerId("w2"), 1};

/// A journal state with one job of two tasks, a gang unless told otherwise.
class JournalStateFixture
{
public:
    explicit JournalStateFixture(bool isGang = true)
    {
        jobs::StepSpec step;
        step.m_tasks = 2;
        step.m_isGang = isGang;
        JobAccepted record;
        record.m_spec.m_id = job;
        record.m_spec.m_steps = {step};
        record.m_maxAttempts = 3;
        apply(m_state, record, m_changes);
    }

    void launch(std::uint16_t task, std::uint32_t run, const workers::WorkerIncarnation &on)
    {
        apply(m_state, RunsLaunched {{{{{{job, 0, 0}, task}, run}, on}}}, m_changes);
    }

    void end(std::uint16_t task, std::uint32_t run, const workers::WorkerIncarnation &on, jobs::RunEnd how)
    {
        apply(m_state, RunsEnded {{{{{{job, 0, 0}, task}, run}, on, how, {}}}, {}}, m_changes);
    }

    /// The records of a run that was given up, launched elsewhere, and reported as done by its first worker after all.
    void recordDoneAfterClose()
    {
        launch(0, 1, firstWorker);
        end(0, 1, firstWorker, jobs::RunEnd::LeaseExpired);
        launch(0, 2, secondWorker);
        launch(0, 3, firstWorker);
        end(0, 3, firstWorker, jobs::RunEnd::Done);
    }

    const JournalState &state() const
    {
        return m_state;
    }

    /// Both members are done, one after the other.
    void complete()
    {
        end(0, 1, firstWorker, jobs::RunEnd::Done);
        end(1, 1, secondWorker, jobs::RunEnd::Done);
    }

    bool isKnownAfterForgetting(fleet::Duration now)
    {
        forgetEnded(m_state, std::chrono::seconds(100), fleet::BootTime(now));
        return findJob(m_state, job) != nullptr;
    }

    const TaskRecord &task(std::uint16_t index) const
    {
        return *findTask(m_state.m_jobs.at(job), {{job, 0, 0}, index});
    }

    bool isDone(std::uint16_t index) const
    {
        return findStep(m_state.m_jobs.at(job), {job, 0, 0})->isDone(index);
    }

private:
    JournalState m_state;
    Changes m_changes;
};

}

/// Guards against ending the new run of a gang member. The holder applies its own records when it writes them and again when it
/// reads them back, and the end of the earlier run has the same run number as the new one.
Test(JournalState, endOfMember_readAgainAfterMemberJoinedElsewhere_leavesNewRunOpen)
{
    JournalStateFixture fixture;
    fixture.launch(0, 1, firstWorker);
    fixture.end(0, 1, firstWorker, jobs::RunEnd::NeverBegan);
    fixture.launch(0, 1, secondWorker);
    fixture.end(0, 1, firstWorker, jobs::RunEnd::NeverBegan);
    cr_assert_eq(fixture.task(0).m_open.size(), 1U);
    cr_assert(fixture.task(0).m_open.front().m_target == secondWorker);
}

Test(JournalState, launchOfMember_readAgainAfterItNeverBegan_staysEnded)
{
    JournalStateFixture fixture;
    fixture.launch(0, 1, firstWorker);
    fixture.end(0, 1, firstWorker, jobs::RunEnd::NeverBegan);
    fixture.launch(0, 1, firstWorker);
    cr_assert(fixture.task(0).m_open.empty());
}

Test(JournalState, launchOfMember_readAgainAfterWorkerRestarted_staysEnded)
{
    JournalStateFixture fixture;
    fixture.launch(0, 1, firstWorker);
    fixture.end(0, 1, {firstWorker.m_worker, 2}, jobs::RunEnd::NeverBegan);
    fixture.launch(0, 1, firstWorker);
    cr_assert(fixture.task(0).m_open.empty());
}

/// The start was refused: the job was missing from the jobs that wait, and shown as running.
Test(JournalState, launchThatNeverBegan_jobHasNotBegun)
{
    JournalStateFixture fixture(false);
    fixture.launch(0, 1, firstWorker);
    cr_assert(hasBegun(*findJob(fixture.state(), job)));
    fixture.end(0, 1, firstWorker, jobs::RunEnd::NeverBegan);
    cr_assert_not(hasBegun(*findJob(fixture.state(), job)));
    cr_assert(stateOf(*findJob(fixture.state(), job)) == jobs::JobState::Queued);
}

Test(JournalState, launchThatNeverBeganAfterARunThatDid_jobHasBegun)
{
    JournalStateFixture fixture(false);
    fixture.launch(0, 1, firstWorker);
    fixture.end(0, 1, firstWorker, jobs::RunEnd::Stopped);
    fixture.launch(0, 2, firstWorker);
    fixture.end(0, 2, firstWorker, jobs::RunEnd::NeverBegan);
    cr_assert(hasBegun(*findJob(fixture.state(), job)));
}

Test(JournalState, endReportedAfterWorkerRestart_runLaunchedBeforeRestart_endsRun)
{
    JournalStateFixture fixture;
    fixture.launch(0, 1, firstWorker);
    fixture.end(0, 1, {firstWorker.m_worker, 2}, jobs::RunEnd::LostWithWorker);
    cr_assert(fixture.task(0).m_open.empty());
}

/// The format that every version reads: an end of a closed run has no effect, so it is recorded as that of a further run.
Test(JournalState, doneAfterClose_recordedAsFurtherRun_taskIsDoneAndTheOpenRunStays)
{
    JournalStateFixture fixture(false);
    fixture.recordDoneAfterClose();
    cr_assert(fixture.isDone(0));
    cr_assert_not(fixture.isDone(1));
    cr_assert_eq(fixture.task(0).m_open.size(), 1U);
    cr_assert(fixture.task(0).m_open.front().m_target == secondWorker);
}

Test(JournalState, doneAfterClose_readAgain_changesNothing)
{
    JournalStateFixture fixture(false);
    fixture.recordDoneAfterClose();
    const JournalState before = fixture.state();
    fixture.recordDoneAfterClose();
    cr_assert(fixture.state() == before);
}

Test(JournalState, endedJob_isForgottenOnceTheRetentionHasPassedSinceItsEndWasSeen)
{
    JournalStateFixture fixture;
    fixture.launch(0, 1, firstWorker);
    fixture.launch(1, 1, secondWorker);
    cr_assert(fixture.isKnownAfterForgetting(1000s));
    fixture.complete();
    cr_assert(fixture.isKnownAfterForgetting(2000s));
    cr_assert(fixture.isKnownAfterForgetting(2099s));
    cr_assert(!fixture.isKnownAfterForgetting(2100s));
}

Test(JournalState, endedJobWithAnOpenRun_isForgottenOnlyAfterTheRun)
{
    JournalStateFixture fixture;
    fixture.launch(0, 1, firstWorker);
    fixture.launch(1, 1, secondWorker);
    fixture.end(0, 1, firstWorker, jobs::RunEnd::Done);
    cr_assert(fixture.isKnownAfterForgetting(2000s));
    cr_assert(fixture.isKnownAfterForgetting(2200s));
    fixture.end(1, 1, secondWorker, jobs::RunEnd::Done);
    cr_assert(!fixture.isKnownAfterForgetting(2205s));
}

}
