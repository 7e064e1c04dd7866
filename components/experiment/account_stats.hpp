#ifndef COMPONENTS_EXPERIMENT_ACCOUNT_STATS_HPP
#define COMPONENTS_EXPERIMENT_ACCOUNT_STATS_HPP

#include "components/fleet/identifiers.hpp"

namespace experiment
{

/// Completion times of one client account's sound jobs (see PlannedJob::isSound()), in seconds.
struct AccountStats
{
    fleet::AccountId m_account;
    double m_jobs = 0.0;
    double m_completionMedian = 0.0;
    double m_completionP95 = 0.0;

    bool operator==(const AccountStats &) const = default;
};

}

#endif
