#include "components/report/delivery.hpp"
#include "components/report/delivery_page.hpp"

#include <boost/json.hpp>

namespace report
{

namespace
{

namespace json = boost::json;

constexpr double medianQuantile = 0.5;
constexpr double tailQuantile = 0.95;

json::value millisecondsOrNull(std::optional<fleet::Duration> duration)
{
    return duration ? json::value(duration->count()) : json::value(nullptr);
}

json::object toJson(const AccountStats &stats)
{
    return {
        {"jobsSubmitted", stats.m_jobsSubmitted},
        {"jobsDone", stats.m_jobsDone},
        {"jobsFailed", stats.m_jobsFailed},
        {"jobsCancelled", stats.m_jobsCancelled},
        {"jobsRefused", stats.m_jobsRefused},
        {"completionMedianMs", millisecondsOrNull(stats.m_completionTime.quantile(medianQuantile))},
        {"completionP95Ms", millisecondsOrNull(stats.m_completionTime.quantile(tailQuantile))},
        {"acceleratorMs", stats.m_acceleratorMs},
        {"wastedAcceleratorMs", stats.m_wastedAcceleratorMs},
        {"requestsDone", stats.m_requestsDone},
        {"requestsRefused", stats.m_requestsRefused},
        {"requestsUnknown", stats.m_requestsUnknown},
    };
}

json::object toJson(const PeriodStats &stats)
{
    json::object accounts;
    for (const auto &[account, accountStats] : stats.m_accounts) {
        accounts[account.value()] = toJson(accountStats);
    }
    return {
        {"accounts", accounts},
        {"observedMs", stats.m_observedMs},
        {"capacityAcceleratorMs", stats.m_capacityAcceleratorMs},
        {"freeAcceleratorMs", stats.m_freeAcceleratorMs},
        {"fragmentedAcceleratorMs", stats.m_fragmentedAcceleratorMs},
    };
}

json::object toJson(const DeliveryDay &day)
{
    const json::value stats = day.m_stats ? json::value(toJson(*day.m_stats)) : json::value(nullptr);
    return {{"dayMs", fleet::toMilliseconds(day.m_day)}, {"figures", stats}};
}

json::object toJson(const ExceptionSummary &exception)
{
    return {
        {"name", exception.m_name},
        {"by", exception.m_operator},
        {"sinceMs", fleet::toMilliseconds(exception.m_since)},
        {"untilMs", exception.m_until ? json::value(fleet::toMilliseconds(*exception.m_until)) : json::value(nullptr)},
        {"reason", exception.m_reason},
        {"change", exception.m_changeDescription},
        {"inForce", exception.m_inForce},
    };
}

json::object toJson(const Burn &burn)
{
    return {
        {"objective", toString(burn.m_objective)},
        {"windowMs", burn.m_window.count()},
        {"good", burn.m_tally.m_good},
        {"total", burn.m_tally.m_total},
        {"target", burn.m_target},
        {"burnRate", burn.m_rate ? json::value(*burn.m_rate) : json::value(nullptr)},
    };
}

template<class Element>
json::array toJsonArray(const std::vector<Element> &elements)
{
    json::array array;
    for (const Element &element : elements) {
        array.push_back(toJson(element));
    }
    return array;
}

}

std::string renderJson(const Delivery &delivery)
{
    const json::object root {
        {"month", toString(delivery.m_month)},
        {"madeAtMs", fleet::toMilliseconds(delivery.m_generatedAt)},
        {"total", toJson(delivery.m_total)},
        {"days", toJsonArray(delivery.m_days)},
        {"exceptions", toJsonArray(delivery.m_exceptions)},
        {"burns", toJsonArray(delivery.m_burns)},
    };
    return json::serialize(root);
}

}
