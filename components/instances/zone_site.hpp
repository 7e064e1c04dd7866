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

/// One instance as the test sees it.
struct ZoneNode
{
    membership::State m_membership;
    configuration::StreamReader m_configuration;
    int m_zone = 0;
    fleet::TimePoint m_pausedUntil;
    configuration::Version m_highestSeen;
};

/// Instances of several zones, a log, and cuts between zones and between a zone and the log. Operators take zones out
/// and back; the test watches that no zone may start tasks after it is out.
class ZoneSite
{
public:
    explicit ZoneSite(std::uint64_t seed);

    void run();

    const std::string &violation() const
    {
        return m_violation;
    }

    /// Checks in which some zone might start a task while the log was out of its reach.
    int startsWithoutLog() const
    {
        return m_startsWithoutLog;
    }

private:
    void tick(int node);
    void readLog(int node);
    void apply(int node, const membership::Event &event);
    void checkStarts(int node);
    void changeCuts();
    void operate();
    void takeOut(int node, const fleet::ZoneId &zone);
    void appendRecord(const std::string &bytes);
    void noteConfiguration(int node);
    /// Notes what this instance would report to an operator as in force.
    void noteToldOut(int node);
    /// Appends the take-outs that are not known to be in the log.
    void appendTakeOuts(int node);
    void syncFromPeers(int node);
    bool isPaused(int node) const;

    MessageQueue m_queue;
    std::vector<ZoneNode> m_nodes;
    std::vector<std::string> m_log;
    /// Whether each zone reaches the log.
    std::vector<bool> m_logReachable;
    /// Whether messages pass from one zone to another; a cut may be one-way.
    std::vector<std::vector<bool>> m_linked;
    configuration::StreamReader m_truth;
    /// Since when some instance tells operators that the zone is out: read back from the log, or confirmed by the zone's
    /// own instances.
    std::vector<std::optional<fleet::TimePoint>> m_outSince;
    int m_changes = 0;
    int m_startsWithoutLog = 0;
    std::string m_violation;
};

}

#endif
