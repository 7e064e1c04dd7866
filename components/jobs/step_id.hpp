#ifndef COMPONENTS_JOBS_STEP_ID_HPP
#define COMPONENTS_JOBS_STEP_ID_HPP

#include "components/jobs/job_id.hpp"

#include <compare>
#include <cstdint>

namespace jobs
{

/// One step of one occurrence of a job.
struct StepId
{
    JobId m_job;
    std::uint32_t m_occurrence = 0;
    std::uint16_t m_step = 0;

    auto operator<=>(const StepId &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_job, m_occurrence, m_step);
    }
};

}

#endif
