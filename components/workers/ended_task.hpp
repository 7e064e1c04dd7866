#ifndef COMPONENTS_WORKERS_ENDED_TASK_HPP
#define COMPONENTS_WORKERS_ENDED_TASK_HPP

#include "components/jobs/run_end.hpp"
#include "components/jobs/run_id.hpp"

#include <cstdint>
#include <string>

namespace workers
{

/// A run that a worker reports as ended.
struct EndedTask
{
    /// Sequence number of the end within one worker incarnation, from 1.
    std::uint64_t m_number = 0;
    jobs::RunId m_run;
    jobs::RunEnd m_end = jobs::RunEnd::Done;
    std::string m_checkpoint;

    bool operator==(const EndedTask &) const = default;
};

}

#endif
