#ifndef COMPONENTS_JOURNAL_JOB_RECORD_V1_HPP
#define COMPONENTS_JOURNAL_JOB_RECORD_V1_HPP

#include "components/fleet/time.hpp"
#include "components/jobs/job_spec.hpp"
#include "components/journal/task_record.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace journal
{

struct JobRecord;

/// The job records of snapshots of version 1, which held a record for each task of an occurrence that had begun and each occurrence that was
/// done.
struct JobRecordV1
{
    struct Step
    {
        std::vector<TaskRecord> m_tasks;
        std::uint32_t m_doneTasks = 0;
        std::uint32_t m_gangFailures = 0;
        std::uint32_t m_lastFailedRun = 0;
        std::uint32_t m_checkpointRun = 0;

        bool operator==(const Step &) const = default;

        template<class Archive>
        void serialize(Archive &archive)
        {
            archive(m_tasks, m_doneTasks, m_gangFailures, m_lastFailedRun, m_checkpointRun);
        }
    };

    struct Occurrence
    {
        std::vector<Step> m_steps;
        std::uint32_t m_doneSteps = 0;

        bool operator==(const Occurrence &) const = default;

        template<class Archive>
        void serialize(Archive &archive)
        {
            archive(m_steps, m_doneSteps);
        }
    };

    jobs::JobSpec m_spec;
    std::uint32_t m_maxAttempts = 1;
    fleet::TimePoint m_acceptedAt;
    bool m_isCancelled = false;
    bool m_hasFailed = false;
    bool m_hasBegun = false;
    fleet::TimePoint m_endedAt;
    std::map<std::uint32_t, Occurrence> m_occurrences;
    std::set<std::uint32_t> m_doneOccurrences;
    std::uint32_t m_openRuns = 0;

    bool operator==(const JobRecordV1 &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_spec, m_maxAttempts);
        fleet::serializeTime(archive, m_acceptedAt);
        archive(m_isCancelled, m_hasFailed, m_hasBegun);
        fleet::serializeTime(archive, m_endedAt);
        archive(m_occurrences, m_doneOccurrences, m_openRuns);
    }
};

JobRecord toJobRecord(JobRecordV1 stored);

}

#endif
