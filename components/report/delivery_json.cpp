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

json::object toJson(const AccountFigures &figures)
{
    return {
        {"jobsSubmitted", figures.m_jobsSubmitted},
        {"jobsDone", figures.m_jobsDone},
        {"jobsFailed", figures.m_jobsFailed},
        {"jobsCancelled", figures.m_jobsCancelled},
        {"jobsRefused", figures.m_jobsRefused},
        {"completionMedianMs", millisecondsOrNull(figures.m_completionTime.quantile(medianQuantile))},
        {"completionP95Ms", millisecondsOrNull(figures.m_completionTime.quantile(tailQuantile))},
        {"acceleratorMs", figures.m_acceleratorMs},
        {"wastedAcceleratorMs", figures.m_wastedAcceleratorMs},
        {"requestsDone", figures.m_requestsDone},
        {"requestsRefused", figures.m_requestsRefused},
        {"requestsUnknown", figures.m_requestsUnknown},
    };
}

json::object toJson(const PeriodFigures &figures)
{
    json::object accounts;
    for (const auto &[account, accountFigures] : figures.m_accounts) {
        accounts[account.value()] = toJson(accountFigures);
    }
    return {
        {"accounts", accounts},
        {"observedMs", figures.m_observedMs},
        {"capacityAcceleratorMs", figures.m_capacityAcceleratorMs},
        {"freeAcceleratorMs", figures.m_freeAcceleratorMs},
        {"fragmentedAcceleratorMs", figures.m_fragmentedAcceleratorMs},
    };
}

json::object toJson(const DeliveryDay &day)
{
    const json::value figures = day.m_figures ? json::value(toJson(*day.m_figures)) : json::value(nullptr);
    return {{"dayMs", fleet::toMilliseconds(day.m_day)}, {"figures", figures}};
}

json::object toJson(const ExceptionLine &line)
{
    return {
        {"name", line.m_name},
        {"by", line.m_by},
        {"sinceMs", fleet::toMilliseconds(line.m_since)},
        {"untilMs", line.m_until ? json::value(fleet::toMilliseconds(*line.m_until)) : json::value(nullptr)},
        {"reason", line.m_reason},
        {"change", line.m_change},
        {"inForce", line.m_inForce},
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
        {"madeAtMs", fleet::toMilliseconds(delivery.m_madeAt)},
        {"total", toJson(delivery.m_total)},
        {"days", toJsonArray(delivery.m_days)},
        {"exceptions", toJsonArray(delivery.m_exceptions)},
        {"burns", toJsonArray(delivery.m_burns)},
    };
    return json::serialize(root);
}

}
