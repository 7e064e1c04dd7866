#ifndef COMPONENTS_REPORT_DURATION_HISTOGRAM_HPP
#define COMPONENTS_REPORT_DURATION_HISTOGRAM_HPP

#include "components/fleet/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace report
{

/// Counts durations from 1 ms to 100 days in buckets of equal ratio. Two histograms add up bucket by bucket.
///
/// A quantile is off by at most the ratio of one bucket, about 13%.
class DurationHistogram
{
public:
    void add(fleet::Duration duration);
    void add(const DurationHistogram &other);

    std::uint64_t count() const;

    /// The duration below which the share `quantile` (0 to 1) of the counted ones lies; nothing where none was counted.
    std::optional<fleet::Duration> quantile(double quantile) const;

    bool operator==(const DurationHistogram &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_counts);
    }

private:
    /// Empty until the first duration is counted, then one count a bucket.
    std::vector<std::uint32_t> m_counts;
};

}

#endif
