#ifndef COMPONENTS_NODE_HOLDER_MONITOR_HPP
#define COMPONENTS_NODE_HOLDER_MONITOR_HPP

#include "components/fleet/boot_time.hpp"
#include "components/fleet/fencing_token.hpp"
#include "components/fleet/now.hpp"
#include "components/fleet/time.hpp"

#include <cstdint>
#include <deque>
#include <optional>

namespace node
{

struct JournalView;
struct PeerMessage;
struct Settings;

/// A holder whose calls the store has not answered for this long reports it to the others, and is replaced by an instance that
/// the store answers.
constexpr fleet::Duration storeSilenceLimit {400};

/// Failure detector for the holder of the scheduling duty, fed by its messages. It determines whether and when this instance
/// claims the duty; the store decides whether the claim succeeds.
struct HolderMonitor
{
    /// When this instance began to monitor the holder.
    fleet::BootTime m_startedAt;
    /// When the holder last sent a message, or changed.
    fleet::BootTime m_lastMessageAt;
    /// The last message said that the holder can't reach the store.
    bool m_isStoreUnreachable = false;
    fleet::BootTime m_storeUnreachableSince;
    /// The last message said that the holder resigns.
    bool m_isResigning = false;
    /// Since when no instance holds the duty, as far as the journal was read; empty while there is a holder or no catalog.
    std::optional<fleet::BootTime> m_dutyFreeSince;
    fleet::FencingToken m_lastToken;
    /// Times of the recent changes of the holder.
    std::deque<fleet::BootTime> m_recentHolderChanges;
};

/// True if no instance in the journal has far more processor time than the one with `milliCores`.
bool hasEnoughProcessorTime(std::uint32_t milliCores, const JournalView &journal);

/// Records a message from the holder.
void onHolderMessage(HolderMonitor &monitor, const PeerMessage &message, fleet::Now now);

/// Records that the journal showed another holder, or that the holder resigned.
void onHolderChanged(HolderMonitor &monitor, fleet::FencingToken token, fleet::Now now);

/// True if the holder was heard recently and reports that the store answers it.
bool isHolderServed(const HolderMonitor &monitor, fleet::Now now);

/// Updates m_dutyFreeSince from the journal.
void updateDutyFree(HolderMonitor &monitor, const JournalView &journal, bool isConfigCurrent, fleet::Now now);

/// True if this instance should claim the duty now.
bool shouldClaim(const HolderMonitor &monitor, const Settings &settings, const JournalView &journal, fleet::Now now);

/// True if the journal should be read now to learn about the holder.
bool shouldReadJournal(const HolderMonitor &monitor, const Settings &settings, const JournalView &journal, fleet::Now now);

}

#endif
