#ifndef COMPONENTS_SETTINGS_DAEMON_SETTINGS_HPP
#define COMPONENTS_SETTINGS_DAEMON_SETTINGS_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/time.hpp"
#include "components/logging/level.hpp"
#include "components/settings/endpoint.hpp"
#include "components/settings/peer_settings.hpp"

#include <optional>
#include <string>
#include <vector>

namespace settings
{

class Reader;

/// Settings of a foxtailcrossd process.
struct DaemonSettings
{
    fleet::InstanceId m_instance;
    fleet::ZoneId m_zone;
    fleet::RegionId m_region;
    /// HTTP endpoint for callers and operators.
    Endpoint m_httpEndpoint;
    /// Endpoint for other instances, UDP and TCP on the same port number.
    Endpoint m_peerEndpoint;
    /// Address at which other instances reach m_peerEndpoint, if it differs.
    std::optional<Endpoint> m_advertisedPeerEndpoint;
    Endpoint m_logEndpoint;
    Endpoint m_listEndpoint;
    std::vector<PeerSettings> m_peers;

    std::string m_operatorToken;
    /// Keys for messages between instances. The first one signs; all are accepted.
    std::vector<std::string> m_peerKeys;
    /// Signs the request ids that this site issues; must be the same on every instance.
    std::string m_requestIdKey;

    int m_trafficThreads = 2;
    std::int64_t m_maxBodyBytes = 1 << 20;
    std::int64_t m_maxHeaderBytes = 8 << 10;

    fleet::Duration m_heartbeatInterval {1000};
    /// No tasks are started if the view of the configuration is older than this.
    fleet::Duration m_viewFreshness {3000};
    fleet::Duration m_leaseLength {30000};
    fleet::Duration m_renewInterval {5000};
    /// A scheduler that has reached neither the log nor a peer of its zone for this long no longer starts tasks or renews leases.
    fleet::Duration m_holderAuthority {15000};
    fleet::Duration m_logPollInterval {500};
    fleet::Duration m_listPollInterval {2000};
    /// Records wait at most this long to be appended together with others.
    fleet::Duration m_groupCommitDelay {50};
    /// How long a stopping instance still accepts connections from the load balancer.
    fleet::Duration m_balancerDelay {3000};
    /// A planned stop ends after this time even if requests are still open.
    fleet::Duration m_drainLimit {60000};

    logging::Level m_logLevel = logging::Level::Info;

    bool operator==(const DaemonSettings &) const = default;
};

/// Reads and checks the settings. Throws SettingsError listing every problem.
DaemonSettings readDaemonSettings(Reader &reader);

}

#endif
