#ifndef COMPONENTS_ADMISSION_ZONE_SUMMARY_HPP
#define COMPONENTS_ADMISSION_ZONE_SUMMARY_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/resources.hpp"
#include "components/fleet/shape.hpp"

#include <vector>

namespace admission
{

/// A guaranteed shape that is assigned to a zone and not currently used by its account.
struct UnfilledGuarantee
{
    fleet::AccountId m_account;
    fleet::Shape m_shape;

    bool operator==(const UnfilledGuarantee &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_account, m_shape);
    }
};

/// Summary that the scheduler of an availability zone sends to the other zones, used to place jobs that name no zone.
struct ZoneSummary
{
    fleet::ZoneId m_zone;
    /// True if operators have taken the zone out or its state is unknown.
    bool m_out = false;
    fleet::Resources m_capacity;
    fleet::Resources m_free;
    /// Free resources of the rack with the most free accelerators.
    fleet::Resources m_largestFreeRack;
    /// Free resources of the worker with the most free accelerators.
    fleet::Resources m_largestFreeWorker;
    fleet::Resources m_largestRack;
    fleet::Resources m_largestWorker;
    /// Total resources requested by all waiting jobs.
    fleet::Resources m_queued;
    std::vector<UnfilledGuarantee> m_unfilledGuarantees;

    bool operator==(const ZoneSummary &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_zone, m_out, m_capacity, m_free, m_largestFreeRack, m_largestFreeWorker, m_largestRack, m_largestWorker, m_queued, m_unfilledGuarantees);
    }
};

}

#endif
