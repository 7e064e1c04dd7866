#include "components/report/delivery_tables.hpp"

#include "components/report/delivery.hpp"
#include "components/report/format.hpp"

namespace report
{

namespace
{

constexpr double medianQuantile = 0.5;
constexpr double tailQuantile = 0.95;

std::vector<std::string> accountRow(const fleet::AccountId &account, const AccountStats &stats)
{
    return {
        account.value(),
        std::to_string(stats.m_jobsSubmitted),
        std::to_string(stats.m_jobsDone),
        std::to_string(stats.m_jobsFailed),
        std::to_string(stats.m_jobsCancelled),
        std::to_string(stats.m_jobsRefused),
        formatDuration(stats.m_completionTime.quantile(medianQuantile)),
        formatDuration(stats.m_completionTime.quantile(tailQuantile)),
        formatAcceleratorHours(stats.m_acceleratorMs),
        formatAcceleratorHours(stats.m_wastedAcceleratorMs),
        std::to_string(stats.m_requestsDone),
        std::to_string(stats.m_requestsRefused),
        std::to_string(stats.m_requestsUnknown),
    };
}

std::string formatWindow(fleet::Duration window)
{
    const auto hours = std::chrono::duration_cast<std::chrono::hours>(window).count();
    return hours < 48 ? std::to_string(hours) + " h" : std::to_string(hours / 24) + " d";
}

}

Table accountTable(const Delivery &delivery)
{
    Table table {
        "Delivered in " + toString(delivery.m_month),
        {"account", "submitted", "done", "failed", "cancelled", "refused", "median", "p95", "acc-hours", "wasted", "requests", "not run", "unknown"},
        {},
    };
    for (const auto &[account, stats] : delivery.m_total.m_accounts) {
        table.m_rows.push_back(accountRow(account, stats));
    }
    return table;
}

Table capacityTable(const Delivery &delivery)
{
    const PeriodStats &total = delivery.m_total;
    const auto capacity = static_cast<double>(total.m_capacityAcceleratorMs);
    const auto free = static_cast<double>(total.m_freeAcceleratorMs);
    const auto fragmented = static_cast<double>(total.m_fragmentedAcceleratorMs);
    return {
        "Accelerators",
        {"observed acc-hours", "in use", "free", "free that no waiting shape can use"},
        {{formatAcceleratorHours(total.m_capacityAcceleratorMs),
          formatPercentage(capacity - free, capacity),
          formatPercentage(free, capacity),
          formatPercentage(fragmented, free)}},
    };
}

Table exceptionTable(const std::vector<ExceptionSummary> &exceptions)
{
    Table table {"Exceptions", {"exception", "state", "by", "since", "until", "what it changed", "reason"}, {}};
    for (const ExceptionSummary &exception : exceptions) {
        table.m_rows.push_back({
            exception.m_name,
            exception.m_inForce ? "in force" : "ended",
            exception.m_operator,
            formatTime(exception.m_since),
            exception.m_until ? formatTime(*exception.m_until) : "further notice",
            exception.m_changeDescription,
            exception.m_reason,
        });
    }
    return table;
}

Table burnTable(const std::vector<Burn> &burns)
{
    Table table {"Service-level burn", {"objective", "window", "good", "events", "target", "burn rate"}, {}};
    for (const Burn &burn : burns) {
        table.m_rows.push_back({
            toString(burn.m_objective),
            formatWindow(burn.m_window),
            std::to_string(burn.m_tally.m_good),
            std::to_string(burn.m_tally.m_total),
            formatPercentage(burn.m_target, 1.0),
            formatRate(burn.m_rate),
        });
    }
    return table;
}

}
