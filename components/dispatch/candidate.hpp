#ifndef COMPONENTS_DISPATCH_CANDIDATE_HPP
#define COMPONENTS_DISPATCH_CANDIDATE_HPP

#include "components/fleet/resources.hpp"
#include "components/fleet/time.hpp"
#include "components/jobs/step_id.hpp"

#include <cstdint>
#include <vector>

namespace catalog
{
struct Queue;
}

namespace jobs
{
struct StepSpec;
}

namespace dispatch
{

/// Tasks of one step that could start now.
struct Candidate
{
    jobs::StepId m_step;
    const jobs::StepSpec *m_spec = nullptr;
    const catalog::Queue *m_queue = nullptr;
    std::vector<std::uint16_t> m_tasks;
    fleet::Resources m_perTask;
    /// When the job should be complete to meet its objective.
    fleet::TimePoint m_objective;
};

}

#endif
