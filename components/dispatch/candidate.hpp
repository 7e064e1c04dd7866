#ifndef COMPONENTS_DISPATCH_CANDIDATE_HPP
#define COMPONENTS_DISPATCH_CANDIDATE_HPP

#include "components/dispatch/speed_preference.hpp"
#include "components/fleet/identifiers.hpp"
#include "components/fleet/resources.hpp"
#include "components/fleet/time.hpp"
#include "components/jobs/step_id.hpp"
#include "components/workers/worker_incarnation.hpp"

#include <cstddef>
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

/// Tasks of one step that are ready to start.
struct Candidate
{
    jobs::StepId m_step;
    const jobs::StepSpec *m_spec = nullptr;
    const catalog::Queue *m_queue = nullptr;
    fleet::AccountId m_account;
    /// The guarantee of the account covers all its jobs of priority 0, running and waiting.
    bool m_isGuaranteed = false;
    /// The candidate has waited long enough to reclaim capacity that other accounts borrow.
    bool m_mayReclaim = false;
    /// Longest work that a run of lower priority may lose if it is stopped for the candidate; empty if none may be stopped.
    std::optional<fleet::Duration> m_acceptableLoss;
    /// All tasks have to be placed in one rack. A preference of the step that is given up after some time.
    bool m_requiresOneRack = false;
    /// A best-effort step that no other worker has room for may run beside serving tasks.
    bool m_mayRunBesideServing = false;
    std::vector<std::uint16_t> m_tasks;
    /// Number of further tasks that are ready, of this step and of later occurrences of the job. They are not listed, since they would not
    /// be launched in this plan.
    std::size_t m_unlistedTasks = 0;
    /// Not all of the listed tasks may be launched yet; see limitLaunches().
    bool m_isLimited = false;
    /// Tasks that the maximum of the account keeps from starting in this plan.
    std::vector<std::uint16_t> m_withheldTasks;
    /// The run that the tasks join if the rest of their gang has started already; otherwise 0.
    std::uint32_t m_joinedRun = 0;
    /// For tasks that join a run: the rack of the others if m_requiresOneRack is set, and the workers that refused the run.
    fleet::RackId m_joinedRack;
    std::set<workers::WorkerIncarnation> m_refusedBy;
    /// True if a run of the step has failed, with the workers where one failed recently.
    bool m_hasFailed = false;
    std::set<fleet::WorkerId> m_failedOn;
    fleet::Resources m_perTask;
    /// Tickets of the workers that may run the step; empty optional if the queue needs no advice service.
    std::optional<std::map<fleet::WorkerId, std::string>> m_tickets;
    /// Completion time that meets the objective of the job.
    fleet::TimePoint m_objective;
    SpeedPreference m_speedPreference = SpeedPreference::None;
};

}

#endif
