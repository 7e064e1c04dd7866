#ifndef COMPONENTS_NODE_HOLDER_MONITOR_HPP
#define COMPONENTS_NODE_HOLDER_MONITOR_HPP

#include "components/fleet/boot_time.hpp"
#include "components/fleet/fencing_token.hpp"
#include "components/fleet/now.hpp"
#include "components/fleet/time.hpp"

#include <deque>
#include <optional>

namespace node
{

struct JournalView;
struct PeerMessage;
struct Settings;

/// A holder that the store leaves without answers for this long says so, and is replaced by an instance that the store answers.
constexpr fleet::Duration storeSilenceLimit {400};

/// What an instance knows of the holder of the scheduling duty beside the journal. It decides who tries to take the duty and
/// when; whether that succeeds is up to the store.
struct HolderMonitor
{
    /// Since when the holder is watched.
    fleet::BootTime m_startedAt;
    /// When the holder was last heard, and that the store left it without answers then.
    fleet::BootTime m_lastMessageAt;
    bool m_isStoreUnreachable = false;
    fleet::BootTime m_storeUnreachableSince;
    /// The holder said that it resigns.
    bool m_isResigning = false;
    /// Since when nobody holds the duty, as far as the journal was read.
    std::optional<fleet::BootTime> m_dutyFreeSince;
    fleet::FencingToken m_lastToken;
    /// When the duty changed hands of late.
    std::deque<fleet::BootTime> m_recentHolderChanges;
};

/// The holder sent a message.
void onHolderMessage(HolderMonitor &monitor, const PeerMessage &message, fleet::Now now);

/// The journal showed another holder, or that the holder resigned.
void onHolderChanged(HolderMonitor &monitor, fleet::FencingToken token, fleet::Now now);

/// Notes whether the journal says that the duty is free and this instance may claim it.
void updateDutyFree(HolderMonitor &monitor, const JournalView &journal, bool hasCatalog, fleet::Now now);

/// True where this instance should try to take the duty.
bool shouldClaim(const HolderMonitor &monitor, const Settings &settings, const JournalView &journal, fleet::Now now);

/// True where the journal should be read now to learn about the holder.
bool shouldReadJournal(const HolderMonitor &monitor, const Settings &settings, const JournalView &journal, fleet::Now now);

}

#endif
