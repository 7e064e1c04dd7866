#ifndef COMPONENTS_FLEET_WORKER_INFO_HPP
#define COMPONENTS_FLEET_WORKER_INFO_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/resources.hpp"

namespace fleet
{

/// A target that runs job tasks: its location and capacity.
struct WorkerInfo
{
    WorkerId m_id;
    ZoneId m_zone;
    RackId m_rack;
    Resources m_capacity;

    bool operator==(const WorkerInfo &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_id, m_zone, m_rack, m_capacity);
    }
};

}

#endif
