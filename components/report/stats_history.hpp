#ifndef COMPONENTS_REPORT_STATS_HISTORY_HPP
#define COMPONENTS_REPORT_STATS_HISTORY_HPP

#include "components/fleet/time.hpp"
#include "components/report/period_stats.hpp"

#include <map>

namespace report
{

/// Figures by period: by hour for the recent days, by day before that.
///
/// Instances append what they counted in a period as one record; the fold adds it here, and the snapshot of the
/// system's stream carries the history past the log's retention. A period without stats is a gap, not a zero.
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

/// Start of the hour that `time` lies in.
fleet::TimePoint hourOf(fleet::TimePoint time);
/// Start of the UTC day that `time` lies in.
fleet::TimePoint dayOf(fleet::TimePoint time);

/// Adds what one instance counted in the hour that begins at `hour`.
void addHour(StatsHistory &history, fleet::TimePoint hour, const PeriodStats &stats);

/// Folds hours older than a week into their days and drops days older than 400 days.
void rollUp(StatsHistory &history, fleet::TimePoint now);

/// Sum of all periods that begin in [from, to). Hours that were rolled up count by their day.
PeriodStats sum(const StatsHistory &history, fleet::TimePoint from, fleet::TimePoint to);

}

#endif
