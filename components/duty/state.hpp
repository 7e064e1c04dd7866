#ifndef COMPONENTS_DUTY_STATE_HPP
#define COMPONENTS_DUTY_STATE_HPP

#include "components/duty/settings.hpp"
#include "components/fleet/fencing_token.hpp"
#include "components/fleet/identifiers.hpp"
#include "components/fleet/time.hpp"
#include "components/records/holder.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace duty
{

enum class Role : std::uint8_t {
    /// Another instance holds the duty, or none does.
    Standby,
    /// This instance's claim was sent to the log and has no result yet.
    Claiming,
    /// The claim was accepted; the token is being sent to the workers.
    RaisingToken,
    /// Every worker has received the token, or the earlier holder's authority and leases have expired.
    Holding,
    /// Released the duty in a planned stop.
    Released,
};

/// Whether one worker has confirmed the new holder's token.
struct WorkerContact
{
    bool m_answered = false;
    fleet::TimePoint m_requestSentAt;
};

/// State of one instance with regard to the scheduling duty of its zone.
struct State
{
    Settings m_settings;
    records::WriterId m_self;
    fleet::ZoneId m_zone;
    Role m_role = Role::Standby;
    bool m_stopping = false;
    records::Holder m_holder;
    bool m_holderKnown = false;
    bool m_holderUnfit = false;
    std::optional<fleet::TimePoint> m_unfitSince;
    int m_rank = 0;
    fleet::TimePoint m_claimSentAt;
    /// When this instance read its accepted claim from the log.
    fleet::TimePoint m_claimedAt;
    /// The last time at which no other instance can have claimed the duty unnoticed: when a log read that names this
    /// instance as the holder was sent, or when all other instances of the zone were reachable and reported no higher token.
    fleet::TimePoint m_contactAt;
    fleet::FencingToken m_token;
    std::map<fleet::WorkerId, WorkerContact> m_workers;
    bool m_workersKnown = false;
};

State makeState(const Settings &settings, const records::WriterId &self, const fleet::ZoneId &zone);

}

#endif
