#ifndef COMPONENTS_FLEET_JOB_SPEC_HPP
#define COMPONENTS_FLEET_JOB_SPEC_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/shape.hpp"
#include "components/fleet/time.hpp"
#include "components/fleet/urgency.hpp"

#include <string>

namespace fleet
{

/// A job as declared by its caller. Sizes and run times are unverified and may be far off.
struct JobSpec
{
    JobId m_id;
    AccountId m_account;
    /// Kind of work. Run-time estimates are learned per account and kind.
    std::string m_kind;
    Shape m_shape;
    Urgency m_urgency = Urgency::Normal;
    Duration m_declaredRunTime {0};
    /// True if a stopped task can resume from its last checkpoint.
    bool m_checkpointable = false;
    /// Empty if the job may run in any availability zone.
    ZoneId m_zone;
    TimePoint m_submittedAt;

    bool operator==(const JobSpec &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_id, m_account, m_kind, m_shape, m_urgency);
        serializeDuration(archive, m_declaredRunTime);
        archive(m_checkpointable, m_zone);
        serializeTime(archive, m_submittedAt);
    }
};

}

#endif
