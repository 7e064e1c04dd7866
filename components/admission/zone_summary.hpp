#ifndef COMPONENTS_ADMISSION_ZONE_SUMMARY_HPP
#define COMPONENTS_ADMISSION_ZONE_SUMMARY_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/resources.hpp"
#include "components/fleet/shape.hpp"

#include <vector>

namespace admission
{

/// A guaranteed shape pinned to a zone that the account does not use at present.
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

/// What the scheduler of one availability zone tells the others, so that a job without a zone can be placed.
struct ZoneSummary
{
    fleet::ZoneId m_zone;
    /// Operators have taken the zone out, or its state is unknown.
    bool m_out = false;
    fleet::Resources m_capacity;
    fleet::Resources m_free;
    /// Total of the rack with the most free accelerators.
    fleet::Resources m_largestFreeRack;
    /// Free on the worker with the most free accelerators.
    fleet::Resources m_largestFreeWorker;
    fleet::Resources m_largestRack;
    fleet::Resources m_largestWorker;
    /// What all waiting jobs ask for together.
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
