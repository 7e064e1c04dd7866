#ifndef COMPONENTS_INSTANCES_ZONE_SITE_HPP
#define COMPONENTS_INSTANCES_ZONE_SITE_HPP

#include "components/configuration/stream_reader.hpp"
#include "components/instances/message_queue.hpp"
#include "components/membership/state.hpp"
#include "components/membership/step.hpp"
#include "components/zones/start_permission.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace instances
{

/// A simulated instance.
struct ZoneInstance
{
    membership::State m_membership;
    configuration::StreamReader m_configuration;
    int m_zone = 0;
    fleet::TimePoint m_pausedUntil;
    configuration::Version m_highestSeen;
};

/// Simulates instances of several zones and a log, with network partitions between zones and between a zone and the log.
/// Operators take zones out of service and return them. Checks that no zone may start tasks after it was taken out.
class ZoneSite
{
public:
    explicit ZoneSite(std::uint64_t seed);

    void run();

    const std::string &violation() const
    {
        return m_violation;
    }

    /// Number of checks in which a zone was allowed to start tasks although the log was unreachable.
    int startsWithoutLog() const
    {
        return m_startsWithoutLog;
    }

private:
    void tick(int instance);
    void readLog(int instance);
    void apply(int instance, const membership::Event &event);
    void checkStarts(int instance);
    void changePartitions();
    void runOperator();
    void takeOut(int instance, const fleet::ZoneId &zone);
    void appendRecord(const std::string &bytes);
    void onConfigurationChanged(int instance);
    /// Records which zones this instance would report to an operator as out of service.
    void recordReportedOut(int instance);
    /// Appends the take-outs that are not known to be in the log.
    void appendTakeOuts(int instance);
    void syncFromPeers(int instance);
    bool isPaused(int instance) const;

    MessageQueue m_queue;
    std::vector<ZoneInstance> m_instances;
    std::vector<std::string> m_log;
    /// Whether each zone can reach the log.
    std::vector<bool> m_logReachable;
    /// Whether messages from one zone reach another. A partition may be one-way.
    std::vector<std::vector<bool>> m_isConnected;
    configuration::StreamReader m_logState;
    /// Since when an instance reports the zone to operators as out of service: it read the change back from the log, or the
    /// zone's own instances confirmed it.
    std::vector<std::optional<fleet::TimePoint>> m_outSince;
    int m_changes = 0;
    int m_startsWithoutLog = 0;
    std::string m_violation;
};

}

#endif
