#ifndef COMPONENTS_EXPERIMENT_JOB_CLASS_HPP
#define COMPONENTS_EXPERIMENT_JOB_CLASS_HPP

#include "components/fleet/adjacency.hpp"
#include "components/fleet/resources.hpp"
#include "components/fleet/time.hpp"
#include "components/fleet/urgency.hpp"

#include <string>
#include <vector>

namespace experiment
{

/// One kind of job in a generated workload.
struct JobClass
{
    std::string m_kind;
    /// Relative frequency among the classes of the site.
    int m_weight = 1;
    /// Task counts, each equally likely.
    std::vector<int> m_tasks;
    /// Accelerators of one task, each equally likely.
    std::vector<int> m_accelerators;
    fleet::Adjacency m_adjacency = fleet::Adjacency::SameZone;
    fleet::Duration m_medianRunTime {0};
    fleet::Urgency m_urgency = fleet::Urgency::Normal;
    /// Probability that a job of this class can resume from a checkpoint.
    double m_checkpointable = 0.0;
};

}

#endif
