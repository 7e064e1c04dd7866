#ifndef COMPONENTS_DISPATCH_PLACEMENT_HPP
#define COMPONENTS_DISPATCH_PLACEMENT_HPP

#include "components/dispatch/available_worker.hpp"

#include <cstdint>
#include <utility>
#include <vector>

namespace dispatch
{

/// Workers chosen for tasks of a step, with the number of tasks on each.
struct Placement
{
    std::vector<std::pair<AvailableWorker *, std::uint32_t>> m_tasksPerWorker;
    std::uint32_t m_tasks = 0;
};

}

#endif
