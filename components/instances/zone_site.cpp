#include "components/instances/zone_site.hpp"

#include "components/membership/view.hpp"

#include <algorithm>

namespace instances
{

namespace
{

constexpr int zoneCount = 3;
constexpr int perZone = 2;
constexpr fleet::Duration tickInterval {500};
/// How long a zone may still start tasks after it was reported as out of service.
constexpr fleet::Duration grace = std::chrono::seconds(7);
const Faults betweenInstances {10, 10, 10, std::chrono::seconds(5)};

fleet::ZoneId zoneName(int zone)
{
    return fleet::ZoneId("z" + std::to_string(zone));
}

}

ZoneSite::ZoneSite(std::uint64_t seed)
    : m_queue(seed)
    , m_logReachable(zoneCount, true)
    , m_isConnected(zoneCount, std::vector<bool>(zoneCount, true))
    , m_outSince(zoneCount)
{
    membership::ListRead list {m_queue.now(), {}};
    for (int instance = 0; instance < zoneCount * perZone; ++instance) {
        const fleet::InstanceId id("i" + std::to_string(instance));
        const int zone = instance / perZone;
        const std::string address = std::to_string(instance);
        ZoneInstance state;
        state.m_zone = zone;
        state.m_membership = membership::makeState({}, id, {static_cast<std::uint64_t>(instance + 1)}, zoneName(zone), address);
        m_instances.push_back(state);
        list.m_instances.push_back({id, zoneName(zone), address, false});
    }
    configuration::Change first {configuration::ChangeId("first"), {}, fleet::OperatorId("op"), m_queue.now(), configuration::SetDefaults {}};
    appendRecord(configuration::encodeRecord(first));
    for (std::size_t instance = 0; instance < m_instances.size(); ++instance) {
        apply(static_cast<int>(instance), list);
        tick(static_cast<int>(instance));
    }
}

bool ZoneSite::isPaused(int instance) const
{
    return m_queue.now() < m_instances[static_cast<std::size_t>(instance)].m_pausedUntil;
}

void ZoneSite::apply(int instance, const membership::Event &event)
{
    ZoneInstance &state = m_instances[static_cast<std::size_t>(instance)];
    for (const membership::SendHeartbeat &sent : membership::step(state.m_membership, event, m_queue.now())) {
        const int to = std::stoi(sent.m_address);
        const int toZone = m_instances[static_cast<std::size_t>(to)].m_zone;
        if (!m_isConnected[static_cast<std::size_t>(state.m_zone)][static_cast<std::size_t>(toZone)]) {
            continue;
        }
        const membership::Heartbeat heartbeat = sent.m_heartbeat;
        m_queue.send(betweenInstances, [this, to, heartbeat] {
            const fleet::TimePoint pausedUntil = m_instances[static_cast<std::size_t>(to)].m_pausedUntil;
            // A paused process receives the message when it resumes.
            m_queue.at(std::max(pausedUntil, m_queue.now()), [this, to, heartbeat] {
                apply(to, membership::HeartbeatReceived {heartbeat});
            });
        });
    }
}

void ZoneSite::appendRecord(const std::string &bytes)
{
    const std::uint64_t offset = m_log.size();
    m_log.push_back(bytes);
    configuration::applyRecord(m_logState, offset, m_queue.now(), bytes);
    for (int zone = 0; zone < zoneCount; ++zone) {
        if (!m_logState.m_configuration.isZoneOut(zoneName(zone))) {
            m_outSince[static_cast<std::size_t>(zone)].reset();
        }
    }
}

void ZoneSite::recordReportedOut(int instance)
{
    const ZoneInstance &state = m_instances[static_cast<std::size_t>(instance)];
    const auto note = [this](const fleet::ZoneId &zone) {
        std::optional<fleet::TimePoint> &since = m_outSince[static_cast<std::size_t>(std::stoi(zone.value().substr(1)))];
        since = since.value_or(m_queue.now());
    };
    for (const configuration::ZoneOut &out : m_logState.m_configuration.m_zonesOut) {
        if (state.m_configuration.m_configuration.isZoneOut(out.m_zone)) {
            note(out.m_zone);
        }
    }
    for (const auto &[id, takeOut] : state.m_membership.m_takeOuts) {
        if (!m_logState.m_configuration.findResult(id) && membership::isConfirmed(state.m_membership, id)) {
            note(takeOut.m_zone);
        }
    }
}

void ZoneSite::appendTakeOuts(int instance)
{
    const ZoneInstance &state = m_instances[static_cast<std::size_t>(instance)];
    if (!m_logReachable[static_cast<std::size_t>(state.m_zone)]) {
        return;
    }
    const configuration::Version baseVersion = state.m_configuration.m_configuration.m_version;
    for (const auto &[id, takeOut] : state.m_membership.m_takeOuts) {
        const configuration::TakeZoneOut operation {takeOut.m_zone, takeOut.m_reason};
        appendRecord(configuration::encodeRecord(configuration::Change {id, baseVersion, takeOut.m_operator, takeOut.m_at, operation}));
    }
}

void ZoneSite::onConfigurationChanged(int instance)
{
    ZoneInstance &state = m_instances[static_cast<std::size_t>(instance)];
    const configuration::Configuration &configuration = state.m_configuration.m_configuration;
    if (configuration.m_version < state.m_highestSeen) {
        m_violation = "the configuration version of an instance decreased";
    }
    state.m_highestSeen = configuration.m_version;
    membership::ConfigurationKnown known {configuration.m_version, {}};
    for (const configuration::ChangeResult &result : configuration.m_results) {
        known.m_appliedChanges.push_back(result.m_id);
    }
    apply(instance, known);
}

void ZoneSite::readLog(int instance)
{
    ZoneInstance &state = m_instances[static_cast<std::size_t>(instance)];
    if (!m_logReachable[static_cast<std::size_t>(state.m_zone)]) {
        return;
    }
    const fleet::TimePoint requestSentAt = m_queue.now();
    const std::vector<std::string> records(m_log.begin() + static_cast<std::ptrdiff_t>(state.m_configuration.m_next), m_log.end());
    const std::uint64_t from = state.m_configuration.m_next;
    const fleet::Duration delay(1 + m_queue.random().below(m_queue.random().percentChance(10) ? 4000 : 30));
    m_queue.at(requestSentAt + delay, [this, instance, requestSentAt, records, from] {
        m_queue.at(std::max(m_queue.now(), m_instances[static_cast<std::size_t>(instance)].m_pausedUntil), [this, instance, requestSentAt, records, from] {
            ZoneInstance &reader = m_instances[static_cast<std::size_t>(instance)];
            for (std::size_t i = 0; i < records.size(); ++i) {
                configuration::applyRecord(reader.m_configuration, from + i, requestSentAt, records[i]);
            }
            onConfigurationChanged(instance);
            apply(instance, membership::LogRead {requestSentAt});
        });
    });
}

void ZoneSite::syncFromPeers(int instance)
{
    ZoneInstance &state = m_instances[static_cast<std::size_t>(instance)];
    if (!membership::isBehind(state.m_membership)) {
        return;
    }
    for (const ZoneInstance &peer : m_instances) {
        const bool isConnectedTo = m_isConnected[static_cast<std::size_t>(state.m_zone)][static_cast<std::size_t>(peer.m_zone)];
        const bool isConnectedFrom = m_isConnected[static_cast<std::size_t>(peer.m_zone)][static_cast<std::size_t>(state.m_zone)];
        if (isConnectedTo && isConnectedFrom && peer.m_configuration.m_configuration.m_version > state.m_configuration.m_configuration.m_version) {
            configuration::adopt(state.m_configuration, configuration::makeSnapshot(peer.m_configuration));
            onConfigurationChanged(instance);
        }
    }
}

void ZoneSite::tick(int instance)
{
    if (!isPaused(instance)) {
        readLog(instance);
        syncFromPeers(instance);
        apply(instance, membership::Tick {});
        appendTakeOuts(instance);
        recordReportedOut(instance);
        checkStarts(instance);
    }
    m_queue.at(m_queue.now() + tickInterval, [this, instance] {
        tick(instance);
    });
}

void ZoneSite::checkStarts(int instance)
{
    const ZoneInstance &state = m_instances[static_cast<std::size_t>(instance)];
    const auto closed = zones::closedZones(state.m_configuration.m_configuration, membership::provisionallyOut(state.m_membership));
    zones::ZoneView view;
    view.m_isOut = std::find(closed.begin(), closed.end(), zoneName(state.m_zone)) != closed.end();
    view.m_hasConfiguration = state.m_configuration.m_complete;
    view.m_viewFreshAt = state.m_membership.m_viewFreshAt.value_or(fleet::TimePoint());
    view.m_otherZonesHeardAt = membership::otherZonesHeardAt(state.m_membership, m_queue.now());
    view.m_isBehind = membership::isBehind(state.m_membership);
    const zones::StartPermission permission = zones::determineStartPermission({}, view, m_queue.now());
    if (!zones::isAllowed(permission)) {
        return;
    }
    m_startsWithoutLog += permission == zones::StartPermission::AllowedWithoutLog ? 1 : 0;
    const std::optional<fleet::TimePoint> &since = m_outSince[static_cast<std::size_t>(state.m_zone)];
    if (since && *since + grace < m_queue.now()) {
        m_violation = "a task may start " + std::to_string((m_queue.now() - *since).count()) + " ms after its zone was taken out";
    }
}

void ZoneSite::changePartitions()
{
    if (m_queue.random().percentChance(40)) {
        m_logReachable.assign(zoneCount, true);
        m_isConnected.assign(zoneCount, std::vector<bool>(zoneCount, true));
    }
    for (int zone = 0; zone < zoneCount; ++zone) {
        if (m_queue.random().percentChance(40)) {
            m_logReachable[static_cast<std::size_t>(zone)] = false;
        }
        const int other = m_queue.random().below(zoneCount);
        if (other != zone && m_queue.random().percentChance(30)) {
            m_isConnected[static_cast<std::size_t>(zone)][static_cast<std::size_t>(other)] = false;
        }
    }
    if (m_queue.random().percentChance(10)) {
        m_logReachable.assign(zoneCount, false);
    }
    ZoneInstance &paused = m_instances[static_cast<std::size_t>(m_queue.random().below(zoneCount * perZone))];
    if (m_queue.random().percentChance(30)) {
        paused.m_pausedUntil = m_queue.now() + std::chrono::seconds(1 + m_queue.random().below(30));
    }
    m_queue.at(m_queue.now() + std::chrono::seconds(5 + m_queue.random().below(20)), [this] {
        changePartitions();
    });
}

void ZoneSite::takeOut(int instance, const fleet::ZoneId &zone)
{
    const configuration::ChangeId id("c" + std::to_string(++m_changes));
    // The take-out is sent to the instances first: stopping early is safe, and the log may become unreachable right after the
    // append.
    apply(instance, membership::TakeOutRequested {{id, zone, fleet::OperatorId("op"), "flood", m_queue.now()}});
    appendTakeOuts(instance);
}

void ZoneSite::runOperator()
{
    const int instance = m_queue.random().below(zoneCount * perZone);
    const fleet::ZoneId zone = zoneName(m_queue.random().below(zoneCount));
    ZoneInstance &state = m_instances[static_cast<std::size_t>(instance)];
    const bool returns = m_queue.random().percentChance(50);
    if (!isPaused(instance) && !returns) {
        takeOut(instance, zone);
    } else if (!isPaused(instance) && m_logReachable[static_cast<std::size_t>(state.m_zone)]) {
        const configuration::ChangeId id("c" + std::to_string(++m_changes));
        const configuration::Version baseVersion = state.m_configuration.m_configuration.m_version;
        appendRecord(
            configuration::encodeRecord(configuration::Change {id, baseVersion, fleet::OperatorId("op"), m_queue.now(), configuration::ReturnZone {zone}}));
    }
    m_queue.at(m_queue.now() + std::chrono::seconds(3 + m_queue.random().below(20)), [this] {
        runOperator();
    });
}

void ZoneSite::run()
{
    m_queue.at(m_queue.now() + std::chrono::seconds(10), [this] {
        changePartitions();
        runOperator();
    });
    m_queue.runUntil(m_queue.now() + std::chrono::minutes(4));
}

}
