#ifndef COMPONENTS_JOURNAL_JOB_RECORD_HPP
#define COMPONENTS_JOURNAL_JOB_RECORD_HPP

#include "components/fleet/time.hpp"
#include "components/jobs/job_spec.hpp"
#include "components/jobs/job_state.hpp"
#include "components/jobs/task_id.hpp"
#include "components/journal/occurrence_record.hpp"

#include <cstdint>
#include <map>
#include <set>

namespace journal
{

/// What the journal says of one job.
struct JobRecord
{
    jobs::JobSpec m_spec;
    std::uint32_t m_maxAttempts = 1;
    fleet::TimePoint m_acceptedAt;
    bool m_isCancelled = false;
    bool m_hasFailed = false;
    /// A run of the job was launched once.
    bool m_hasBegun = false;
    /// When the job was completed, failed or cancelled.
    fleet::TimePoint m_endedAt;
    /// Occurrences of which a run was launched and that are not done.
    std::map<std::uint32_t, OccurrenceRecord> m_occurrences;
    std::set<std::uint32_t> m_doneOccurrences;
    /// Runs that are not known to be over.
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

    /// No further run is wanted.
    bool isOver() const
    {
        return m_isCancelled || m_hasFailed || isCompleted();
    }
};

jobs::JobState stateOf(const JobRecord &job);

/// The record of a task, or nullptr where its occurrence has no record: not begun, or done.
const TaskRecord *findTask(const JobRecord &job, const jobs::TaskId &task);
const StepRecord *findStep(const JobRecord &job, const jobs::StepId &step);
/// The run of a gang that some members have begun or are about to begin and that every other one can still join; 0 where
/// there is none.
std::uint32_t joinableRun(const StepRecord &gang);
bool isStepDone(const JobRecord &job, std::uint32_t occurrence, std::uint16_t step);

}

#endif
