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

/// A request reached its issuer, from a caller or forwarded by another instance.
struct Submitted
{
    Request m_request;
    /// What the id says; its tag has been verified.
    RequestIdParts m_idParts;
    /// Counts the caller's sendings of this id from 1; 2 where the caller did not say.
    int m_sendCount = 1;
    WaiterId m_waiter;
};

/// The connection closed; nobody hears the answer.
struct WaiterDisconnected
{
    WaiterId m_waiter;
    fleet::RequestId m_request;
};

/// A runner was listed for the first time or its entry changed. Leaving is never unlearned for one runner id.
struct RunnerListed
{
    fleet::RunnerId m_runner;
    fleet::ZoneId m_zone;
    int m_slots = 0;
    int m_connections = 0;
    bool m_leaving = false;
};

/// The runner is no longer listed.
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

/// The runner answered one attempt. The answer is matched by request id, attempt and runner, never by connection.
struct RunnerAnswered
{
    fleet::RequestId m_request;
    int m_attempt = 0;
    fleet::RunnerId m_runner;
    /// False where the runner says that it did not run the request.
    bool m_ran = true;
    std::string m_body;
};

/// The attempt ended without an answer.
struct DispatchFailed
{
    fleet::RequestId m_request;
    int m_attempt = 0;
    fleet::RunnerId m_runner;
    /// False only where it is certain that no byte of the request was sent, as when no connection was made.
    bool m_mayHaveBeenSent = true;
};

/// What one account may use of this instance. The hourly urgent budget is this instance's part of the account's.
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

/// How many instances share the runners, this one included.
struct InstanceCountChanged
{
    int m_instances = 1;
};

/// Availability zones whose runners get nothing new.
struct ZonesClosed
{
    std::vector<fleet::ZoneId> m_zones;
};

/// Another instance handed over its requests in a planned stop. Repeated messages change nothing.
struct HandoverReceived
{
    Handover m_handover;
};

/// The planned stop began: queued and running requests are finished, new ones go on being taken until the handover.
struct StopRequested
{
};

/// Time passed; sent at least every 100 ms.
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
