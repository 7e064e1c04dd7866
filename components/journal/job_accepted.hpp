#ifndef COMPONENTS_JOURNAL_JOB_ACCEPTED_HPP
#define COMPONENTS_JOURNAL_JOB_ACCEPTED_HPP

#include "components/fleet/time.hpp"
#include "components/jobs/job_spec.hpp"

namespace journal
{

/// A job was accepted. Only the first record of an id counts, as another instance may store the same job again.
struct JobAccepted
{
    jobs::JobSpec m_spec;
    /// Number of failed runs of one task at which the job fails, taken from the queue when the job was accepted.
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
