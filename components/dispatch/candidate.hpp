#ifndef COMPONENTS_DISPATCH_CANDIDATE_HPP
#define COMPONENTS_DISPATCH_CANDIDATE_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/resources.hpp"
#include "components/fleet/time.hpp"
#include "components/jobs/step_id.hpp"
#include "components/workers/worker_incarnation.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
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
    fleet::AccountId m_account;
    /// The account needs no more for its jobs of priority 0 than it is guaranteed.
    bool m_isGuaranteed = false;
    /// It has waited long enough to take back what other accounts borrow.
    bool m_mayReclaim = false;
    /// All tasks belong in one rack.
    bool m_wantsOneRack = false;
    std::vector<std::uint16_t> m_tasks;
    /// The run that the tasks join, where the rest of their gang is there already; else 0.
    std::uint32_t m_joinedRun = 0;
    /// Joining: the rack of the others where the step wants one rack, and the workers that refused the run.
    fleet::RackId m_joinedRack;
    std::set<workers::WorkerIncarnation> m_refusedBy;
    /// A run of the step has failed, and the workers where that was lately.
    bool m_hasFailed = false;
    std::set<fleet::WorkerId> m_failedOn;
    fleet::Resources m_perTask;
    /// Tickets of the workers that may run the step, where only an advice service knows them.
    std::optional<std::map<fleet::WorkerId, std::string>> m_tickets;
    /// When the job should be complete to meet its objective.
    fleet::TimePoint m_objective;
};

}

#endif
