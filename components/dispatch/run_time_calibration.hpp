#ifndef COMPONENTS_DISPATCH_RUN_TIME_CALIBRATION_HPP
#define COMPONENTS_DISPATCH_RUN_TIME_CALIBRATION_HPP

#include <cstdint>

namespace dispatch
{

/// Errors of expected run times, summed over runs that were done and observed as a whole. An error is the absolute natural logarithm of
/// the actual time over the expected one, in thousandths, so that half and twice the time count alike.
struct RunTimeCalibration
{
    std::int64_t m_runs = 0;
    std::int64_t m_estimateErrors = 0;
    std::int64_t m_modelErrors = 0;
    /// Runs that took at most the expected high time.
    std::int64_t m_withinHigh = 0;

    /// Mean errors in percent, and the part of the runs within the high time in percent; 0 without runs.
    std::int64_t meanEstimateError() const
    {
        return m_runs == 0 ? 0 : m_estimateErrors / (m_runs * thousandthsPerPercent);
    }
    std::int64_t meanModelError() const
    {
        return m_runs == 0 ? 0 : m_modelErrors / (m_runs * thousandthsPerPercent);
    }
    std::int64_t coverage() const
    {
        return m_runs == 0 ? 0 : m_withinHigh * wholePercent / m_runs;
    }

    bool operator==(const RunTimeCalibration &) const = default;

private:
    static constexpr std::int64_t thousandthsPerPercent = 10;
    static constexpr std::int64_t wholePercent = 100;
};

}

#endif
