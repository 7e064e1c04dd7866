#ifndef COMPONENTS_REPORT_LEDGER_HPP
#define COMPONENTS_REPORT_LEDGER_HPP

#include "components/fleet/time.hpp"
#include "components/report/period_figures.hpp"

#include <map>

namespace report
{

/// Figures by period: by hour for the recent days, by day before that.
///
/// Instances append what they counted in a period as one record; the fold adds it here, and the snapshot of the
/// system's stream carries the ledger past the log's retention. A period without figures is a gap, not a zero.
struct Ledger
{
    std::map<fleet::TimePoint, PeriodFigures> m_hours;
    std::map<fleet::TimePoint, PeriodFigures> m_days;

    bool operator==(const Ledger &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        serializePeriods(archive, m_hours);
        serializePeriods(archive, m_days);
    }

private:
    template<class Archive>
    static void serializePeriods(Archive &archive, std::map<fleet::TimePoint, PeriodFigures> &periods)
    {
        std::map<std::int64_t, PeriodFigures> byMilliseconds;
        for (const auto &[start, figures] : periods) {
            byMilliseconds.emplace(fleet::toMilliseconds(start), figures);
        }
        archive(byMilliseconds);
        periods.clear();
        for (const auto &[start, figures] : byMilliseconds) {
            periods.emplace(fleet::fromMilliseconds(start), figures);
        }
    }
};

/// Start of the hour that `time` lies in.
fleet::TimePoint hourOf(fleet::TimePoint time);
/// Start of the UTC day that `time` lies in.
fleet::TimePoint dayOf(fleet::TimePoint time);

/// Adds what one instance counted in the hour that begins at `hour`.
void addHour(Ledger &ledger, fleet::TimePoint hour, const PeriodFigures &figures);

/// Folds hours older than a week into their days and drops days older than 400 days.
void rollUp(Ledger &ledger, fleet::TimePoint now);

/// Sum of all periods that begin in [from, to). Hours that were rolled up count by their day.
PeriodFigures sum(const Ledger &ledger, fleet::TimePoint from, fleet::TimePoint to);

}

#endif
