#ifndef COMPONENTS_DRAIN_SETTINGS_HPP
#define COMPONENTS_DRAIN_SETTINGS_HPP

#include "components/fleet/time.hpp"

namespace drain
{

struct Settings
{
    /// How long the load balancer may still send new connections after the instance has announced that it is leaving.
    fleet::Duration m_balancerGrace = std::chrono::seconds(5);
    /// Time limit of the whole stop. Work that is unfinished by then is aborted.
    fleet::Duration m_limit = std::chrono::seconds(60);
    /// Part of the limit that is reserved for the handover and the last records.
    fleet::Duration m_handoverReserve = std::chrono::seconds(10);
    /// Delay after which an unanswered handover is sent to the same successor again.
    fleet::Duration m_handoverRetry = std::chrono::seconds(1);
    /// How long the other instances are notified of the end and of the successor before the process exits.
    fleet::Duration m_endNoticePeriod = std::chrono::seconds(2);
};

}

#endif
