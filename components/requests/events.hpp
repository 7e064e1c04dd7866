#ifndef COMPONENTS_REQUESTS_EVENTS_HPP
#define COMPONENTS_REQUESTS_EVENTS_HPP

#include "components/fleet/identifiers.hpp"
#include "components/requests/handover.hpp"
#include "components/requests/request.hpp"
#include "components/requests/request_id_parts.hpp"
#include "components/requests/waiter.hpp"

#include <string>
#include <variant>
#include <vector>

namespace requests
{

/// A request reached the instance that dispatches its id, from a caller or forwarded by another instance.
struct Submitted
{
    Request m_request;
    /// Parsed from the request id after its tag was verified.
    RequestIdParts m_idParts;
    /// How often the caller has sent this id, from 1; 2 if the caller did not say.
    int m_sendCount = 1;
    WaiterId m_waiter;
};

/// The waiting connection was closed, so the answer cannot be delivered to it.
struct WaiterDisconnected
{
    WaiterId m_waiter;
    fleet::RequestId m_request;
};

/// A runner was listed for the first time or its entry changed. Once a runner id was listed as leaving, it stays so.
struct RunnerListed
{
    fleet::RunnerId m_runner;
    fleet::ZoneId m_zone;
    int m_slots = 0;
    int m_connections = 0;
    bool m_leaving = false;
};

/// The platform no longer lists the runner.
struct RunnerRemoved
{
    fleet::RunnerId m_runner;
};

struct RunnerLoadReported
{
    fleet::RunnerId m_runner;
    int m_slotsUsed = 0;
    int m_connectionsUsed = 0;
};

/// The runner answered one attempt. The answer is matched by request id, attempt and runner, not by connection.
struct RunnerAnswered
{
    fleet::RequestId m_request;
    int m_attempt = 0;
    fleet::RunnerId m_runner;
    /// False if the runner reports that it did not run the request.
    bool m_ran = true;
    std::string m_body;
};

/// The attempt ended without an answer.
struct DispatchFailed
{
    fleet::RequestId m_request;
    int m_attempt = 0;
    fleet::RunnerId m_runner;
    /// False only if it is certain that no byte of the request was sent, for example because no connection was made.
    bool m_mayHaveBeenSent = true;
};

/// An account's share of this instance. The hourly budget of urgent requests is this instance's part of the account's.
struct AccountShare
{
    fleet::AccountId m_account;
    double m_weight = 1.0;
    double m_urgentPerHour = 0.0;

    bool operator==(const AccountShare &) const = default;
};

struct AccountsChanged
{
    std::vector<AccountShare> m_accounts;
};

/// Number of instances that share the runners, including this one.
struct InstanceCountChanged
{
    int m_instances = 1;
};

/// Availability zones whose runners get no new requests.
struct ZonesClosed
{
    std::vector<fleet::ZoneId> m_zones;
};

/// Another instance handed over its requests in a planned stop. Idempotent: repeated messages change nothing.
struct HandoverReceived
{
    Handover m_handover;
};

/// The planned stop began. Queued and running requests are finished, and new ones are accepted until the handover.
struct StopRequested
{
};

/// Lets timers run; sent at least every 100 ms.
struct Tick
{
};

using Event = std::variant<Submitted,
                           WaiterDisconnected,
                           RunnerListed,
                           RunnerRemoved,
                           RunnerLoadReported,
                           RunnerAnswered,
                           DispatchFailed,
                           AccountsChanged,
                           InstanceCountChanged,
                           ZonesClosed,
                           HandoverReceived,
                           StopRequested,
                           Tick>;

}

#endif
