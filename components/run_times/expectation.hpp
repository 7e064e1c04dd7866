#ifndef COMPONENTS_RUN_TIMES_EXPECTATION_HPP
#define COMPONENTS_RUN_TIMES_EXPECTATION_HPP

#include "components/fleet/time.hpp"

namespace run_times
{

/// Expected run time of a task on a worker of usual speed. A gang is as slow as its slowest member.
struct Expectation
{
    fleet::Duration m_median {0};
    /// Exceeded by about one task in ten.
    fleet::Duration m_high {0};
    /// From 0, only the caller's estimate is known, to 1.
    double m_confidence = 0;

    bool operator==(const Expectation &) const = default;
};

}

#endif
