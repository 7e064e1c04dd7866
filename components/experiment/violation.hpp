#ifndef COMPONENTS_EXPERIMENT_VIOLATION_HPP
#define COMPONENTS_EXPERIMENT_VIOLATION_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/time.hpp"

#include <cstdint>
#include <string>

namespace experiment
{

enum class ViolationKind : std::uint8_t {
    /// Two attempts at one job, or the same task twice, ran at the same time.
    TwoLiveAttempts,
    /// Part of a gang ran for longer than one lease plus the maximum delivery delay of a command.
    PartialGang,
    /// A task started in an availability zone that was out, or on a worker that was leaving, for longer than the grace period.
    StartWhileUnavailable,
    /// A task started after its job was reported as ended.
    StartAfterEnd,
    /// A job was reported done although no attempt had all of its tasks succeed.
    DoneWithoutSuccess,
    /// The leases of a worker exceeded its capacity.
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

/// Returns a one-line description for the reports.
std::string describe(const Violation &violation);

}

#endif
