#ifndef COMPONENTS_REPORT_STATS_HISTORY_HPP
#define COMPONENTS_REPORT_STATS_HISTORY_HPP

#include "components/fleet/time.hpp"
#include "components/report/period_stats.hpp"

#include <map>

namespace report
{

/// Statistics by period: by hour for recent days, by day for older ones.
///
/// Job statistics are counted while the records of the log are applied. Each instance appends its request counts of a
/// period as one record, which is added when it is applied. The snapshot of the system's stream preserves the history
/// beyond the log's retention. A period without statistics is a gap, not a zero.
struct StatsHistory
{
    std::map<fleet::TimePoint, PeriodStats> m_hours;
    std::map<fleet::TimePoint, PeriodStats> m_days;

    bool operator==(const StatsHistory &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        serializePeriods(archive, m_hours);
        serializePeriods(archive, m_days);
    }

private:
    template<class Archive>
    static void serializePeriods(Archive &archive, std::map<fleet::TimePoint, PeriodStats> &periods)
    {
        std::map<std::int64_t, PeriodStats> byMilliseconds;
        for (const auto &[start, stats] : periods) {
            byMilliseconds.emplace(fleet::toMilliseconds(start), stats);
        }
        archive(byMilliseconds);
        periods.clear();
        for (const auto &[start, stats] : byMilliseconds) {
            periods.emplace(fleet::fromMilliseconds(start), stats);
        }
    }
};

/// Start of the hour that contains `time`.
fleet::TimePoint hourOf(fleet::TimePoint time);
/// Start of the UTC day that contains `time`.
fleet::TimePoint dayOf(fleet::TimePoint time);

/// Adds what one instance counted in the hour that begins at `hour`.
void addHour(StatsHistory &history, fleet::TimePoint hour, const PeriodStats &stats);

/// Merges hours older than a week into their days and deletes days older than 400 days.
void rollUp(StatsHistory &history, fleet::TimePoint now);

/// Returns the sum of all periods that start in [from, to). Hours merged by rollUp() count with the start of their day.
PeriodStats sum(const StatsHistory &history, fleet::TimePoint from, fleet::TimePoint to);

}

#endif
