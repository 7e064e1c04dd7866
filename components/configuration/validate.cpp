#include "components/configuration/validate.hpp"

#include "components/configuration/change.hpp"
#include "components/configuration/configuration.hpp"

#include <algorithm>
#include <cmath>

namespace configuration
{

namespace
{

constexpr std::size_t maxNameLength = 64;
constexpr std::size_t maxReasonLength = 1024;
constexpr std::size_t maxAccounts = 1000;
constexpr std::size_t maxExceptions = 1000;
constexpr std::size_t maxGuarantees = 64;
constexpr std::size_t maxZones = 16;
constexpr int maxTasks = 1024;
constexpr int maxCount = 1000;
constexpr int maxUrgentPerHour = 1'000'000;
constexpr std::int64_t maxAmount = 1'000'000'000'000;
constexpr double maxWeight = 1000.0;

std::string checkName(const std::string &name, const std::string &what)
{
    if (name.empty() || name.size() > maxNameLength) {
        return what + " must have 1 to 64 characters; give another name";
    }
    return {};
}

std::string checkReason(const std::string &reason)
{
    if (reason.find_first_not_of(" \t\r\n") == std::string::npos) {
        return "no reason given; state why the change is made";
    }
    if (reason.size() > maxReasonLength) {
        return "the reason is longer than 1024 characters; shorten it";
    }
    return {};
}

bool isValidAmount(std::int64_t value)
{
    return value >= 0 && value <= maxAmount;
}

bool isValidResources(const fleet::Resources &resources)
{
    return isValidAmount(resources.m_milliCores) && isValidAmount(resources.m_memoryMb) && isValidAmount(resources.m_accelerators);
}

bool isValidShape(const fleet::Shape &shape)
{
    const bool adjacency = shape.m_adjacency == fleet::Adjacency::SameZone || shape.m_adjacency == fleet::Adjacency::SameRack
        || shape.m_adjacency == fleet::Adjacency::SameWorker;
    return adjacency && shape.m_tasks >= 1 && shape.m_tasks <= maxTasks && isValidResources(shape.m_perTask) && shape.m_perTask != fleet::Resources {};
}

std::string checkGuarantees(const std::vector<fleet::GuaranteedShape> &guarantees)
{
    if (guarantees.size() > maxGuarantees) {
        return "more than 64 guaranteed shapes; merge equal ones by their count";
    }
    for (const fleet::GuaranteedShape &guarantee : guarantees) {
        if (!isValidShape(guarantee.m_shape)) {
            return "a guaranteed shape must have 1 to 1024 tasks and a positive size; correct the shape";
        }
        if (guarantee.m_count < 1 || guarantee.m_count > maxCount) {
            return "the count of a guaranteed shape must be 1 to 1000; correct the count";
        }
        if (guarantee.m_zones.empty() || guarantee.m_zones.size() > maxZones) {
            return "a guaranteed shape must name 1 to 16 availability zones in order of preference; name them";
        }
        for (const fleet::ZoneId &zone : guarantee.m_zones) {
            if (std::string error = checkName(zone.value(), "the availability zone"); !error.empty()) {
                return error;
            }
        }
    }
    return {};
}

std::string checkLimits(const fleet::Resources &quota, int urgentPerHour, double weight)
{
    if (!isValidResources(quota)) {
        return "the quota must not be negative or beyond 10^12; correct it";
    }
    if (urgentPerHour < 0 || urgentPerHour > maxUrgentPerHour) {
        return "urgent starts an hour must be 0 to 1000000; correct the number";
    }
    if (!std::isfinite(weight) || weight <= 0.0 || weight > maxWeight) {
        return "the weight must be above 0 and at most 1000; correct it";
    }
    return {};
}

std::string check(const Configuration &configuration, const PutAccount &put)
{
    if (std::string error = checkName(put.m_account.m_id.value(), "the account"); !error.empty()) {
        return error;
    }
    if (configuration.m_accounts.size() >= maxAccounts && !configuration.findAccount(put.m_account.m_id)) {
        return "there are 1000 accounts; remove one first";
    }
    return checkGuarantees(put.m_account.m_guarantees);
}

std::string check(const Configuration &configuration, const RemoveAccount &remove)
{
    if (!configuration.findAccount(remove.m_account)) {
        return "there is no account " + remove.m_account.value() + "; check the list of accounts";
    }
    return {};
}

std::string check(const Configuration &, const SetDefaults &set)
{
    return checkLimits(set.m_defaults.m_quota, set.m_defaults.m_urgentPerHour, set.m_defaults.m_weight);
}

std::string check(const Configuration &configuration, const PutException &put)
{
    const Exception &exception = put.m_exception;
    if (std::string error = checkName(exception.m_id.value(), "the exception"); !error.empty()) {
        return error;
    }
    if (std::string error = checkReason(exception.m_reason); !error.empty()) {
        return error;
    }
    if (exception.m_until <= exception.m_from) {
        return "the exception ends before it begins; give a later end";
    }
    if (exception.m_account.empty() && exception.m_zone.empty()) {
        return "the exception names neither an account nor an availability zone; change the defaults instead";
    }
    if (!exception.m_account.empty() && !configuration.findAccount(exception.m_account)) {
        return "there is no account " + exception.m_account.value() + "; create it first";
    }
    if (exception.m_guarantees && (exception.m_account.empty() || !exception.m_zone.empty())) {
        return "an exception to guarantees must name an account and no availability zone; name the zones in the shapes";
    }
    if (!exception.m_guarantees && !exception.m_quota && !exception.m_urgentPerHour && !exception.m_weight) {
        return "the exception changes nothing; give guarantees, a quota, urgent starts or a weight";
    }
    if (configuration.m_exceptions.size() >= maxExceptions) {
        return "there are 1000 exceptions; remove one first";
    }
    const Defaults defaults;
    std::string error = checkLimits(exception.m_quota.value_or(defaults.m_quota),
                                    exception.m_urgentPerHour.value_or(defaults.m_urgentPerHour),
                                    exception.m_weight.value_or(defaults.m_weight));
    if (!error.empty()) {
        return error;
    }
    return exception.m_guarantees ? checkGuarantees(*exception.m_guarantees) : std::string();
}

std::string check(const Configuration &configuration, const RemoveException &remove)
{
    const bool exists = std::any_of(configuration.m_exceptions.begin(), configuration.m_exceptions.end(), [&](const Exception &exception) {
        return exception.m_id == remove.m_exception;
    });
    return exists ? std::string() : "there is no exception " + remove.m_exception.value() + "; check the list of exceptions";
}

std::string check(const Configuration &, const TakeZoneOut &take)
{
    if (std::string error = checkName(take.m_zone.value(), "the availability zone"); !error.empty()) {
        return error;
    }
    return checkReason(take.m_reason);
}

std::string check(const Configuration &configuration, const ReturnZone &returned)
{
    return configuration.isZoneOut(returned.m_zone) ? std::string() : "availability zone " + returned.m_zone.value() + " is not taken out; no change is needed";
}

}

std::string findValidationError(const Configuration &configuration, const Change &change)
{
    if (std::string error = checkName(change.m_id.value(), "the change id"); !error.empty()) {
        return error;
    }
    if (std::string error = checkName(change.m_operator.value(), "the operator"); !error.empty()) {
        return error;
    }
    return std::visit(
        [&](const auto &operation) {
            return check(configuration, operation);
        },
        change.m_operation);
}

}
