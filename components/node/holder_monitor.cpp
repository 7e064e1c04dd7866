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

/// An instance that has received no message from the holder for this long looks for its records in the journal.
constexpr fleet::Duration heartbeatTimeout {330};
/// A holder that sends no messages is replaced after the journal has shown no new record of it for this long.
constexpr fleet::Duration journalTimeout {450};
/// A holder that can't reach the store is replaced after storeSilenceLimit by an instance whose reads the store answers within
/// fastStoreAnswer, and after longStoreSilenceLimit by any other.
constexpr fleet::Duration fastStoreAnswer {150};
constexpr fleet::Duration longStoreSilenceLimit {1500};
/// Instances claim at different times within this span, so that usually only one of them claims.
constexpr fleet::Duration maxClaimJitter {100};
/// An instance whose processor time, multiplied by preferredProcessorDivisor, is less than the highest of all instances delays
/// its claim, so that another one can claim first.
constexpr std::uint32_t preferredProcessorDivisor = 2;
constexpr fleet::Duration slowInstanceClaimDelay {500};
/// A new holder reads the worker list and polls every worker at once, and sends late messages meanwhile. Each change of the
/// holder within recentChangeWindow except the first doubles the timeouts for replacing it, up to maxTimeoutDoublings times.
constexpr fleet::Duration recentChangeWindow {10'000};
constexpr int maxTimeoutDoublings = 2;
/// The journal is read this often while the holder is suspected to have failed.
constexpr fleet::Duration suspectReadInterval {100};
/// The same while the record of the holder's resignation is expected.
constexpr fleet::Duration resigningReadInterval {25};

fleet::Duration claimJitter(const fleet::InstanceId &instance)
{
    return fleet::Duration(static_cast<std::int64_t>(std::hash<std::string>()(instance.value()) % static_cast<std::size_t>(maxClaimJitter.count())));
}

fleet::Duration claimDelay(const Settings &settings, const JournalView &journal)
{
    return claimJitter(settings.m_instance) + (hasEnoughProcessorTime(settings.m_milliCores, journal) ? fleet::Duration(0) : slowInstanceClaimDelay);
}

/// Returns `limit`, doubled for recent changes of the holder.
fleet::Duration takeoverTimeout(const HolderMonitor &monitor, fleet::Duration limit, fleet::Now now)
{
    const auto changes = std::count_if(monitor.m_recentHolderChanges.begin(), monitor.m_recentHolderChanges.end(), [&](fleet::BootTime at) {
        return now.m_boot - at < recentChangeWindow;
    });
    return limit * (1 << std::clamp(static_cast<int>(changes) - 1, 0, maxTimeoutDoublings));
}

/// True if the journal shows no holder, or that the holder resigned or its process was restarted.
bool isDutyFree(const JournalView &journal)
{
    const journal::HolderRecord &holder = journal.m_journalState.m_holder;
    const auto instance = journal.m_journalState.m_instances.find(holder.m_instance);
    const bool hasRestarted = instance != journal.m_journalState.m_instances.end() && instance->second.m_incarnation != holder.m_incarnation;
    return holder.m_token.m_value == 0 || holder.m_hasResigned || hasRestarted;
}

bool isSuspect(const HolderMonitor &monitor, fleet::Now now)
{
    const bool isUnresponsive = now.m_boot - std::max(monitor.m_lastMessageAt, monitor.m_startedAt) > heartbeatTimeout;
    return isUnresponsive || monitor.m_isStoreUnreachable;
}

}

bool hasEnoughProcessorTime(std::uint32_t milliCores, const JournalView &journal)
{
    std::uint32_t highest = 0;
    for (const auto &[id, instance] : journal.m_journalState.m_instances) {
        highest = std::max(highest, instance.m_milliCores);
    }
    return milliCores * preferredProcessorDivisor >= highest;
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
    // Earlier messages were from or about another holder.
    monitor.m_lastMessageAt = now.m_boot;
    monitor.m_isStoreUnreachable = false;
    monitor.m_isResigning = false;
}

bool isHolderServed(const HolderMonitor &monitor, fleet::Now now)
{
    return !isSuspect(monitor, now);
}

void updateDutyFree(HolderMonitor &monitor, const JournalView &journal, bool isConfigCurrent, fleet::Now now)
{
    // No instance may claim by an old configuration. If the duty counted as free meanwhile, all instances would claim at once when they
    // have read the newest one.
    if (!isDutyFree(journal) || !isConfigCurrent) {
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
        // The journal must have been read after the delay, so that a claim of an instance with a shorter delay has been seen.
        return *journal.m_asOf >= *monitor.m_dutyFreeSince + ownDelay;
    }
    if (!isSuspect(monitor, now)) {
        return false;
    }
    if (monitor.m_isStoreUnreachable) {
        const fleet::Duration silence = *journal.m_asOf - monitor.m_storeUnreachableSince;
        // If no instance could reach the store, the holder reaches it again as soon as this one does, and says so in its next
        // heartbeats.
        const bool isOwnStoreStable = now.m_boot - journal.m_answeringSince > storeSilenceLimit;
        const bool isOwnStoreFast = journal.m_lastReadDuration < fastStoreAnswer;
        return isOwnStoreStable && silence > takeoverTimeout(monitor, isOwnStoreFast ? storeSilenceLimit : longStoreSilenceLimit, now) + ownDelay;
    }
    // Measured up to the last read of the journal: without a read, missing records don't show that the holder failed.
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
