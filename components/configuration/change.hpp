#ifndef COMPONENTS_CONFIGURATION_CHANGE_HPP
#define COMPONENTS_CONFIGURATION_CHANGE_HPP

#include "components/configuration/account.hpp"
#include "components/configuration/defaults.hpp"
#include "components/configuration/exception.hpp"
#include "components/configuration/identifiers.hpp"
#include "components/configuration/version.hpp"
#include "components/fleet/identifiers.hpp"
#include "components/fleet/time.hpp"

#include <string>
#include <variant>

namespace configuration
{

/// Creates the account or replaces its guarantees.
struct PutAccount
{
    Account m_account;

    bool operator==(const PutAccount &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_account);
    }
};

struct RemoveAccount
{
    fleet::AccountId m_account;

    bool operator==(const RemoveAccount &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_account);
    }
};

struct SetDefaults
{
    Defaults m_defaults;

    bool operator==(const SetDefaults &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_defaults);
    }
};

struct PutException
{
    Exception m_exception;

    bool operator==(const PutException &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_exception);
    }
};

struct RemoveException
{
    ExceptionId m_exception;

    bool operator==(const RemoveException &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_exception);
    }
};

/// Never rejected as stale, because it is safe to stop using a zone early.
struct TakeZoneOut
{
    fleet::ZoneId m_zone;
    std::string m_reason;

    bool operator==(const TakeZoneOut &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_zone, m_reason);
    }
};

struct ReturnZone
{
    fleet::ZoneId m_zone;

    bool operator==(const ReturnZone &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_zone);
    }
};

using Operation = std::variant<PutAccount, RemoveAccount, SetDefaults, PutException, RemoveException, TakeZoneOut, ReturnZone>;

/// One change that an operator appended to the configuration stream.
struct Change
{
    ChangeId m_id;
    /// The version of the configuration that the operator based the change on.
    Version m_baseVersion;
    fleet::OperatorId m_operator;
    fleet::TimePoint m_at;
    Operation m_operation;

    bool operator==(const Change &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_id, m_baseVersion, m_operator);
        fleet::serializeTime(archive, m_at);
        archive(m_operation);
    }
};

}

#endif
