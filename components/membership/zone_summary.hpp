#ifndef COMPONENTS_MEMBERSHIP_ZONE_SUMMARY_HPP
#define COMPONENTS_MEMBERSHIP_ZONE_SUMMARY_HPP

#include "components/fleet/fencing_token.hpp"
#include "components/fleet/identifiers.hpp"

#include <cstdint>

namespace membership
{

/// Summary of one zone, from the holder of its scheduling duty. The summary with the higher token, and with the same token the
/// higher sequence, is the later one.
struct ZoneSummary
{
    fleet::ZoneId m_zone;
    fleet::FencingToken m_token;
    std::uint64_t m_sequence = 0;
    std::int64_t m_freeAccelerators = 0;
    /// Largest number of free accelerators in one rack.
    std::int64_t m_largestFreeRack = 0;
    std::int64_t m_jobsWaiting = 0;

    bool operator==(const ZoneSummary &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_zone, m_token, m_sequence, m_freeAccelerators, m_largestFreeRack, m_jobsWaiting);
    }
};

}

#endif
