#ifndef COMPONENTS_JOBS_RUN_ID_HPP
#define COMPONENTS_JOBS_RUN_ID_HPP

#include "components/jobs/task_id.hpp"

#include <compare>
#include <cstdint>

namespace jobs
{

/// One run of a task. The runs of a task have increasing numbers from 1; the members of a gang share the run number.
struct RunId
{
    TaskId m_task;
    std::uint32_t m_run = 0;

    auto operator<=>(const RunId &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_task, m_run);
    }
};

}

#endif
