#include "components/configuration/resolve.hpp"

#include "components/configuration/configuration.hpp"

#include <algorithm>

namespace configuration
{

namespace
{

bool appliesTo(const Exception &exception, const fleet::AccountId &account, const fleet::ZoneId &zone)
{
    const bool accountMatches = exception.m_account.empty() || exception.m_account == account;
    const bool zoneMatches = exception.m_zone.empty() || exception.m_zone == zone;
    return accountMatches && zoneMatches;
}

/// An account's entitlement before its guarantees are assigned to zones.
struct Entitlement
{
    const std::vector<fleet::GuaranteedShape> *m_guarantees = nullptr;
    fleet::Resources m_quota;
    int m_urgentPerHour = 0;
    double m_weight = 1.0;
};

void applyException(Entitlement &entitlement, const Exception &exception)
{
    if (exception.m_guarantees) {
        entitlement.m_guarantees = &*exception.m_guarantees;
    }
    entitlement.m_quota = exception.m_quota.value_or(entitlement.m_quota);
    entitlement.m_urgentPerHour = exception.m_urgentPerHour.value_or(entitlement.m_urgentPerHour);
    entitlement.m_weight = exception.m_weight.value_or(entitlement.m_weight);
}

/// Applies the exceptions that name the account, or those that name no account. Exceptions that were put later are
/// applied later and so take precedence.
void applyExceptions(Entitlement &entitlement,
                     const Configuration &configuration,
                     const fleet::AccountId &account,
                     const fleet::ZoneId &zone,
                     fleet::TimePoint now,
                     bool namesAccount)
{
    for (const Exception &exception : configuration.m_exceptions) {
        if (exception.m_account.empty() != namesAccount && exception.isInForce(now) && appliesTo(exception, account, zone)) {
            applyException(entitlement, exception);
        }
    }
}

bool isPinnedTo(const Configuration &configuration, const fleet::GuaranteedShape &guarantee, const fleet::ZoneId &zone)
{
    const auto first = std::find_if(guarantee.m_zones.begin(), guarantee.m_zones.end(), [&](const fleet::ZoneId &candidate) {
        return !configuration.isZoneOut(candidate);
    });
    return first != guarantee.m_zones.end() && *first == zone;
}

std::vector<fleet::Shape> pinnedShapes(const Configuration &configuration, const std::vector<fleet::GuaranteedShape> &guarantees, const fleet::ZoneId &zone)
{
    std::vector<fleet::Shape> shapes;
    for (const fleet::GuaranteedShape &guarantee : guarantees) {
        if (isPinnedTo(configuration, guarantee, zone)) {
            shapes.insert(shapes.end(), static_cast<std::size_t>(guarantee.m_count), guarantee.m_shape);
        }
    }
    return shapes;
}

}

std::vector<scheduler::ZoneAccount> resolve(const Configuration &configuration, const fleet::ZoneId &zone, fleet::TimePoint now)
{
    const Defaults &defaults = configuration.m_defaults;
    std::vector<scheduler::ZoneAccount> accounts;
    for (const Account &account : configuration.m_accounts) {
        Entitlement entitlement {&account.m_guarantees, defaults.m_quota, defaults.m_urgentPerHour, defaults.m_weight};
        applyExceptions(entitlement, configuration, account.m_id, zone, now, false);
        applyExceptions(entitlement, configuration, account.m_id, zone, now, true);
        accounts.push_back({account.m_id,
                            pinnedShapes(configuration, *entitlement.m_guarantees, zone),
                            entitlement.m_quota,
                            entitlement.m_urgentPerHour,
                            entitlement.m_weight});
    }
    return accounts;
}

std::vector<Exception> exceptionsInForce(const Configuration &configuration, fleet::TimePoint now)
{
    std::vector<Exception> inForce;
    for (const Exception &exception : configuration.m_exceptions) {
        if (exception.isInForce(now)) {
            inForce.push_back(exception);
        }
    }
    return inForce;
}

}
