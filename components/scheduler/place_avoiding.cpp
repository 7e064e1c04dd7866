#include "components/scheduler/place_avoiding.hpp"

#include <set>

namespace scheduler
{

namespace
{

std::set<int> workersToAvoid(const State &state, const Job &job)
{
    std::set<int> workers;
    const auto found = state.m_health.m_jobs.find(job.m_spec.m_id);
    if (found != state.m_health.m_jobs.end()) {
        workers = found->second.m_failedOn;
    }
    if (job.m_spec.m_shape.m_tasks > 1) {
        for (const auto &[worker, health] : state.m_health.m_workers) {
            if (health.m_isProbing) {
                workers.insert(worker);
            }
        }
    }
    return workers;
}

}

std::optional<placement::Assignment> placeAvoiding(const State &state, const placement::Pool &pool, const Job &job)
{
    const std::set<int> avoidedWorkers = workersToAvoid(state, job);
    if (!avoidedWorkers.empty()) {
        placement::Pool masked = pool;
        for (const int worker : avoidedWorkers) {
            masked.m_nodes[worker].m_usable = false;
        }
        if (auto workers = placement::place(masked, job.m_spec.m_shape, placement::Rule::BestFit)) {
            return workers;
        }
    }
    return placement::place(pool, job.m_spec.m_shape, placement::Rule::BestFit);
}

}
