#include "components/zones/start_permission.hpp"

#include "components/configuration/configuration.hpp"

#include <algorithm>

namespace zones
{

StartPermission determineStartPermission(const Settings &settings, const ZoneView &view, fleet::TimePoint now)
{
    if (view.m_isOut) {
        return StartPermission::ZoneOut;
    }
    if (!view.m_hasConfiguration) {
        return StartPermission::NoConfiguration;
    }
    if (now - view.m_viewFreshAt <= settings.m_viewFreshness) {
        return StartPermission::Allowed;
    }
    if (!view.m_isBehind && now - view.m_otherZonesHeardAt <= settings.m_viewFreshness) {
        return StartPermission::AllowedWithoutLog;
    }
    return StartPermission::ViewStale;
}

bool isAllowed(StartPermission permission)
{
    return permission == StartPermission::Allowed || permission == StartPermission::AllowedWithoutLog;
}

std::vector<fleet::ZoneId> closedZones(const configuration::Configuration &configuration, const std::vector<fleet::ZoneId> &provisionallyOut)
{
    std::vector<fleet::ZoneId> zones = provisionallyOut;
    for (const configuration::ZoneOut &out : configuration.m_zonesOut) {
        zones.push_back(out.m_zone);
    }
    std::sort(zones.begin(), zones.end());
    zones.erase(std::unique(zones.begin(), zones.end()), zones.end());
    return zones;
}

}
