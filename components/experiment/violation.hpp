#ifndef COMPONENTS_EXPERIMENT_VIOLATION_HPP
#define COMPONENTS_EXPERIMENT_VIOLATION_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/time.hpp"

#include <cstdint>
#include <string>

namespace experiment
{

enum class ViolationKind : std::uint8_t {
    /// Two attempts at one job, or one task on two workers, ran at the same time.
    TwoLiveAttempts,
    /// Part of a gang ran for longer than one lease and the longest delivery of a command.
    PartialGang,
    /// A task started in an availability zone that had been out, or on a worker that had been leaving, beyond the grace.
    StartWhileUnavailable,
    /// A task started after its job was reported as ended.
    StartAfterEnd,
    /// A job was reported done although no attempt of it succeeded as a whole.
    DoneWithoutSuccess,
    /// A worker held more leases than it has capacity for.
    WorkerOverCapacity,
};

struct Violation
{
    ViolationKind m_kind = ViolationKind::TwoLiveAttempts;
    fleet::JobId m_job;
    fleet::WorkerId m_worker;
    fleet::TimePoint m_at;

    bool operator==(const Violation &) const = default;
};

/// One line for the operator of the experiment.
std::string describe(const Violation &violation);

}

#endif
