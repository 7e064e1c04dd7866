#include "components/experiment/json_report.hpp"

#include <boost/json.hpp>

namespace experiment
{

namespace
{

namespace json = boost::json;

json::object spreadObject(const Measure &measure, const Spread &spread)
{
    return {{"unit", measure.m_unit}, {"mean", spread.m_mean}, {"deviation", spread.m_deviation}, {"lowest", spread.m_lowest}, {"highest", spread.m_highest}};
}

json::object runObject(const RunStats &stats)
{
    json::object run;
    run["seed"] = stats.m_seed;
    for (const Measure &measure : measures()) {
        run[measure.m_name] = stats.*measure.m_value;
    }
    json::array accounts;
    for (const AccountStats &account : stats.m_accounts) {
        accounts.push_back(json::object {{"account", account.m_account.value()},
                                         {"jobs", account.m_jobs},
                                         {"completion median", account.m_completionMedian},
                                         {"completion p95", account.m_completionP95}});
    }
    run["accounts"] = std::move(accounts);
    json::array violations;
    for (const Violation &violation : stats.m_violations) {
        violations.emplace_back(describe(violation));
    }
    run["violations"] = std::move(violations);
    return run;
}

json::object summaryObject(const Summary &summary)
{
    json::object object;
    object["site"] = summary.m_site;
    object["policy"] = summary.m_policy;
    object["days"] = summary.m_days;
    object["faultScale"] = summary.m_faultScale;
    json::object spreads;
    for (std::size_t index = 0; index < measures().size(); ++index) {
        spreads[measures()[index].m_name] = spreadObject(measures()[index], summary.m_spreads[index]);
    }
    object["measures"] = std::move(spreads);
    json::array runs;
    for (const RunStats &stats : summary.m_runs) {
        runs.push_back(runObject(stats));
    }
    object["runs"] = std::move(runs);
    return object;
}

}

std::string toJson(const Summary &summary)
{
    return json::serialize(summaryObject(summary));
}

std::string toJson(const Comparison &comparison)
{
    json::object object;
    object["baseline"] = summaryObject(comparison.m_baseline);
    object["present"] = summaryObject(comparison.m_present);
    json::object ratios;
    for (std::size_t index = 0; index < measures().size(); ++index) {
        ratios[measures()[index].m_name] = ratioOf(comparison, index);
    }
    object["ratios"] = std::move(ratios);
    json::array targets;
    for (const AcceptanceCheck &check : comparison.m_checks) {
        targets.push_back(json::object {{"name", check.m_name}, {"measured", check.m_measured}, {"limit", check.m_limit}, {"holds", check.isPassed()}});
    }
    object["targets"] = std::move(targets);
    object["holds"] = passes(comparison);
    return json::serialize(object);
}

}
