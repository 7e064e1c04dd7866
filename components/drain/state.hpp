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
    /// The balancer may still send connections; they are served.
    Leaving,
    /// No new connections; what was taken is finished.
    Finishing,
    /// The successor is being told about the request ids.
    HandingOver,
    /// The last records go to the log.
    Flushing,
    NotifyingEnd,
    Ended,
};

/// One planned stop.
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
