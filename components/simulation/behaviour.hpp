#ifndef COMPONENTS_SIMULATION_BEHAVIOUR_HPP
#define COMPONENTS_SIMULATION_BEHAVIOUR_HPP

#include "components/fleet/time.hpp"

#include <cstdint>

namespace simulation
{

/// How the tasks of a job turn out on a sound worker.
struct Behaviour
{
    fleet::Duration m_duration {1000};
    /// Each run of a task ends in failure after its time.
    bool m_alwaysFails = false;
};

}

#endif
