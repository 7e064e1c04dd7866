#include "components/instance/zone_view.hpp"

#include "components/configuration/record.hpp"
#include "components/configuration/resolve.hpp"
#include "components/instance/core.hpp"
#include "components/instance/peer_view.hpp"
#include "components/instance/request_calls.hpp"
#include "components/membership/view.hpp"

#include <algorithm>

namespace instance
{

namespace
{

bool contains(const std::vector<fleet::ZoneId> &zones, const fleet::ZoneId &zone)
{
    return std::find(zones.begin(), zones.end(), zone) != zones.end();
}

std::vector<fleet::ZoneId> closedZones(const Core &core)
{
    return zones::closedZones(core.m_configuration.m_configuration, membership::provisionallyOut(core.m_membership));
}

std::vector<configuration::ChangeId> appliedChanges(const configuration::Configuration &configuration)
{
    std::vector<configuration::ChangeId> applied;
    for (const configuration::ChangeResult &result : configuration.m_results) {
        applied.push_back(result.m_id);
    }
    return applied;
}

/// Returns the share of each account. The hourly budget of urgent requests is split evenly among the instances, because a
/// caller may use any of them.
std::vector<requests::AccountShare> accountShares(const Core &core, fleet::TimePoint now)
{
    std::vector<requests::AccountShare> shares;
    const int instanceCount = std::max(1, membership::countFitInstances(core.m_membership, now));
    for (const scheduler::ZoneAccount &account : configuration::resolve(core.m_configuration.m_configuration, core.m_settings.m_zone, now)) {
        shares.push_back({account.m_account, account.m_weight, static_cast<double>(account.m_urgentPerHour) / instanceCount});
    }
    return shares;
}

}

bool isZoneOut(const Core &core, const fleet::ZoneId &zone)
{
    return contains(closedZones(core), zone);
}

zones::StartPermission startPermission(const Core &core, fleet::TimePoint now)
{
    zones::ZoneView view;
    view.m_isOut = isZoneOut(core, core.m_settings.m_zone);
    view.m_hasConfiguration = core.m_configuration.m_complete;
    view.m_viewFreshAt = core.m_membership.m_viewFreshAt.value_or(fleet::TimePoint());
    view.m_otherZonesHeardAt = membership::otherZonesHeardAt(core.m_membership, now);
    view.m_isBehind = membership::isBehind(core.m_membership);
    return zones::determineStartPermission(core.m_zoneSettings, view, now);
}

void updateRequestPolicies(Core &core, fleet::TimePoint now)
{
    const std::vector<requests::AccountShare> shares = accountShares(core, now);
    if (shares != core.m_shares) {
        core.m_shares = shares;
        feedRequests(core, requests::AccountsChanged {shares}, now);
    }
    feedRequests(core, requests::InstanceCountChanged {membership::countFitInstances(core.m_membership, now)}, now);
    feedRequests(core, requests::ZonesClosed {closedZones(core)}, now);
}

void onConfigurationChanged(Core &core, fleet::TimePoint now)
{
    const configuration::Configuration &present = core.m_configuration.m_configuration;
    feedMembership(core, membership::ConfigurationKnown {present.m_version, appliedChanges(present)}, now);
    updateRequestPolicies(core, now);
}

void onConfigurationRead(Core &core, fleet::TimePoint now)
{
    if (!core.m_configuration.m_complete) {
        return;
    }
    onConfigurationChanged(core, now);
    feedMembership(core, membership::LogRead {core.m_configurationReader.m_requestSentAt}, now);
}

void takeOutProvisionally(Core &core, requests::WaiterId waiter, const configuration::Change &change, fleet::TimePoint now)
{
    const auto &operation = std::get<configuration::TakeZoneOut>(change.m_operation);
    feedMembership(core, membership::TakeOutRequested {{change.m_id, operation.m_zone, change.m_operator, operation.m_reason, change.m_at}}, now);
    updateRequestPolicies(core, now);
    core.m_ports.m_reply(waiter, api::ZoneOutProvisional {operation.m_zone, membership::isConfirmed(core.m_membership, change.m_id)});
}

void recordTakeOuts(Core &core, fleet::TimePoint now)
{
    if (!isLogReachable(core)) {
        return;
    }
    for (const auto &[id, takeOut] : core.m_membership.m_takeOuts) {
        if (!core.m_sentTakeOuts.insert(id).second) {
            continue;
        }
        const configuration::TakeZoneOut operation {takeOut.m_zone, takeOut.m_reason};
        const configuration::Version version = core.m_configuration.m_configuration.m_version;
        core.m_configurationWriter.add(configuration::encodeRecord(configuration::Change {id, version, takeOut.m_operator, takeOut.m_at, operation}), now);
    }
}

}
