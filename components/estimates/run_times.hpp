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

/// Run times of one kind of job of one account, as natural logarithms of milliseconds.
struct KindHistory
{
    RunningMean m_runTime;
    /// Logarithm of the ratio of run time to declared run time.
    RunningMean m_ratio;

    bool operator==(const KindHistory &) const = default;
};

/// Run times learned by account and kind.
struct RunTimes
{
    std::map<std::pair<fleet::AccountId, std::string>, KindHistory> m_kinds;
    /// Incremented with every run time learned.
    std::uint64_t m_version = 0;

    bool operator==(const RunTimes &) const = default;
};

/// Expected run time of a job, and an upper estimate that is rarely exceeded.
struct Estimate
{
    fleet::Duration m_expected {0};
    fleet::Duration m_upper {0};

    bool operator==(const Estimate &) const = default;
};

/// Adds the run time of a job that succeeded to its history.
void learn(RunTimes &runTimes, const fleet::JobSpec &spec, fleet::Duration actual);

/// Estimates a job's total run time from the history of its kind: by absolute run time or by the ratio to the declared
/// time, whichever has the smaller variance. Without a history, uses the declared time.
Estimate estimate(const RunTimes &runTimes, const fleet::JobSpec &spec);

}

#endif
