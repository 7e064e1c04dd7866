#ifndef COMPONENTS_ESTIMATES_RUN_TIMES_HPP
#define COMPONENTS_ESTIMATES_RUN_TIMES_HPP

#include "components/estimates/running_mean.hpp"
#include "components/fleet/identifiers.hpp"
#include "components/fleet/job_spec.hpp"
#include "components/fleet/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace estimates
{

/// What is known of the run times of one kind of work of one account, as natural logarithms of milliseconds.
struct KindHistory
{
    RunningMean m_runTime;
    /// Run time relative to what was declared.
    RunningMean m_ratio;

    bool operator==(const KindHistory &) const = default;
};

/// Run times learned by account and kind.
struct RunTimes
{
    std::map<std::pair<fleet::AccountId, std::string>, KindHistory> m_kinds;
    /// Rises with every run time learned.
    std::uint64_t m_version = 0;

    bool operator==(const RunTimes &) const = default;
};

/// The run time that a job probably has, and one that it hardly exceeds.
struct Estimate
{
    fleet::Duration m_expected {0};
    fleet::Duration m_upper {0};

    bool operator==(const Estimate &) const = default;
};

/// Learns from a job that ran to its end.
void learn(RunTimes &runTimes, const fleet::JobSpec &spec, fleet::Duration actual);

/// Estimates a job's whole run time: from the history of its kind, by absolute time or by the ratio to the declared
/// time, whichever has varied less; from the declared time where there is no history.
Estimate estimate(const RunTimes &runTimes, const fleet::JobSpec &spec);

}

#endif
