#ifndef COMPONENTS_MEMBERSHIP_EVENTS_HPP
#define COMPONENTS_MEMBERSHIP_EVENTS_HPP

#include "components/configuration/identifiers.hpp"
#include "components/configuration/version.hpp"
#include "components/fleet/fencing_token.hpp"
#include "components/fleet/time.hpp"
#include "components/membership/heartbeat.hpp"
#include "components/membership/take_out.hpp"

#include <string>
#include <variant>
#include <vector>

namespace membership
{

/// An authentic heartbeat arrived.
struct HeartbeatReceived
{
    Heartbeat m_heartbeat;
};

/// One instance in the platform's list.
struct ListedInstance
{
    fleet::InstanceId m_id;
    fleet::ZoneId m_zone;
    std::string m_address;
    bool m_leaving = false;
};

/// The platform's list was read. It lags, and an older list may arrive after a newer one.
struct ListRead
{
    fleet::TimePoint m_asOf;
    std::vector<ListedInstance> m_instances;
};

/// The configuration stream was read to its end and applied.
struct LogRead
{
    /// When the read was requested.
    fleet::TimePoint m_requestSentAt;
};

/// The configuration in force on this instance, from the log or from another instance. Sent before the LogRead of the same read.
struct ConfigurationKnown
{
    configuration::Version m_version;
    /// Changes whose results are part of the configuration; take-outs among them are no longer provisional.
    std::vector<configuration::ChangeId> m_appliedChanges;
};

/// An operator took a zone out of service through this instance while the log was unreachable.
struct TakeOutRequested
{
    TakeOut m_takeOut;
};

/// Summary of this zone, from the holder of its scheduling duty.
struct ZoneSummarized
{
    ZoneSummary m_summary;
};

/// The highest token of this zone's duty that this instance has read.
struct TokenKnown
{
    fleet::FencingToken m_token;
};

/// The issuers whose request ids this instance has taken over.
struct IdsTakenOver
{
    std::vector<requests::Issuer> m_issuers;
};

/// The planned stop has begun; the following heartbeats announce it.
struct StopRequested
{
};

/// The process ends now; the last heartbeats announce it.
struct ProcessEnding
{
};

/// Lets time pass. Sent at least every 200 ms.
struct Tick
{
};

using Event = std::variant<HeartbeatReceived,
                           ListRead,
                           LogRead,
                           ConfigurationKnown,
                           TakeOutRequested,
                           ZoneSummarized,
                           TokenKnown,
                           IdsTakenOver,
                           StopRequested,
                           ProcessEnding,
                           Tick>;

/// Send a heartbeat to the address, without retries, since its loss is harmless.
struct SendHeartbeat
{
    std::string m_address;
    Heartbeat m_heartbeat;
};

using Actions = std::vector<SendHeartbeat>;

}

#endif
