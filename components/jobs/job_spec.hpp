#ifndef COMPONENTS_JOBS_JOB_SPEC_HPP
#define COMPONENTS_JOBS_JOB_SPEC_HPP

#include "components/fleet/identifiers.hpp"
#include "components/jobs/job_id.hpp"
#include "components/jobs/schedule.hpp"
#include "components/jobs/step_spec.hpp"

#include <string>
#include <vector>

namespace jobs
{

/// A job as submitted.
struct JobSpec
{
    JobId m_id;
    fleet::QueueId m_queue;
    fleet::AccountId m_account;
    /// Opaque data that is passed to each task.
    std::string m_payload;
    std::vector<StepSpec> m_steps;
    Schedule m_schedule;

    bool operator==(const JobSpec &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_id, m_queue, m_account, m_payload, m_steps, m_schedule);
    }
};

}

#endif
