#ifndef COMPONENTS_WORKERS_ADVICE_QUESTION_HPP
#define COMPONENTS_WORKERS_ADVICE_QUESTION_HPP

#include "components/fleet/fencing_token.hpp"
#include "components/fleet/identifiers.hpp"
#include "components/jobs/step_id.hpp"

#include <vector>

namespace workers
{

/// Asks the advice service which of the workers may run a step.
struct AdviceQuestion
{
    jobs::StepId m_step;
    std::vector<fleet::WorkerId> m_workers;
    /// Token of the holder that asks. An answer to a former holder is void.
    fleet::FencingToken m_token;

    bool operator==(const AdviceQuestion &) const = default;
};

}

#endif
