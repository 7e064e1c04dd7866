#ifndef COMPONENTS_REPORT_DURATION_HISTOGRAM_HPP
#define COMPONENTS_REPORT_DURATION_HISTOGRAM_HPP

#include "components/fleet/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace report
{

/// Histogram of durations from 1 ms to 100 days with logarithmic buckets. Histograms can be added.
///
/// The error of a quantile is at most the ratio of one bucket, about 13%.
class DurationHistogram
{
public:
    void add(fleet::Duration duration);
    void add(const DurationHistogram &other);

    std::uint64_t count() const;

    /// Returns the duration at the quantile (0 to 1), or nothing if no duration was added.
    std::optional<fleet::Duration> quantile(double quantile) const;

    bool operator==(const DurationHistogram &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_counts);
    }

private:
    /// One count per bucket; empty until the first duration is added.
    std::vector<std::uint32_t> m_counts;
};

}

#endif
