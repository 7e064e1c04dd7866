#include "components/store/read_progress.hpp"

namespace store
{

namespace
{

/// Several reads may be open, and their answers may arrive in another order.
bool advance(ReadProgress &progress, fleet::BootTime asOf)
{
    if (progress.m_asOf && *progress.m_asOf >= asOf) {
        return false;
    }
    progress.m_asOf = asOf;
    return true;
}

}

bool recordAnswer(ReadProgress &progress, fleet::BootTime sentAt, std::uint64_t end, std::uint64_t next)
{
    if (next >= end) {
        progress.m_partial.reset();
        return advance(progress, sentAt);
    }
    if (!progress.m_partial) {
        progress.m_partial = PartialRead {sentAt, end};
        return false;
    }
    if (next < progress.m_partial->m_end) {
        return false;
    }
    const fleet::BootTime asOf = progress.m_partial->m_sentAt;
    progress.m_partial = PartialRead {sentAt, end};
    return advance(progress, asOf);
}

}
