#ifndef COMPONENTS_EXPERIMENT_ACCOUNT_FIGURES_HPP
#define COMPONENTS_EXPERIMENT_ACCOUNT_FIGURES_HPP

#include "components/fleet/identifiers.hpp"

namespace experiment
{

/// Completion of one client account's sound jobs, in seconds.
struct AccountFigures
{
    fleet::AccountId m_account;
    double m_jobs = 0.0;
    double m_completionMedian = 0.0;
    double m_completionP95 = 0.0;

    bool operator==(const AccountFigures &) const = default;
};

}

#endif
