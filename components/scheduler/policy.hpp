#ifndef COMPONENTS_SCHEDULER_POLICY_HPP
#define COMPONENTS_SCHEDULER_POLICY_HPP

#include <cstdint>

namespace scheduler
{

/// How waiting jobs are ordered and placed.
enum class Policy : std::uint8_t {
    /// Baseline: starts each job that fits, in order of submission by first fit; no guarantees, quotas, urgency or preemption.
    FirstFitFifo,
    /// Guarantees with reclaiming, fair share, best fit, and reservations with conservative backfill.
    Guaranteed,
};

}

#endif
