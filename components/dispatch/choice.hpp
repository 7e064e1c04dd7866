#ifndef COMPONENTS_DISPATCH_CHOICE_HPP
#define COMPONENTS_DISPATCH_CHOICE_HPP

#include "components/dispatch/room.hpp"

#include <cstdint>
#include <utility>
#include <vector>

namespace dispatch
{

/// Workers for tasks of a step, with the number of tasks on each.
struct Choice
{
    std::vector<std::pair<Room *, std::uint32_t>> m_places;
    std::uint32_t m_tasks = 0;
};

}

#endif
