#ifndef COMPONENTS_DRAIN_STATE_HPP
#define COMPONENTS_DRAIN_STATE_HPP

#include "components/drain/events.hpp"
#include "components/drain/settings.hpp"
#include "components/fleet/identifiers.hpp"
#include "components/fleet/time.hpp"

#include <cstdint>

namespace drain
{

enum class Phase : std::uint8_t {
    Serving,
    /// The load balancer may still send connections, which are served.
    Leaving,
    /// No new connections are accepted; requests that were received are finished.
    Finishing,
    /// The request ids are being handed over to the successor.
    HandingOver,
    /// The last records are being written to the log.
    Flushing,
    NotifyingEnd,
    Ended,
};

/// State of a planned stop.
struct State
{
    Settings m_settings;
    Phase m_phase = Phase::Serving;
    fleet::TimePoint m_stopRequestedAt;
    fleet::TimePoint m_phaseStartedAt;
    Progress m_progress;
    fleet::InstanceId m_successor;
    fleet::TimePoint m_handoverSentAt;
    bool m_clean = true;
};

}

#endif
