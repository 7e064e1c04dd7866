#include "components/node/holder_monitor.hpp"

#include "components/node/journal_view.hpp"
#include "components/node/peer_message.hpp"
#include "components/node/settings.hpp"

#include <algorithm>
#include <functional>
#include <string>

namespace node
{

namespace
{

/// An instance that has not heard the holder for this long looks for it in the journal.
constexpr fleet::Duration heartbeatTimeout {330};
/// A holder of which the journal shows nothing for this long, and that is not heard, is replaced.
constexpr fleet::Duration journalTimeout {450};
/// A holder without the store is replaced at once by an instance that the store answers within the first time; after the
/// second by any.
constexpr fleet::Duration fastStoreAnswer {150};
constexpr fleet::Duration longStoreSilenceLimit {1500};
/// Instances claim at different times, so that one claim usually suffices.
constexpr fleet::Duration maxClaimJitter {100};
/// An instance with less than this part of the processor time of the largest one leaves the duty to others for a while.
constexpr std::uint32_t preferredProcessorDivisor = 2;
constexpr fleet::Duration slowInstanceClaimDelay {500};
/// A new holder reads the list and every worker at once and answers late meanwhile. Each change of hands within this time
/// but the first doubles how long the others wait before they replace it, up to the limit.
constexpr fleet::Duration recentChangeWindow {10'000};
constexpr int maxTimeoutDoublings = 2;
/// While the holder is looked for, the journal is read this often.
constexpr fleet::Duration suspectReadInterval {100};
/// While a holder that resigns is about to say so in the journal.
constexpr fleet::Duration resigningReadInterval {25};

fleet::Duration claimJitter(const fleet::InstanceId &instance)
{
    return fleet::Duration(static_cast<std::int64_t>(std::hash<std::string>()(instance.value()) % static_cast<std::size_t>(maxClaimJitter.count())));
}

/// True where no instance that the journal knows has far more processor time.
bool hasEnoughProcessorTime(const Settings &settings, const JournalView &journal)
{
    std::uint32_t highest = 0;
    for (const auto &[id, instance] : journal.m_ledger.m_instances) {
        highest = std::max(highest, instance.m_processorPermille);
    }
    return settings.m_processorPermille * preferredProcessorDivisor >= highest;
}

fleet::Duration claimDelay(const Settings &settings, const JournalView &journal)
{
    return claimJitter(settings.m_instance) + (hasEnoughProcessorTime(settings, journal) ? fleet::Duration(0) : slowInstanceClaimDelay);
}

fleet::Duration takeoverTimeout(const HolderMonitor &monitor, fleet::Duration limit, fleet::Now now)
{
    const auto changes = std::count_if(monitor.m_recentHolderChanges.begin(), monitor.m_recentHolderChanges.end(), [&](fleet::BootTime at) {
        return now.m_boot - at < recentChangeWindow;
    });
    return limit * (1 << std::clamp(static_cast<int>(changes) - 1, 0, maxTimeoutDoublings));
}

/// True where the journal says that nobody holds the duty, or that the holder's process has ended.
bool isDutyFree(const JournalView &journal)
{
    const journal::HolderRecord &holder = journal.m_ledger.m_holder;
    const auto instance = journal.m_ledger.m_instances.find(holder.m_instance);
    const bool hasRestarted = instance != journal.m_ledger.m_instances.end() && instance->second.m_incarnation != holder.m_incarnation;
    return holder.m_token.m_value == 0 || holder.m_hasResigned || hasRestarted;
}

bool isSuspect(const HolderMonitor &monitor, fleet::Now now)
{
    const bool isUnresponsive = now.m_boot - std::max(monitor.m_lastMessageAt, monitor.m_startedAt) > heartbeatTimeout;
    return isUnresponsive || monitor.m_isStoreUnreachable;
}

}

void onHolderMessage(HolderMonitor &monitor, const PeerMessage &message, fleet::Now now)
{
    const fleet::Duration silence(message.m_storeSilenceMs);
    monitor.m_isStoreUnreachable = silence > storeSilenceLimit;
    monitor.m_storeUnreachableSince = now.m_boot - silence;
    monitor.m_isResigning = message.m_isResigning;
    monitor.m_lastMessageAt = now.m_boot;
}

void onHolderChanged(HolderMonitor &monitor, fleet::FencingToken token, fleet::Now now)
{
    if (token != monitor.m_lastToken) {
        monitor.m_lastToken = token;
        monitor.m_recentHolderChanges.push_back(now.m_boot);
        while (now.m_boot - monitor.m_recentHolderChanges.front() >= recentChangeWindow) {
            monitor.m_recentHolderChanges.pop_front();
        }
    }
    // What was heard was said by or about another holder.
    monitor.m_lastMessageAt = now.m_boot;
    monitor.m_isStoreUnreachable = false;
    monitor.m_isResigning = false;
}

void updateDutyFree(HolderMonitor &monitor, const JournalView &journal, bool hasCatalog, fleet::Now now)
{
    // Without a catalog nobody may claim; all would claim at once when the first one comes.
    if (!isDutyFree(journal) || !hasCatalog) {
        monitor.m_dutyFreeSince.reset();
    } else if (!monitor.m_dutyFreeSince) {
        monitor.m_dutyFreeSince = now.m_boot;
    }
}

bool shouldClaim(const HolderMonitor &monitor, const Settings &settings, const JournalView &journal, fleet::Now now)
{
    if (!journal.m_asOf) {
        return false;
    }
    const fleet::Duration ownDelay = claimDelay(settings, journal);
    if (monitor.m_dutyFreeSince) {
        // Read since, so that the claim of an instance whose turn came first has been seen.
        return *journal.m_asOf >= *monitor.m_dutyFreeSince + ownDelay;
    }
    if (!isSuspect(monitor, now)) {
        return false;
    }
    if (monitor.m_isStoreUnreachable) {
        const fleet::Duration silence = *journal.m_asOf - monitor.m_storeUnreachableSince;
        // Where the store was away from everybody, the holder is back as soon as this instance is, and says so with its next beats.
        const bool isOwnStoreStable = now.m_boot - journal.m_answeringSince > storeSilenceLimit;
        const bool isOwnStoreFast = journal.m_lastReadDuration < fastStoreAnswer;
        return isOwnStoreStable && silence > takeoverTimeout(monitor, isOwnStoreFast ? storeSilenceLimit : longStoreSilenceLimit, now) + ownDelay;
    }
    // The journal must have been read since, to tell silence from not having looked.
    const fleet::BootTime lastSeenAt = std::max({journal.m_lastHolderRecordAt, monitor.m_lastMessageAt, monitor.m_startedAt});
    return *journal.m_asOf - lastSeenAt > takeoverTimeout(monitor, journalTimeout, now) + ownDelay;
}

bool shouldReadJournal(const HolderMonitor &monitor, const Settings &settings, const JournalView &journal, fleet::Now now)
{
    const fleet::Duration since = now.m_boot - journal.m_lastReadSentAt;
    if (monitor.m_dutyFreeSince) {
        const fleet::BootTime claimAt = *monitor.m_dutyFreeSince + claimDelay(settings, journal);
        if (now.m_boot >= claimAt && journal.m_lastReadSentAt < claimAt) {
            return true;
        }
    }
    return (isSuspect(monitor, now) && since >= suspectReadInterval) || (monitor.m_isResigning && since >= resigningReadInterval);
}

}
