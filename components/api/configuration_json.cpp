#include "components/api/configuration_json.hpp"

#include "components/api/fleet_json.hpp"

#include <boost/json.hpp>

namespace api
{

namespace
{

boost::json::array writeGuarantees(const std::vector<fleet::GuaranteedShape> &guarantees)
{
    boost::json::array array;
    for (const fleet::GuaranteedShape &guarantee : guarantees) {
        array.push_back(toJson(guarantee));
    }
    return array;
}

void writeOverrides(boost::json::object &object, const configuration::Exception &exception)
{
    if (exception.m_guarantees) {
        object["guarantees"] = writeGuarantees(*exception.m_guarantees);
    }
    if (exception.m_quota) {
        object["quota"] = toJson(*exception.m_quota);
    }
    if (exception.m_urgentPerHour) {
        object["urgentPerHour"] = *exception.m_urgentPerHour;
    }
    if (exception.m_weight) {
        object["weight"] = *exception.m_weight;
    }
}

boost::json::value writeException(const configuration::Exception &exception, fleet::TimePoint now)
{
    boost::json::object object {{"id", exception.m_id.value()},
                                {"operator", exception.m_operator.value()},
                                {"reason", exception.m_reason},
                                {"from", fleet::toMilliseconds(exception.m_from)},
                                {"until", fleet::toMilliseconds(exception.m_until)},
                                {"account", exception.m_account.value()},
                                {"zone", exception.m_zone.value()},
                                {"inForce", exception.isInForce(now)}};
    writeOverrides(object, exception);
    return object;
}

boost::json::array writeAccounts(const configuration::Configuration &configuration)
{
    boost::json::array accounts;
    for (const configuration::Account &account : configuration.m_accounts) {
        accounts.push_back({{"id", account.m_id.value()}, {"guarantees", writeGuarantees(account.m_guarantees)}});
    }
    return accounts;
}

boost::json::array writeZonesOut(const configuration::Configuration &configuration)
{
    boost::json::array zones;
    for (const configuration::ZoneOut &out : configuration.m_zonesOut) {
        zones.push_back(
            {{"zone", out.m_zone.value()}, {"operator", out.m_operator.value()}, {"reason", out.m_reason}, {"since", fleet::toMilliseconds(out.m_since)}});
    }
    return zones;
}

boost::json::array writeExceptions(const std::vector<configuration::Exception> &exceptions, fleet::TimePoint now)
{
    boost::json::array array;
    for (const configuration::Exception &exception : exceptions) {
        array.push_back(writeException(exception, now));
    }
    return array;
}

}

boost::json::value toJson(const configuration::Configuration &configuration, fleet::TimePoint now)
{
    const configuration::Defaults &defaults = configuration.m_defaults;
    return {{"version", configuration.m_version.m_value},
            {"defaults", {{"quota", toJson(defaults.m_quota)}, {"urgentPerHour", defaults.m_urgentPerHour}, {"weight", defaults.m_weight}}},
            {"accounts", writeAccounts(configuration)},
            {"exceptions", writeExceptions(configuration.m_exceptions, now)},
            {"zonesOut", writeZonesOut(configuration)}};
}

}
