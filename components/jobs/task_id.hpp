#ifndef COMPONENTS_JOBS_TASK_ID_HPP
#define COMPONENTS_JOBS_TASK_ID_HPP

#include "components/jobs/step_id.hpp"

#include <compare>
#include <cstdint>
#include <string>

namespace jobs
{

/// One task of a step.
struct TaskId
{
    StepId m_step;
    std::uint16_t m_index = 0;

    auto operator<=>(const TaskId &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_step, m_index);
    }
};

/// For logs: "5c0e7a21d94b36f8/0/1/17", job, occurrence, step and index.
std::string toString(const TaskId &task);

}

#endif
