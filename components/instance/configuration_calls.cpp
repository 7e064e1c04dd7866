#include "components/instance/configuration_calls.hpp"

#include "components/configuration/record.hpp"
#include "components/configuration/validate.hpp"
#include "components/instance/core.hpp"
#include "components/instance/zone_view.hpp"

namespace instance
{

namespace
{

/// How long an operator waits for a change to be read back from the log and applied.
constexpr fleet::Duration changeTimeout {5000};

bool takesZoneOut(const configuration::Change &change)
{
    return std::holds_alternative<configuration::TakeZoneOut>(change.m_operation);
}

api::Reply toReply(const configuration::ChangeResult &result, const configuration::Change &change)
{
    if (result.m_accepted) {
        return api::ChangeAccepted {result};
    }
    const bool stale = change.m_baseVersion != result.m_version && !takesZoneOut(change);
    return api::Refusal {stale ? api::ErrorKind::StaleVersion : api::ErrorKind::Invalid, result.m_reason};
}

/// Taking a zone out is the only change that is possible while the log is unreachable; every other one is refused.
void refuseWithoutLog(Core &core, requests::WaiterId waiter, const configuration::Change &change, fleet::TimePoint now)
{
    if (takesZoneOut(change)) {
        takeOutProvisionally(core, waiter, change, now);
        return;
    }
    core.m_ports.m_reply(waiter, api::Refusal {api::ErrorKind::LogUnavailable, "the log cannot be reached; make the change again later"});
}

/// Answers a change that was not appended and applied in time.
void answerTimedOutChange(Core &core, const PendingChange &pending, fleet::TimePoint now)
{
    if (takesZoneOut(pending.m_change)) {
        core.m_sentTakeOuts.insert(pending.m_change.m_id);
        takeOutProvisionally(core, pending.m_waiter, pending.m_change, now);
        return;
    }
    if (core.m_configurationWriter.withdraw(pending.m_ticket)) {
        core.m_ports.m_reply(pending.m_waiter, api::Refusal {api::ErrorKind::LogUnavailable, "the log does not take the change; send it again later"});
        return;
    }
    core.m_ports.m_reply(
        pending.m_waiter,
        api::Refusal {api::ErrorKind::OutcomeUnknown,
                      "the log gave no answer; look at the configuration, or send the change again with changeId " + pending.m_change.m_id.value()});
}

}

void showConfiguration(Core &core, requests::WaiterId waiter, fleet::TimePoint now)
{
    // A restarted instance could show an older version than its predecessor did.
    if (!core.m_configurationReader.m_readToEndAt) {
        core.m_ports.m_reply(waiter,
                             api::Refusal {api::ErrorKind::LogUnavailable, "this instance has not read the configuration yet; ask another or again later"});
        return;
    }
    core.m_ports.m_reply(waiter, api::ConfigurationView {core.m_configuration.m_configuration, now});
}

void changeConfiguration(Core &core, requests::WaiterId waiter, const api::ChangeConfiguration &call, fleet::TimePoint now)
{
    configuration::Change change = call.m_change;
    change.m_at = now;
    if (change.m_id.empty()) {
        change.m_id = configuration::ChangeId(core.m_ports.m_makeId());
    }
    const configuration::Configuration &present = core.m_configuration.m_configuration;
    if (const configuration::ChangeResult *known = present.findResult(change.m_id)) {
        core.m_ports.m_reply(waiter, toReply(*known, change));
        return;
    }
    if (const std::string fault = configuration::findValidationError(present, change); !fault.empty()) {
        core.m_ports.m_reply(waiter, api::Refusal {api::ErrorKind::Invalid, fault});
        return;
    }
    if (core.m_changes.contains(change.m_id)) {
        core.m_ports.m_reply(waiter, api::Refusal {api::ErrorKind::Conflict, "the change is under way already; look at the configuration"});
        return;
    }
    if (!isLogReachable(core)) {
        refuseWithoutLog(core, waiter, change, now);
        return;
    }
    const AppendTicket ticket = core.m_configurationWriter.add(configuration::encodeRecord(change), now);
    core.m_changes[change.m_id] = {waiter, ticket, now + changeTimeout, change};
}

void onChangeResult(Core &core, const configuration::ChangeResult &result)
{
    const auto pending = core.m_changes.find(result.m_id);
    if (pending == core.m_changes.end()) {
        return;
    }
    core.m_ports.m_reply(pending->second.m_waiter, toReply(result, pending->second.m_change));
    core.m_changes.erase(pending);
}

void expireChanges(Core &core, fleet::TimePoint now)
{
    std::erase_if(core.m_changes, [&](const auto &entry) {
        const PendingChange &pending = entry.second;
        if (now < pending.m_deadline) {
            return false;
        }
        answerTimedOutChange(core, pending, now);
        return true;
    });
}

}
