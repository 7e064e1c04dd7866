#ifndef COMPONENTS_DRAIN_SETTINGS_HPP
#define COMPONENTS_DRAIN_SETTINGS_HPP

#include "components/fleet/time.hpp"

namespace drain
{

struct Settings
{
    /// The balancer may send new connections for this long after the instance said that it leaves.
    fleet::Duration m_balancerGrace = std::chrono::seconds(5);
    /// Everything that is not finished by then is given up.
    fleet::Duration m_limit = std::chrono::seconds(60);
    /// Part of the limit that is kept for the handover and the last records.
    fleet::Duration m_handoverReserve = std::chrono::seconds(10);
    /// A handover without an answer is sent again to the same successor after this long.
    fleet::Duration m_handoverRetry = std::chrono::seconds(1);
    /// The others hear of the end and of the successor for this long before the process ends.
    fleet::Duration m_endNoticePeriod = std::chrono::seconds(2);
};

}

#endif
