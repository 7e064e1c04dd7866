#ifndef COMPONENTS_JOURNAL_JOB_CANCELLED_HPP
#define COMPONENTS_JOURNAL_JOB_CANCELLED_HPP

#include "components/fleet/time.hpp"
#include "components/jobs/job_id.hpp"

namespace journal
{

/// The caller cancelled the job.
struct JobCancelled
{
    jobs::JobId m_job;
    fleet::TimePoint m_at;

    bool operator==(const JobCancelled &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_job);
        fleet::serializeTime(archive, m_at);
    }
};

}

#endif
