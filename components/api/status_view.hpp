#ifndef COMPONENTS_API_STATUS_VIEW_HPP
#define COMPONENTS_API_STATUS_VIEW_HPP

#include "components/configuration/version.hpp"
#include "components/fleet/identifiers.hpp"
#include "components/fleet/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace api
{

struct ZoneStatus
{
    fleet::ZoneId m_zone;
    bool m_out = false;
    /// The zone was taken out while the log was unreachable and the change is not in the log yet.
    bool m_provisional = false;
    /// True if new tasks may start in the zone, according to the state of this instance.
    bool m_startsAllowed = false;
    /// Holder of the scheduling duty; empty if there is none.
    fleet::InstanceId m_holder;
    int m_liveWorkers = 0;
    std::int64_t m_accelerators = 0;

    bool operator==(const ZoneStatus &) const = default;
};

/// Accelerators and jobs of one account in the whole fleet.
struct AccountStatus
{
    fleet::AccountId m_account;
    std::int64_t m_guaranteed = 0;
    std::int64_t m_used = 0;
    /// Part of m_used beyond the guarantee.
    std::int64_t m_borrowed = 0;
    int m_runningJobs = 0;
    int m_waitingJobs = 0;

    bool operator==(const AccountStatus &) const = default;
};

struct WaitingJob
{
    fleet::JobId m_job;
    fleet::AccountId m_account;
    fleet::ZoneId m_zone;
    /// One sentence.
    std::string m_reason;

    bool operator==(const WaitingJob &) const = default;
};

struct InstanceStatus
{
    fleet::InstanceId m_instance;
    fleet::ZoneId m_zone;
    /// "alive", "suspected", "leaving" or "gone".
    std::string m_state;

    bool operator==(const InstanceStatus &) const = default;
};

struct QuarantinedWorker
{
    fleet::WorkerId m_worker;
    std::string m_reason;

    bool operator==(const QuarantinedWorker &) const = default;
};

/// State of the whole system as seen by one instance.
struct StatusView
{
    fleet::InstanceId m_instance;
    fleet::ZoneId m_zone;
    fleet::TimePoint m_at;
    configuration::Version m_configurationVersion;
    bool m_logReachable = false;
    /// Time since the log was last read to its end.
    fleet::Duration m_logLag {0};
    bool m_stopping = false;
    std::vector<ZoneStatus> m_zones;
    std::vector<AccountStatus> m_accounts;
    std::vector<WaitingJob> m_waiting;
    std::vector<InstanceStatus> m_instances;
    std::vector<QuarantinedWorker> m_quarantined;

    bool operator==(const StatusView &) const = default;
};

}

#endif
