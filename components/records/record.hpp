#ifndef COMPONENTS_RECORDS_RECORD_HPP
#define COMPONENTS_RECORDS_RECORD_HPP

#include "components/fleet/fencing_token.hpp"
#include "components/fleet/identifiers.hpp"
#include "components/fleet/job_spec.hpp"
#include "components/fleet/time.hpp"
#include "components/records/record_id.hpp"
#include "components/scheduler/job_outcome.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace records
{

struct InstanceStarted
{
    fleet::ZoneId m_zone;

    bool operator==(const InstanceStarted &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_zone);
    }
};

/// A job was accepted and belongs to the scheduler of `m_zone`.
struct JobSubmitted
{
    fleet::JobSpec m_spec;
    fleet::ZoneId m_zone;

    bool operator==(const JobSubmitted &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_spec, m_zone);
    }
};

struct JobCancelled
{
    fleet::JobId m_job;

    bool operator==(const JobCancelled &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_job);
    }
};

struct AttemptStarted
{
    fleet::JobId m_job;
    int m_attempt = 0;
    /// Worker of each task, by task number.
    std::vector<fleet::WorkerId> m_workers;

    bool operator==(const AttemptStarted &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_job, m_attempt, m_workers);
    }
};

struct AttemptEnded
{
    fleet::JobId m_job;
    int m_attempt = 0;
    fleet::Duration m_checkpointed {0};
    std::string m_reason;

    bool operator==(const AttemptEnded &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_job, m_attempt);
        fleet::serializeDuration(archive, m_checkpointed);
        archive(m_reason);
    }
};

struct JobEnded
{
    fleet::JobId m_job;
    int m_attempt = 0;
    scheduler::JobOutcome m_outcome = scheduler::JobOutcome::Done;
    std::string m_reason;

    bool operator==(const JobEnded &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_job, m_attempt, m_outcome, m_reason);
    }
};

/// A waiting job was moved to the scheduler of another availability zone.
struct JobMoved
{
    fleet::JobId m_job;
    fleet::ZoneId m_to;

    bool operator==(const JobMoved &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_job, m_to);
    }
};

/// The writer claims the scheduling duty of its zone. The fencing token is the offset of this record.
struct SchedulerClaimed
{
    /// Token of the holder that is replaced; the claim is rejected if this is not the current token.
    fleet::FencingToken m_replaces;

    bool operator==(const SchedulerClaimed &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_replaces);
    }
};

struct SchedulerReleased
{
    bool operator==(const SchedulerReleased &) const = default;

    template<class Archive>
    void serialize(Archive &)
    {
    }
};

/// Numbers of requests that the writer finished since its last record of this kind.
struct RequestsCounted
{
    fleet::AccountId m_account;
    std::int64_t m_done = 0;
    std::int64_t m_refused = 0;
    std::int64_t m_unknown = 0;

    bool operator==(const RequestsCounted &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_account, m_done, m_refused, m_unknown);
    }
};

using Body = std::variant<InstanceStarted,
                          JobSubmitted,
                          JobCancelled,
                          AttemptStarted,
                          AttemptEnded,
                          JobEnded,
                          JobMoved,
                          SchedulerClaimed,
                          SchedulerReleased,
                          RequestsCounted>;

/// One record of the system's stream.
struct Record
{
    RecordId m_id;
    /// Zone whose scheduler the record belongs to. For changes of jobs, the zone of the writer's scheduling duty.
    fleet::ZoneId m_zone;
    /// The writer's fencing token in that zone; 0 for records that do not need one.
    fleet::FencingToken m_token;
    fleet::TimePoint m_at;
    Body m_body;

    bool operator==(const Record &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_id, m_zone, m_token);
        fleet::serializeTime(archive, m_at);
        archive(m_body);
    }
};

}

#endif
