#ifndef COMPONENTS_DISPATCH_EXPECTATION_HPP
#define COMPONENTS_DISPATCH_EXPECTATION_HPP

#include "components/dispatch/room.hpp"
#include "components/fleet/time.hpp"

#include <cstdint>
#include <map>

namespace dispatch
{

/// Workers that will have room for a step when what runs on them has ended.
struct Expectation
{
    /// Tasks of the step, by worker.
    std::map<Room *, std::uint32_t> m_tasks;
    /// When there will be room for all of them, from now.
    fleet::Duration m_wait {0};
};

}

#endif
