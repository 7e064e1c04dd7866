#include "components/configuration/apply.hpp"

#include "components/configuration/change.hpp"
#include "components/configuration/configuration.hpp"
#include "components/configuration/validate.hpp"

#include <algorithm>

namespace configuration
{

namespace
{

/// Ended exceptions are kept this long for the reports.
constexpr fleet::Duration exceptionHistory = std::chrono::hours(24 * 92);

/// Number of results that are kept to recognise repeated changes.
constexpr std::size_t maxResults = 2000;

void execute(Configuration &configuration, const Change &, const PutAccount &put)
{
    auto &accounts = configuration.m_accounts;
    const auto position = std::lower_bound(accounts.begin(), accounts.end(), put.m_account.m_id, [](const Account &account, const fleet::AccountId &id) {
        return account.m_id < id;
    });
    if (position != accounts.end() && position->m_id == put.m_account.m_id) {
        *position = put.m_account;
    } else {
        accounts.insert(position, put.m_account);
    }
}

void execute(Configuration &configuration, const Change &change, const RemoveAccount &remove)
{
    std::erase_if(configuration.m_accounts, [&](const Account &account) {
        return account.m_id == remove.m_account;
    });
    for (Exception &exception : configuration.m_exceptions) {
        if (exception.m_account == remove.m_account && change.m_at < exception.m_until) {
            exception.m_until = change.m_at;
        }
    }
}

void execute(Configuration &configuration, const Change &, const SetDefaults &set)
{
    configuration.m_defaults = set.m_defaults;
}

void execute(Configuration &configuration, const Change &change, const PutException &put)
{
    std::erase_if(configuration.m_exceptions, [&](const Exception &exception) {
        return exception.m_id == put.m_exception.m_id;
    });
    configuration.m_exceptions.push_back(put.m_exception);
    configuration.m_exceptions.back().m_operator = change.m_operator;
}

void execute(Configuration &configuration, const Change &change, const RemoveException &remove)
{
    for (Exception &exception : configuration.m_exceptions) {
        if (exception.m_id == remove.m_exception && change.m_at < exception.m_until) {
            exception.m_until = change.m_at;
        }
    }
}

void execute(Configuration &configuration, const Change &change, const TakeZoneOut &take)
{
    if (configuration.isZoneOut(take.m_zone)) {
        return;
    }
    auto &out = configuration.m_zonesOut;
    const auto position = std::lower_bound(out.begin(), out.end(), take.m_zone, [](const ZoneOut &entry, const fleet::ZoneId &zone) {
        return entry.m_zone < zone;
    });
    out.insert(position, {take.m_zone, change.m_operator, take.m_reason, change.m_at});
}

void execute(Configuration &configuration, const Change &, const ReturnZone &returned)
{
    std::erase_if(configuration.m_zonesOut, [&](const ZoneOut &out) {
        return out.m_zone == returned.m_zone;
    });
}

void forgetOldExceptions(Configuration &configuration, fleet::TimePoint at)
{
    std::erase_if(configuration.m_exceptions, [&](const Exception &exception) {
        return exception.m_until + exceptionHistory < at;
    });
}

bool isStale(const Configuration &configuration, const Change &change)
{
    return change.m_baseVersion != configuration.m_version && !std::holds_alternative<TakeZoneOut>(change.m_operation);
}

std::string findRejectionReason(const Configuration &configuration, const Change &change)
{
    if (isStale(configuration, change)) {
        return "based on version " + std::to_string(change.m_baseVersion.m_value) + ", but version " + std::to_string(configuration.m_version.m_value)
            + " is in force; read the configuration again and repeat the change if it still applies";
    }
    return findValidationError(configuration, change);
}

void storeResult(Configuration &configuration, const ChangeResult &result)
{
    if (configuration.m_results.size() >= maxResults) {
        configuration.m_results.erase(configuration.m_results.begin());
    }
    configuration.m_results.push_back(result);
}

}

ChangeResult apply(Configuration &configuration, const Change &change)
{
    if (const ChangeResult *known = configuration.findResult(change.m_id)) {
        return *known;
    }
    ChangeResult result {change.m_id, false, configuration.m_version, findRejectionReason(configuration, change)};
    if (result.m_reason.empty()) {
        std::visit(
            [&](const auto &operation) {
                execute(configuration, change, operation);
            },
            change.m_operation);
        forgetOldExceptions(configuration, change.m_at);
        ++configuration.m_version.m_value;
        result.m_accepted = true;
        result.m_version = configuration.m_version;
    }
    storeResult(configuration, result);
    return result;
}

}
