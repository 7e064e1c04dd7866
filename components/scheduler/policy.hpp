#ifndef COMPONENTS_SCHEDULER_POLICY_HPP
#define COMPONENTS_SCHEDULER_POLICY_HPP

#include <cstdint>

namespace scheduler
{

/// How waiting jobs are ordered and placed.
enum class Policy : std::uint8_t {
    /// Baseline: in order of submission each job that fits starts, first fit; no guarantees, quotas, urgency or displacement.
    FirstFitFifo,
    /// Guarantees with reclaim, fair share, best fit, reservations with conservative backfill.
    Guaranteed,
};

}

#endif
