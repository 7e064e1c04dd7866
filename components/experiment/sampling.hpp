#ifndef COMPONENTS_EXPERIMENT_SAMPLING_HPP
#define COMPONENTS_EXPERIMENT_SAMPLING_HPP

#include "components/fleet/time.hpp"

#include <cstdint>

namespace experiment
{

struct RunState;

/// Sums over all samples of a run.
struct Samples
{
    /// Free accelerators, summed over samples.
    double m_free = 0.0;
    /// Free accelerators that no waiting shape could use, summed over samples.
    double m_unusable = 0.0;
    /// Largest number of free accelerators in one rack divided by the zone's free accelerators, summed over zones and samples.
    double m_largestGangShare = 0.0;
    std::int64_t m_gangSamples = 0;
    double m_working = 0.0;
    double m_capacity = 0.0;
    /// m_working and m_capacity summed only over samples taken while a zone is out or has just returned.
    double m_workingInZoneChange = 0.0;
    double m_capacityInZoneChange = 0.0;
};

/// Time between two samples.
inline constexpr fleet::Duration sampleInterval = std::chrono::minutes(1);

/// Adds one sample of the current state of the workers and the waiting jobs.
void sample(RunState &run, fleet::TimePoint now);

}

#endif
