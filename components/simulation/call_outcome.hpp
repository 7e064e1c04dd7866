#ifndef COMPONENTS_SIMULATION_CALL_OUTCOME_HPP
#define COMPONENTS_SIMULATION_CALL_OUTCOME_HPP

#include "components/callers/reply.hpp"
#include "components/fleet/boot_time.hpp"

#include <optional>

namespace simulation
{

/// What became of one call of a caller.
struct CallOutcome
{
    fleet::BootTime m_sentAt;
    fleet::BootTime m_answeredAt;
    /// Nothing while it is open, and for ever where the instance ended first.
    std::optional<callers::Reply> m_reply;
};

}

#endif
