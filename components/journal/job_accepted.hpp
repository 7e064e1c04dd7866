#ifndef COMPONENTS_JOURNAL_JOB_ACCEPTED_HPP
#define COMPONENTS_JOURNAL_JOB_ACCEPTED_HPP

#include "components/fleet/time.hpp"
#include "components/jobs/job_spec.hpp"

namespace journal
{

/// A job was taken. The first record of an id counts; the same job may be stored again by another instance.
struct JobAccepted
{
    jobs::JobSpec m_spec;
    /// Runs of one task that may end in failure, from the queue at the time.
    std::uint32_t m_maxAttempts = 1;
    fleet::TimePoint m_at;

    bool operator==(const JobAccepted &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_spec, m_maxAttempts);
        fleet::serializeTime(archive, m_at);
    }
};

}

#endif
