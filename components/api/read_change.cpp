#include "components/api/read_change.hpp"

#include "components/api/error.hpp"
#include "components/api/fleet_json.hpp"
#include "components/api/object_reader.hpp"

#include <boost/json.hpp>

#include <limits>

namespace api
{

namespace
{

constexpr int maxUrgentPerHour = 1'000'000;

/// Reads the members that all changes share: the operator, the base version and an optional id, by which a repeated
/// change is recognised and not applied again.
configuration::Change readCommon(ObjectReader &reader)
{
    configuration::Change change;
    change.m_operator = fleet::OperatorId(reader.text("operator"));
    checkName(change.m_operator.value(), "operator");
    change.m_baseVersion.m_value = static_cast<std::uint64_t>(reader.integer("madeFrom", 0, std::numeric_limits<std::int64_t>::max()));
    if (reader.has("changeId")) {
        change.m_id = configuration::ChangeId(reader.text("changeId"));
        checkName(change.m_id.value(), "changeId");
    }
    return change;
}

std::vector<fleet::GuaranteedShape> readGuarantees(ObjectReader &reader)
{
    std::vector<fleet::GuaranteedShape> guarantees;
    for (const boost::json::value &guarantee : reader.list("guarantees")) {
        guarantees.push_back(readGuarantee(guarantee));
    }
    return guarantees;
}

fleet::TimePoint readTime(ObjectReader &reader, std::string_view key)
{
    return fleet::fromMilliseconds(reader.integer(key, 0, fleet::toMilliseconds(fleet::TimePoint::max())));
}

void readOverrides(ObjectReader &reader, configuration::Exception &exception)
{
    if (reader.has("guarantees")) {
        exception.m_guarantees = readGuarantees(reader);
    }
    if (reader.has("quota")) {
        exception.m_quota = readResources(reader.member("quota"));
    }
    if (reader.has("urgentPerHour")) {
        exception.m_urgentPerHour = static_cast<int>(reader.integer("urgentPerHour", 0, maxUrgentPerHour));
    }
    if (reader.has("weight")) {
        exception.m_weight = reader.number("weight", 1.0);
    }
}

}

configuration::Change readPutAccount(const std::string &account, const boost::json::value &body)
{
    checkName(account, "account");
    ObjectReader reader(body, "account");
    configuration::Change change = readCommon(reader);
    change.m_operation = configuration::PutAccount {{fleet::AccountId(account), readGuarantees(reader)}};
    reader.rejectUnreadMembers();
    return change;
}

configuration::Change readRemoveAccount(const std::string &account, const boost::json::value &body)
{
    checkName(account, "account");
    ObjectReader reader(body, "removal");
    configuration::Change change = readCommon(reader);
    change.m_operation = configuration::RemoveAccount {fleet::AccountId(account)};
    reader.rejectUnreadMembers();
    return change;
}

configuration::Change readSetDefaults(const boost::json::value &body)
{
    ObjectReader reader(body, "defaults");
    configuration::Change change = readCommon(reader);
    configuration::Defaults defaults;
    defaults.m_quota = readResources(reader.member("quota"));
    defaults.m_urgentPerHour = static_cast<int>(reader.integer("urgentPerHour", 0, maxUrgentPerHour));
    defaults.m_weight = reader.number("weight", defaults.m_weight);
    change.m_operation = configuration::SetDefaults {defaults};
    reader.rejectUnreadMembers();
    return change;
}

configuration::Change readPutException(const std::string &id, const boost::json::value &body)
{
    checkName(id, "exception id");
    ObjectReader reader(body, "exception");
    configuration::Change change = readCommon(reader);
    configuration::Exception exception;
    exception.m_id = configuration::ExceptionId(id);
    exception.m_operator = change.m_operator;
    exception.m_reason = reader.text("reason", "");
    if (exception.m_reason.find_first_not_of(" \t\r\n") == std::string::npos) {
        throw Error(ErrorKind::Invalid, "the exception has no reason; say in 'reason' why it is needed");
    }
    exception.m_from = readTime(reader, "from");
    exception.m_until = readTime(reader, "until");
    exception.m_account = fleet::AccountId(reader.text("account", ""));
    exception.m_zone = fleet::ZoneId(reader.text("zone", ""));
    readOverrides(reader, exception);
    reader.rejectUnreadMembers();
    change.m_operation = configuration::PutException {exception};
    return change;
}

configuration::Change readRemoveException(const std::string &id, const boost::json::value &body)
{
    checkName(id, "exception id");
    ObjectReader reader(body, "removal");
    configuration::Change change = readCommon(reader);
    change.m_operation = configuration::RemoveException {configuration::ExceptionId(id)};
    reader.rejectUnreadMembers();
    return change;
}

configuration::Change readTakeZoneOut(const std::string &zone, const boost::json::value &body)
{
    checkName(zone, "zone");
    ObjectReader reader(body, "zone change");
    configuration::Change change = readCommon(reader);
    change.m_operation = configuration::TakeZoneOut {fleet::ZoneId(zone), reader.text("reason", "")};
    reader.rejectUnreadMembers();
    return change;
}

configuration::Change readReturnZone(const std::string &zone, const boost::json::value &body)
{
    checkName(zone, "zone");
    ObjectReader reader(body, "zone change");
    configuration::Change change = readCommon(reader);
    change.m_operation = configuration::ReturnZone {fleet::ZoneId(zone)};
    reader.rejectUnreadMembers();
    return change;
}

}
