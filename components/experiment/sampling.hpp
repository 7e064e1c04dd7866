#ifndef COMPONENTS_EXPERIMENT_SAMPLING_HPP
#define COMPONENTS_EXPERIMENT_SAMPLING_HPP

#include "components/fleet/time.hpp"

#include <cstdint>

namespace experiment
{

struct RunState;

/// Sums over the samples of a run.
struct Samples
{
    /// Free accelerators, summed over samples.
    double m_free = 0.0;
    /// Those of them that no waiting shape could use.
    double m_unusable = 0.0;
    /// Largest gang of one accelerator a task in one rack over free accelerators that could serve it, summed by zone.
    double m_largestGangShare = 0.0;
    std::int64_t m_gangSamples = 0;
    double m_working = 0.0;
    double m_capacity = 0.0;
    /// The same two while a zone is out or came back a short time ago.
    double m_workingInZoneChange = 0.0;
    double m_capacityInZoneChange = 0.0;
};

/// Time between two samples.
inline constexpr fleet::Duration sampleInterval = std::chrono::minutes(1);

/// Adds one sample of the present state of the workers and of the waiting jobs.
void sample(RunState &run, fleet::TimePoint now);

}

#endif
