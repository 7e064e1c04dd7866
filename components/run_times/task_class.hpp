#ifndef COMPONENTS_RUN_TIMES_TASK_CLASS_HPP
#define COMPONENTS_RUN_TIMES_TASK_CLASS_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/resources.hpp"

#include <cstdint>

namespace run_times
{

/// What is known about a task before it runs.
struct TaskClass
{
    fleet::AccountId m_account;
    fleet::QueueId m_queue;
    std::uint16_t m_step = 0;
    fleet::Resources m_perTask;

    bool operator==(const TaskClass &) const = default;
};

bool operator<(const TaskClass &a, const TaskClass &b);

}

#endif
