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
    /// No task starts if the view of the configuration is older than this.
    fleet::Duration m_viewFreshness = std::chrono::seconds(4);

    bool operator==(const Settings &) const = default;
};

/// The state of an instance's zone as the instance sees it, and how current that view is.
struct ZoneView
{
    /// The operators have taken the zone out of service, by the log or provisionally.
    bool m_isOut = false;
    /// The complete configuration was read, from the log or from another instance.
    bool m_hasConfiguration = false;
    /// When the view was last fresh: the log was read, by this instance or by one that relayed it.
    fleet::TimePoint m_viewFreshAt;
    /// An instance of every other zone was certainly reachable at this time.
    fleet::TimePoint m_otherZonesHeardAt;
    /// Another instance has a later configuration version.
    bool m_isBehind = false;
};

enum class StartPermission : std::uint8_t {
    Allowed,
    /// Allowed although no instance can read the log: every other zone was heard from and none has a later configuration.
    AllowedWithoutLog,
    ZoneOut,
    NoConfiguration,
    /// The view is too old: the zone may have been taken out of service since.
    ViewStale,
};

/// Returns whether a task may start in the zone now.
StartPermission determineStartPermission(const Settings &settings, const ZoneView &view, fleet::TimePoint now);

bool isAllowed(StartPermission permission);

/// Returns the zones that are out of service by the configuration or provisionally, sorted and without duplicates.
std::vector<fleet::ZoneId> closedZones(const configuration::Configuration &configuration, const std::vector<fleet::ZoneId> &provisionallyOut);

}

#endif
