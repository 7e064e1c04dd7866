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

/// The platform's list was read. It lags, and an older one may arrive after a newer.
struct ListRead
{
    fleet::TimePoint m_asOf;
    std::vector<ListedInstance> m_instances;
};

/// The configuration stream was read to its end and folded.
struct LogRead
{
    /// When the read was asked for.
    fleet::TimePoint m_requestSentAt;
};

/// The configuration in force here, from the log or from a peer. Sent before the LogRead of the same read.
struct ConfigurationKnown
{
    configuration::Version m_version;
    /// Results of changes that are in the configuration now; take-outs among them are no longer provisional.
    std::vector<configuration::ChangeId> m_appliedChanges;
};

/// An operator took a zone out through this instance while the log could not be reached.
struct TakeOutRequested
{
    TakeOut m_takeOut;
};

/// The summary of this zone, from its holder.
struct ZoneSummarized
{
    ZoneSummary m_summary;
};

/// The highest token of this zone's duty that this instance knows.
struct TokenKnown
{
    fleet::FencingToken m_token;
};

/// This instance took over request ids.
struct IdsInherited
{
    std::vector<requests::Issuer> m_issuers;
};

/// The planned stop began; the next heartbeats say so.
struct StopRequested
{
};

/// The process ends now.
struct ProcessEnding
{
};

/// Time passed; sent at least every 200 ms.
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
                           IdsInherited,
                           StopRequested,
                           ProcessEnding,
                           Tick>;

/// Send a heartbeat to the address, once; losing it is harmless.
struct SendHeartbeat
{
    std::string m_address;
    Heartbeat m_heartbeat;
};

using Actions = std::vector<SendHeartbeat>;

}

#endif
