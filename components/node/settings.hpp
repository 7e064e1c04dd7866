#ifndef COMPONENTS_NODE_SETTINGS_HPP
#define COMPONENTS_NODE_SETTINGS_HPP

#include "components/dispatch/settings.hpp"
#include "components/fleet/identifiers.hpp"
#include "components/fleet/incarnation.hpp"
#include "components/fleet/time.hpp"

#include <cstdint>
#include <string>

namespace node
{

/// Settings of the control thread.
struct Settings
{
    fleet::InstanceId m_instance;
    fleet::Incarnation m_incarnation;
    fleet::ZoneId m_zone;
    /// Address where other instances reach this one by UDP.
    std::string m_peerAddress;
    /// Generated at the start; other instances sign their messages to this one with it.
    std::string m_peerKey;
    /// Processor time of this instance, in thousandths of a core; 0 if it is not known.
    std::uint32_t m_milliCores = 0;
    dispatch::Settings m_dispatch;
    /// A key that the operators revoked must not be accepted for longer than this.
    fleet::Duration m_keyRevocation {5000};
    /// A change of the catalog has to be in force after this time.
    fleet::Duration m_catalogInForce {2000};
    /// No task may start in a zone this long after the operators took the zone out of service.
    fleet::Duration m_zoneEvacuation {5000};
    /// The state of a job that has ended is kept for this long.
    fleet::Duration m_statusRetention {std::chrono::minutes(2)};
    /// How long the store keeps the records of the journal.
    fleet::Duration m_journalRetention {std::chrono::minutes(5)};
    /// How long the platform waits between asking a process to stop and killing it.
    fleet::Duration m_stopLimit {6000};

    bool operator==(const Settings &) const = default;
};

}

#endif
