#include "components/estimates/run_times.hpp"

#include <algorithm>
#include <cmath>

namespace estimates
{

namespace
{

/// Minimum number of jobs in a history that is used.
constexpr int minSamples = 3;
/// Standard deviations between the expected and the upper estimate.
constexpr double upperDeviations = 1.5;
/// Assumed error of declared run times until a history exists; the upper estimate is the declared time times this factor.
constexpr int declaredFactor = 2;
/// Estimate for jobs without a declared run time and history.
constexpr fleet::Duration defaultRunTime {600'000};
constexpr fleet::Duration maxRunTime {30L * 24 * 3600 * 1000};

double logOf(fleet::Duration duration)
{
    return std::log(static_cast<double>(std::max<std::int64_t>(1, duration.count())));
}

fleet::Duration fromLog(double value)
{
    const double limit = logOf(maxRunTime);
    return fleet::Duration(static_cast<std::int64_t>(std::exp(std::clamp(value, 0.0, limit))));
}

Estimate fromMean(const RunningMean &mean, double offset)
{
    const double middle = mean.m_mean + offset;
    return {fromLog(middle), fromLog(middle + upperDeviations * std::sqrt(mean.m_variance))};
}

}

void learn(RunTimes &runTimes, const fleet::JobSpec &spec, fleet::Duration actual)
{
    KindHistory &history = runTimes.m_kinds[{spec.m_account, spec.m_kind}];
    add(history.m_runTime, logOf(actual));
    if (spec.m_declaredRunTime > fleet::Duration::zero()) {
        add(history.m_ratio, logOf(actual) - logOf(spec.m_declaredRunTime));
    }
    ++runTimes.m_version;
}

Estimate estimate(const RunTimes &runTimes, const fleet::JobSpec &spec)
{
    const bool isDeclared = spec.m_declaredRunTime > fleet::Duration::zero();
    const auto found = runTimes.m_kinds.find({spec.m_account, spec.m_kind});
    if (found == runTimes.m_kinds.end() || found->second.m_runTime.m_count < minSamples) {
        const fleet::Duration declared = isDeclared ? std::min(spec.m_declaredRunTime, maxRunTime) : defaultRunTime;
        return {declared, declared * declaredFactor};
    }
    const KindHistory &history = found->second;
    const bool isRatioBetter = isDeclared && history.m_ratio.m_count >= minSamples && history.m_ratio.m_variance < history.m_runTime.m_variance;
    if (isRatioBetter) {
        return fromMean(history.m_ratio, logOf(spec.m_declaredRunTime));
    }
    return fromMean(history.m_runTime, 0);
}

}
