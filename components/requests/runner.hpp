#ifndef COMPONENTS_REQUESTS_RUNNER_HPP
#define COMPONENTS_REQUESTS_RUNNER_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/time.hpp"

#include <optional>

namespace requests
{

/// A target that runs requests, in the view of this instance.
struct Runner
{
    fleet::RunnerId m_id;
    fleet::ZoneId m_zone;
    int m_slots = 0;
    int m_connections = 0;
    bool m_leaving = false;
    /// True while the platform does not list the runner.
    bool m_removed = false;
    /// Attempts of this instance that have no answer yet.
    int m_inFlight = 0;
    /// Slots that other instances use: the last reported number minus this instance's open attempts at that time.
    int m_slotsUsedByOthers = 0;
    std::optional<fleet::TimePoint> m_reportedAt;
    int m_failuresInRow = 0;
    fleet::TimePoint m_avoidUntil;
    double m_retryTokens = 0.0;

    bool operator==(const Runner &) const = default;
};

}

#endif
