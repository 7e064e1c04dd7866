#ifndef COMPONENTS_SIMULATION_BEHAVIOUR_HPP
#define COMPONENTS_SIMULATION_BEHAVIOUR_HPP

#include "components/fleet/time.hpp"

#include <cstdint>

namespace simulation
{

/// Run time and result of a job's tasks on a healthy worker.
struct Behaviour
{
    fleet::Duration m_duration {1000};
    /// Every run of a task fails once its duration has passed.
    bool m_alwaysFails = false;
};

}

#endif
