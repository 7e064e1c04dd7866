#include "components/report/delivery_page.hpp"

#include "components/report/day_plot.hpp"
#include "components/report/delivery.hpp"
#include "components/report/delivery_tables.hpp"
#include "components/report/format.hpp"

namespace report
{

namespace
{

const char *const pageHead = R"(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Delivery report</title><style>
body { font: 15px/1.45 sans-serif; max-width: 60rem; margin: 2rem auto; color: #222; }
table { border-collapse: collapse; margin-bottom: 1.5rem; }
th, td { padding: 0.25rem 0.6rem; border-bottom: 1px solid #ddd; text-align: left; font-size: 13px; }
th { background: #f3f3f3; }
figure { margin: 0 0 1.5rem; } figcaption { font-weight: bold; }
svg { width: 100%; } svg text { font-size: 11px; fill: #555; }
.bar { fill: #2f6f8f; } .axis { stroke: #999; }
.gap { fill: none; stroke: #b55; stroke-dasharray: 3 3; }
</style></head><body>
)";

double acceleratorHours(std::uint64_t milliseconds)
{
    return static_cast<double>(milliseconds) / 3'600'000.0;
}

double jobsDone(const PeriodStats &stats)
{
    double done = 0;
    for (const auto &[account, accountStats] : stats.m_accounts) {
        done += static_cast<double>(accountStats.m_jobsDone);
    }
    return done;
}

double usedAcceleratorHours(const PeriodStats &stats)
{
    return acceleratorHours(stats.m_capacityAcceleratorMs - stats.m_freeAcceleratorMs);
}

std::vector<DayValue> byDay(const Delivery &delivery, double (*figure)(const PeriodStats &))
{
    std::vector<DayValue> values;
    for (const DeliveryDay &day : delivery.m_days) {
        values.push_back({day.m_day, day.m_stats ? std::optional(figure(*day.m_stats)) : std::nullopt});
    }
    return values;
}

}

std::string renderPage(const Delivery &delivery)
{
    std::string page = pageHead;
    page += "<h1>Delivery report for " + toString(delivery.m_month) + "</h1>\n<p>Made at " + formatTime(delivery.m_generatedAt)
        + ". Dashed columns are days for which no instance recorded figures.</p>\n";
    page += renderDayPlot("Jobs done a day", "jobs", byDay(delivery, jobsDone));
    page += renderDayPlot("Accelerator hours in use a day", "h", byDay(delivery, usedAcceleratorHours));
    page += renderHtml(accountTable(delivery));
    page += renderHtml(capacityTable(delivery));
    page += renderHtml(exceptionTable(delivery.m_exceptions));
    page += renderHtml(burnTable(delivery.m_burns));
    return page + "</body></html>\n";
}

std::string renderText(const Delivery &delivery)
{
    std::string text = renderText(accountTable(delivery)) + "\n" + renderText(capacityTable(delivery)) + "\n";
    return text + renderText(exceptionTable(delivery.m_exceptions)) + "\n" + renderText(burnTable(delivery.m_burns));
}

}
