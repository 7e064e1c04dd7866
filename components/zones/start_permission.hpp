#ifndef COMPONENTS_ZONES_START_PERMISSION_HPP
#define COMPONENTS_ZONES_START_PERMISSION_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/time.hpp"

#include <cstdint>
#include <vector>

namespace configuration
{
struct Configuration;
}

namespace zones
{

struct Settings
{
    /// No task starts on a view that is older than this.
    fleet::Duration m_viewFreshness = std::chrono::seconds(4);

    bool operator==(const Settings &) const = default;
};

/// What an instance knows about its zone and about how fresh its knowledge is.
struct ZoneView
{
    /// The operators have taken the zone out, by the log or provisionally.
    bool m_isOut = false;
    /// The whole configuration is known, from the log or from a peer.
    bool m_hasConfiguration = false;
    /// The view was fresh at this time: the log read, or a peer that read it.
    fleet::TimePoint m_viewFreshAt;
    /// An instance of every other zone was certainly reachable at this time.
    fleet::TimePoint m_otherZonesHeardAt;
    /// Some instance has a later configuration than this one.
    bool m_isBehind = false;
};

enum class StartPermission : std::uint8_t {
    Allowed,
    /// Allowed although nobody can read the log: every other zone was heard and knows nothing later.
    AllowedWithoutLog,
    ZoneOut,
    NoConfiguration,
    /// The zone may have been taken out without this instance knowing.
    ViewStale,
};

/// Whether a task may start in the zone now.
StartPermission determineStartPermission(const Settings &settings, const ZoneView &view, fleet::TimePoint now);

bool isAllowed(StartPermission permission);

/// Zones that are out by the configuration or provisionally, each once, sorted.
std::vector<fleet::ZoneId> closedZones(const configuration::Configuration &configuration, const std::vector<fleet::ZoneId> &provisionallyOut);

}

#endif
