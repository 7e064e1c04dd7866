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
    /// Another instance holds the duty, or nobody.
    Standby,
    /// A claim of this instance is on its way to the log.
    Claiming,
    /// The claim was accepted; workers are being told.
    RaisingToken,
    /// Every worker knows the token, or the earlier holder's authority and leases have lapsed.
    Holding,
    /// Gave the duty up in a planned stop.
    Released,
};

/// What the new holder knows of one worker.
struct WorkerContact
{
    bool m_answered = false;
    fleet::TimePoint m_requestSentAt;
};

/// One instance's part in the scheduling duty of its zone.
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
    /// When this instance saw its claim accepted.
    fleet::TimePoint m_claimedAt;
    /// The last time at which nobody else can have claimed unnoticed.
    fleet::TimePoint m_contactAt;
    fleet::FencingToken m_token;
    std::map<fleet::WorkerId, WorkerContact> m_workers;
    bool m_workersKnown = false;
};

State makeState(const Settings &settings, const records::WriterId &self, const fleet::ZoneId &zone);

}

#endif
