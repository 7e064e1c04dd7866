#include "components/report/delivery.hpp"
#include "components/report/delivery_page.hpp"
#include "components/report/format.hpp"

#include <rapidcheck.h>

#include <algorithm>

#include <criterion/criterion.h>

namespace
{

using namespace std::chrono_literals;

/// A history and the current time, noon of 4 December 2026.
struct HistoryFixture
{
    fleet::TimePoint m_now = std::chrono::sys_days(std::chrono::year(2026) / 12 / 4) + 12h;
    fleet::AccountId m_account {"harbour-studios"};
    report::StatsHistory m_history;
    report::ObjectiveTargets m_targets;

    void addRequests(fleet::TimePoint hour, int good, int bad)
    {
        report::PeriodStats stats;
        for (int index = 0; index < good + bad; ++index) {
            stats.m_accounts[m_account].count(report::Objective::RequestSuccess, index < good);
        }
        report::addHour(m_history, hour, stats);
    }

    report::Burn requestBurn(fleet::Duration window) const
    {
        for (const report::Burn &burn : report::calculateBurns(m_history, m_targets, m_now)) {
            if (burn.m_objective == report::Objective::RequestSuccess && burn.m_window == window) {
                return burn;
            }
        }
        cr_assert_fail("no burn for this window");
    }
};

}

Test(burn, onePercentBadAgainstThousandth_burns_isRateTen)
{
    HistoryFixture fixture;
    fixture.addRequests(fixture.m_now, 990, 10);
    cr_assert_float_eq(*fixture.requestBurn(1h).m_rate, 10.0, 1e-6);
}

Test(burn, badHourOutsideShortWindow_burns_countsOnlyInLongWindow)
{
    HistoryFixture fixture;
    fixture.addRequests(fixture.m_now - 5h, 0, 10);
    cr_assert_not(fixture.requestBurn(1h).m_rate.has_value());
    cr_assert(fixture.requestBurn(6h).m_rate.has_value());
}

Test(delivery, dayWithoutFigures_makeDelivery_isGap)
{
    HistoryFixture fixture;
    fixture.addRequests(fixture.m_now - 48h, 5, 0);
    const auto delivery = report::makeDelivery(fixture.m_history, fixture.m_targets, {}, {2026, 12}, fixture.m_now);
    cr_assert_eq(delivery.m_days.size(), 4);
    cr_assert(delivery.m_days[1].m_stats.has_value());
    cr_assert_not(delivery.m_days[2].m_stats.has_value());
    cr_assert(report::renderJson(delivery).find("\"figures\":null") != std::string::npos);
    cr_assert(report::renderPage(delivery).find("class='gap'") != std::string::npos);
}

Test(delivery, exceptionOfEarlierMonth_makeDelivery_leavesItOut)
{
    HistoryFixture fixture;
    const report::ExceptionSummary ended {"night-quota", "anju", fixture.m_now - 1000h, fixture.m_now - 900h, "festival", "quota 8", false};
    const report::ExceptionSummary open {"spare-rack", "anju", fixture.m_now - 1000h, std::nullopt, "<rack> repair", "quota 16", true};
    const auto delivery = report::makeDelivery(fixture.m_history, fixture.m_targets, {ended, open}, {2026, 12}, fixture.m_now);
    cr_assert_eq(delivery.m_exceptions.size(), 1);
    cr_assert(report::renderPage(delivery).find("&lt;rack&gt; repair") != std::string::npos);
}

Test(history, hoursRolledUp_sum_isUnchanged)
{
    const bool holds = rc::check([] {
        HistoryFixture fixture;
        const auto hours = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 24 * 60));
        for (const int hour : hours) {
            fixture.addRequests(fixture.m_now - std::chrono::hours(hour), 1, 1);
        }
        const fleet::TimePoint from = report::dayOf(fixture.m_now) - 24h * 90;
        const report::PeriodStats before = report::sum(fixture.m_history, from, fixture.m_now + 1h);
        report::rollUp(fixture.m_history, fixture.m_now);
        RC_ASSERT(report::sum(fixture.m_history, from, fixture.m_now + 1h) == before);
        RC_ASSERT(fixture.m_history.m_hours.size() <= 8U * 24U);
    });
    cr_assert(holds);
}

Test(durationHistogram, anyDurations_median_isWithinOneBucket)
{
    const bool holds = rc::check([] {
        const auto milliseconds = *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 100'000'000)));
        report::DurationHistogram histogram;
        for (const int count : milliseconds) {
            histogram.add(fleet::Duration(count));
        }
        auto sorted = milliseconds;
        std::sort(sorted.begin(), sorted.end());
        const double exact = sorted[(sorted.size() + 1) / 2 - 1];
        const auto median = static_cast<double>(histogram.quantile(0.5)->count());
        RC_ASSERT(median >= exact / 1.15 - 1);
        RC_ASSERT(median <= exact * 1.15 + 1);
    });
    cr_assert(holds);
}

Test(month, anyText_parseMonth_acceptsOnlyCalendarMonths)
{
    cr_assert(report::parseMonth("2026-12") == (report::Month {2026, 12}));
    cr_assert_not(report::parseMonth("2026-13").has_value());
    cr_assert_not(report::parseMonth("26-12").has_value());
}
