#ifndef COMPONENTS_RUN_TIMES_WORKER_SPEED_HPP
#define COMPONENTS_RUN_TIMES_WORKER_SPEED_HPP

namespace run_times
{

/// Run time of a worker relative to the usual worker.
struct WorkerSpeed
{
    double m_factor = 1;
    /// From 0, nothing is known, to 1.
    double m_confidence = 0;

    bool operator==(const WorkerSpeed &) const = default;
};

}

#endif
