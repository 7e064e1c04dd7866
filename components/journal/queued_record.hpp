#ifndef COMPONENTS_JOURNAL_QUEUED_RECORD_HPP
#define COMPONENTS_JOURNAL_QUEUED_RECORD_HPP

#include <cstdint>
#include <string>

namespace journal
{

/// A record that waits to be appended. The caller that waits for the result identifies the record by its ticket.
struct QueuedRecord
{
    /// Keyed topics only.
    std::string m_key;
    std::string m_bytes;
    std::uint64_t m_ticket = 0;
};

}

#endif
