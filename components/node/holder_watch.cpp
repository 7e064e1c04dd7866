#include "components/node/holder_watch.hpp"

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
constexpr fleet::Duration beatSilence {330};
/// A holder of which the journal shows nothing for this long, and that is not heard, is replaced.
constexpr fleet::Duration journalSilence {450};
/// A holder without the store is replaced at once by an instance that the store answers within the first time; after the
/// second by any.
constexpr fleet::Duration quickAnswer {150};
constexpr fleet::Duration longStoreSilence {1500};
/// Instances claim at different times, so that one claim usually suffices.
constexpr fleet::Duration claimSpread {100};
/// An instance with less than this part of the processor time of the largest one leaves the duty to others for a while.
constexpr std::uint32_t preferredPart = 2;
constexpr fleet::Duration claimDeference {500};
/// A new holder reads the list and every worker at once and answers late meanwhile. Each change of hands within this time
/// but the first doubles how long the others wait before they replace it, up to the limit.
constexpr fleet::Duration recentChange {10'000};
constexpr int mostPatienceDoublings = 2;
/// While the holder is looked for, the journal is read this often.
constexpr fleet::Duration suspectReadInterval {100};
/// While a holder that resigns is about to say so in the journal.
constexpr fleet::Duration leavingReadInterval {25};

fleet::Duration spread(const fleet::InstanceId &instance)
{
    return fleet::Duration(static_cast<std::int64_t>(std::hash<std::string>()(instance.value()) % static_cast<std::size_t>(claimSpread.count())));
}

/// True where no instance that the journal knows has far more processor time.
bool isPreferred(const Settings &settings, const JournalView &journal)
{
    std::uint32_t most = 0;
    for (const auto &[id, instance] : journal.m_ledger.m_instances) {
        most = std::max(most, instance.m_milliCores);
    }
    return settings.m_processorPermille * preferredPart >= most;
}

fleet::Duration claimDelay(const Settings &settings, const JournalView &journal)
{
    return spread(settings.m_instance) + (isPreferred(settings, journal) ? fleet::Duration(0) : claimDeference);
}

fleet::Duration patience(const HolderWatch &watch, fleet::Duration limit, fleet::Now now)
{
    const auto changes = std::count_if(watch.m_changes.begin(), watch.m_changes.end(), [&](fleet::BootTime at) {
        return now.m_boot - at < recentChange;
    });
    return limit * (1 << std::clamp(static_cast<int>(changes) - 1, 0, mostPatienceDoublings));
}

/// True where the journal says that nobody holds the duty, or that the holder's process has ended.
bool isDutyFree(const JournalView &journal)
{
    const journal::HolderRecord &holder = journal.m_ledger.m_holder;
    const auto instance = journal.m_ledger.m_instances.find(holder.m_instance);
    const bool isReborn = instance != journal.m_ledger.m_instances.end() && instance->second.m_incarnation != holder.m_incarnation;
    return holder.m_token.m_value == 0 || holder.m_hasResigned || isReborn;
}

bool isSuspect(const HolderWatch &watch, fleet::Now now)
{
    const bool isUnheard = now.m_boot - std::max(watch.m_heardAt, watch.m_since) > beatSilence;
    return isUnheard || watch.m_isWithoutStore;
}

}

void noteMessage(HolderWatch &watch, const PeerMessage &message, fleet::Now now)
{
    const fleet::Duration silence(message.m_storeSilenceMs);
    watch.m_isWithoutStore = silence > storeSilenceLimit;
    watch.m_withoutStoreSince = now.m_boot - silence;
    watch.m_isLeaving = message.m_isResigning;
    watch.m_heardAt = now.m_boot;
}

void noteHolder(HolderWatch &watch, fleet::FencingToken token, fleet::Now now)
{
    if (token != watch.m_lastToken) {
        watch.m_lastToken = token;
        watch.m_changes.push_back(now.m_boot);
        while (now.m_boot - watch.m_changes.front() >= recentChange) {
            watch.m_changes.pop_front();
        }
    }
    // What was heard was said by or about another holder.
    watch.m_heardAt = now.m_boot;
    watch.m_isWithoutStore = false;
    watch.m_isLeaving = false;
}

void noteFreedom(HolderWatch &watch, const JournalView &journal, bool hasCatalog, fleet::Now now)
{
    // Without a catalog nobody may claim; all would claim at once when the first one comes.
    if (!isDutyFree(journal) || !hasCatalog) {
        watch.m_freeSince.reset();
    } else if (!watch.m_freeSince) {
        watch.m_freeSince = now.m_boot;
    }
}

bool isTurnToClaim(const HolderWatch &watch, const Settings &settings, const JournalView &journal, fleet::Now now)
{
    if (!journal.m_asOf) {
        return false;
    }
    const fleet::Duration own = claimDelay(settings, journal);
    if (watch.m_freeSince) {
        // Read since, so that the claim of an instance whose turn came first has been seen.
        return *journal.m_asOf >= *watch.m_freeSince + own;
    }
    if (!isSuspect(watch, now)) {
        return false;
    }
    if (watch.m_isWithoutStore) {
        const fleet::Duration silence = *journal.m_asOf - watch.m_withoutStoreSince;
        // Where the store was away from everybody, the holder is back as soon as this instance is, and says so with its next beats.
        const bool isMineSteady = now.m_boot - journal.m_answersSince > storeSilenceLimit;
        const bool isMineQuick = journal.m_readTook < quickAnswer;
        return isMineSteady && silence > patience(watch, isMineQuick ? storeSilenceLimit : longStoreSilence, now) + own;
    }
    // The journal must have been read since, to tell silence from not having looked.
    const fleet::BootTime seen = std::max({journal.m_holderSeenAt, watch.m_heardAt, watch.m_since});
    return *journal.m_asOf - seen > patience(watch, journalSilence, now) + own;
}

bool wantsLookAtJournal(const HolderWatch &watch, const Settings &settings, const JournalView &journal, fleet::Now now)
{
    const fleet::Duration since = now.m_boot - journal.m_lastReadSentAt;
    if (watch.m_freeSince) {
        const fleet::BootTime turn = *watch.m_freeSince + claimDelay(settings, journal);
        if (now.m_boot >= turn && journal.m_lastReadSentAt < turn) {
            return true;
        }
    }
    return (isSuspect(watch, now) && since >= suspectReadInterval) || (watch.m_isLeaving && since >= leavingReadInterval);
}

}
