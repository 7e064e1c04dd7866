#ifndef COMPONENTS_CALLERS_SUBMISSION_HPP
#define COMPONENTS_CALLERS_SUBMISSION_HPP

#include "components/jobs/schedule.hpp"
#include "components/jobs/step_spec.hpp"

#include <string>
#include <vector>

namespace callers
{

/// Body of a submission: a job without its id, queue and account.
struct Submission
{
    std::string m_payload;
    std::vector<jobs::StepSpec> m_steps;
    jobs::Schedule m_schedule;

    bool operator==(const Submission &) const = default;
};

}

#endif
