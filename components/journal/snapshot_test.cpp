#include "components/allocations/allocation_counts.hpp"
#include "components/journal/changes.hpp"
#include "components/journal/job_record_v1.hpp"
#include "components/journal/snapshot.hpp"
#include "components/wire/codec.hpp"

#include <cereal/types/map.hpp>
#include <cereal/types/set.hpp>

#include <criterion/criterion.h>

namespace journal::test
{

namespace
{

const jobs::JobId job {7};
const workers::WorkerIncarnation worker {fleet::WorkerId("w1"), 1};

/// A journal state with one job, of which tasks are launched and end in order.
struct JobFixture
{
    JobFixture(std::uint16_t tasks, std::uint32_t occurrences, bool isGang = false)
    {
        JobAccepted accepted;
        accepted.m_spec.m_id = job;
        accepted.m_spec.m_steps.resize(1);
        accepted.m_spec.m_steps[0].m_tasks = tasks;
        accepted.m_spec.m_steps[0].m_isGang = isGang;
        accepted.m_spec.m_schedule.m_occurrences = occurrences;
        accepted.m_maxAttempts = 3;
        apply(m_state, accepted, m_changes);
    }

    void launch(std::uint32_t occurrence, std::uint16_t task, std::uint32_t run = 1)
    {
        apply(m_state, RunsLaunched {{{{{{job, occurrence, 0}, task}, run}, worker}}}, m_changes);
    }

    void end(std::uint32_t occurrence, std::uint16_t task, std::uint32_t run, jobs::RunEnd how, const std::string &checkpoint = {})
    {
        apply(m_state, RunsEnded {{{{{{job, occurrence, 0}, task}, run}, worker, how, checkpoint}}, {}}, m_changes);
    }

    void complete(std::uint32_t occurrence, std::uint16_t task)
    {
        launch(occurrence, task);
        end(occurrence, task, 1, jobs::RunEnd::Done);
        m_changes = {};
    }

    const JobRecord &record() const
    {
        return m_state.m_jobs.at(job);
    }

    std::size_t snapshotBytes() const
    {
        std::size_t bytes = 0;
        for (const store::KeyedRecord &part : encodeSnapshot(m_state, 1, 0)) {
            bytes += part.m_value.size();
        }
        return bytes;
    }

    JournalState m_state;
    Changes m_changes;
};

/// What version 1 stored for the job of a fixture without occurrences: a record for each task.
JobRecordV1 storedByVersion1(const JobRecord &record, const std::vector<TaskRecord> &tasks, std::uint32_t doneTasks)
{
    JobRecordV1 stored;
    stored.m_spec = record.m_spec;
    stored.m_maxAttempts = record.m_maxAttempts;
    stored.m_acceptedAt = record.m_acceptedAt;
    stored.m_hasBegun = record.m_hasBegun;
    stored.m_openRuns = record.m_openRuns;
    stored.m_occurrences[0].m_steps.push_back({tasks, doneTasks, 0, 0, 0});
    return stored;
}

}

/// Guards against a record for each task of a step as soon as one of them is launched: with ten such jobs every instance ran out of memory.
Test(journalState, firstTaskOfAWideStepIsLaunched_keepsNoMoreThanForANarrowOne)
{
    const auto kept = [](std::uint16_t tasks) {
        JobFixture fixture(tasks, 0);
        fixture.m_changes.m_changed.reserve(16);
        const std::size_t before = allocations::allocationCounts().kept();
        fixture.launch(0, 0);
        return allocations::allocationCounts().kept() - before;
    };
    cr_assert_eq(kept(65'000), kept(10));
}

/// Guards against memory and snapshots that grow with each task and each time that a job has behind it.
Test(journalState, manyTasksAreDone_snapshotIsAsSmallAsAfterOne)
{
    JobFixture wide(65'000, 0);
    wide.complete(0, 0);
    const std::size_t afterOne = wide.snapshotBytes();
    for (std::uint16_t task = 1; task < 64'000; ++task) {
        wide.complete(0, task);
    }
    cr_assert_eq(wide.snapshotBytes(), afterOne);
    cr_assert(findStep(wide.record(), {job, 0, 0})->m_tasks.empty());
}

Test(journalState, manyOccurrencesAreDone_snapshotIsAsSmallAsAfterOne)
{
    JobFixture timed(1, 1'000'000);
    timed.complete(0, 0);
    const std::size_t afterOne = timed.snapshotBytes();
    for (std::uint32_t occurrence = 1; occurrence < 100'000; ++occurrence) {
        timed.complete(occurrence, 0);
    }
    cr_assert_eq(timed.snapshotBytes(), afterOne);
}

/// The tasks without records have to be told apart: those that have not begun may start, those that are done may not.
Test(journalState, tasksInAnyOrder_countsOfStartableTasksAreRight)
{
    JobFixture fixture(5, 0);
    fixture.complete(0, 1);
    const StepRecord &step = *findStep(fixture.record(), {job, 0, 0});
    cr_assert_not(step.isDone(0));
    cr_assert(step.isDone(1));
    cr_assert_not(step.isDone(2));
    cr_assert_eq(step.startableTasks(), 4U);
    fixture.launch(0, 0);
    cr_assert_eq(step.startableTasks(), 3U);
    fixture.end(0, 0, 1, jobs::RunEnd::Stopped);
    cr_assert_eq(step.startableTasks(), 4U);
    cr_assert_eq(nextRunNumber(step), 2U);
}

Test(journalState, launchOfADoneTaskReadAgain_changesNothing)
{
    JobFixture fixture(2, 0);
    fixture.complete(0, 0);
    const JournalState before = fixture.m_state;
    fixture.launch(0, 0);
    cr_assert(fixture.m_state == before);
}

Test(journalState, checkpointOfOneMember_isThatOfTheWholeGang)
{
    JobFixture fixture(3, 0, true);
    fixture.launch(0, 0);
    fixture.end(0, 0, 1, jobs::RunEnd::Stopped, "saved");
    cr_assert_eq(checkpointOf(fixture.record(), {{job, 0, 0}, 0}), "saved");
    cr_assert_eq(checkpointOf(fixture.record(), {{job, 0, 0}, 2}), "saved");
}

Test(snapshot, writtenAndRead_stateIsTheSame)
{
    JobFixture fixture(5, 3);
    fixture.complete(1, 3);
    fixture.launch(0, 2);
    fixture.launch(0, 0);
    fixture.end(0, 0, 1, jobs::RunEnd::Stopped, "saved");
    const auto read = assembleSnapshot(encodeSnapshot(fixture.m_state, 9, 1));
    cr_assert(read.has_value());
    cr_assert(read->m_state == fixture.m_state);
    cr_assert_eq(read->m_next, 9U);
}

/// All accepted jobs would be lost with an upgrade if the stored state of the version before could not be read.
Test(snapshot, writtenByVersion1_jobContinuesWhereItWas)
{
    JobFixture fixture(4, 0);
    fixture.complete(0, 0);
    fixture.launch(0, 2);
    fixture.launch(0, 1);
    fixture.end(0, 1, 1, jobs::RunEnd::Stopped, "saved");
    TaskRecord done;
    done.m_lastRun = 1;
    done.m_isDone = true;
    const std::vector<TaskRecord> tasks {done, *findTask(fixture.record(), {{job, 0, 0}, 1}), *findTask(fixture.record(), {{job, 0, 0}, 2}), TaskRecord()};
    const JobRecord converted = toJobRecord(storedByVersion1(fixture.record(), tasks, 1));
    cr_assert(converted == fixture.record());
}

}
