#ifndef COMPONENTS_JOURNAL_SENT_BATCH_HPP
#define COMPONENTS_JOURNAL_SENT_BATCH_HPP

#include "components/fleet/boot_time.hpp"
#include "components/journal/queued_record.hpp"

#include <cstdint>
#include <vector>

namespace journal
{

/// The records of one append and the state of its calls. Every retry sends the same records and sequence number.
struct SentBatch
{
    std::vector<QueuedRecord> m_records;
    std::uint64_t m_sequence = 0;
    fleet::BootTime m_firstSentAt;
    fleet::BootTime m_lastSentAt;
    int m_callsOpen = 0;
    int m_callsMade = 0;
    /// True after a call ended without an answer: the batch may already be stored, or may be stored later.
    bool m_isUncertain = false;
    fleet::BootTime m_resendAt;
};

}

#endif
