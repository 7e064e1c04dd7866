#ifndef COMPONENTS_JOURNAL_JOB_RECORD_HPP
#define COMPONENTS_JOURNAL_JOB_RECORD_HPP

#include "components/fleet/time.hpp"
#include "components/jobs/job_spec.hpp"
#include "components/jobs/job_state.hpp"
#include "components/jobs/task_id.hpp"
#include "components/journal/index_set.hpp"
#include "components/journal/occurrence_record.hpp"

#include <cstdint>
#include <map>

namespace journal
{

/// State of one job according to the journal.
struct JobRecord
{
    jobs::JobSpec m_spec;
    std::uint32_t m_maxAttempts = 1;
    fleet::TimePoint m_acceptedAt;
    bool m_isCancelled = false;
    bool m_hasFailed = false;
    /// A run of the job that had begun has ended. A launch alone does not count, since its worker may refuse it.
    bool m_hasBegun = false;
    /// When the job completed, failed or was cancelled, by the clock of the instance that recorded it.
    fleet::TimePoint m_endedAt;
    /// Occurrences with at least one launched run that are not done or still have an open run.
    std::map<std::uint32_t, OccurrenceRecord> m_occurrences;
    IndexSet m_doneOccurrences;
    /// Number of runs that are not known to have ended.
    std::uint32_t m_openRuns = 0;

    bool operator==(const JobRecord &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_spec, m_maxAttempts);
        fleet::serializeTime(archive, m_acceptedAt);
        archive(m_isCancelled, m_hasFailed, m_hasBegun);
        fleet::serializeTime(archive, m_endedAt);
        archive(m_occurrences, m_doneOccurrences, m_openRuns);
    }

    std::uint32_t occurrenceCount() const
    {
        return m_spec.m_schedule.isTimed() ? m_spec.m_schedule.m_occurrences : 1;
    }

    bool isCompleted() const
    {
        return m_doneOccurrences.size() == occurrenceCount();
    }

    /// True if no further run is needed.
    bool isOver() const
    {
        return m_isCancelled || m_hasFailed || isCompleted();
    }
};

jobs::JobState stateOf(const JobRecord &job);

/// True if a run of the job has begun or is about to, as far as the journal shows.
bool hasBegun(const JobRecord &job);

/// Returns the record of a task, or nullptr if it has none because it has not begun, or is done without an open run.
const TaskRecord *findTask(const JobRecord &job, const jobs::TaskId &task);
const StepRecord *findStep(const JobRecord &job, const jobs::StepId &step);
/// Returns a number above those of all runs of the step so far, also of those that never began.
std::uint32_t nextRunNumber(const StepRecord &step);
/// Returns the number of the run that some members of a gang have begun or are about to begin and that all other members can
/// still join; 0 if there is none.
std::uint32_t joinableRun(const StepRecord &gang);
bool isStepDone(const JobRecord &job, std::uint32_t occurrence, std::uint16_t step);
/// Returns the checkpoint that the next run of the task resumes from; empty if there is none.
std::string checkpointOf(const JobRecord &job, const jobs::TaskId &task);

}

#endif
