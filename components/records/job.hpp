#ifndef COMPONENTS_RECORDS_JOB_HPP
#define COMPONENTS_RECORDS_JOB_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/job_spec.hpp"
#include "components/fleet/time.hpp"
#include "components/scheduler/job_outcome.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace records
{

enum class JobPhase : std::uint8_t {
    Waiting,
    /// An attempt was started and its end is not recorded.
    Running,
    Ended,
};

/// State of one job according to the log.
struct Job
{
    fleet::JobSpec m_spec;
    fleet::ZoneId m_zone;
    JobPhase m_phase = JobPhase::Waiting;
    int m_attempts = 0;
    fleet::Duration m_checkpointed {0};
    /// Worker of each task of the current attempt, by task number.
    std::vector<fleet::WorkerId> m_workers;
    fleet::TimePoint m_attemptAt;
    bool m_cancelled = false;
    scheduler::JobOutcome m_outcome = scheduler::JobOutcome::Done;
    std::string m_reason;
    fleet::TimePoint m_endedAt;

    bool operator==(const Job &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_spec, m_zone, m_phase, m_attempts);
        fleet::serializeDuration(archive, m_checkpointed);
        archive(m_workers);
        fleet::serializeTime(archive, m_attemptAt);
        archive(m_cancelled, m_outcome, m_reason);
        fleet::serializeTime(archive, m_endedAt);
    }
};

}

#endif
