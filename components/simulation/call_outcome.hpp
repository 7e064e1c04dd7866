#ifndef COMPONENTS_SIMULATION_CALL_OUTCOME_HPP
#define COMPONENTS_SIMULATION_CALL_OUTCOME_HPP

#include "components/callers/reply.hpp"
#include "components/fleet/boot_time.hpp"

#include <optional>

namespace simulation
{

/// Result of one call of a caller.
struct CallOutcome
{
    fleet::BootTime m_sentAt;
    fleet::BootTime m_answeredAt;
    /// Empty while the call is open; stays empty if the instance ends before it answers.
    std::optional<callers::Reply> m_reply;
};

}

#endif
