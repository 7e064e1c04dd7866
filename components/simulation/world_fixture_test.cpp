#include "components/simulation/world_fixture_test.hpp"

#include <algorithm>
#include <chrono>

#include <criterion/criterion.h>

namespace simulation::test
{

using namespace std::chrono_literals;

jobs::StepSpec makeTasks(std::uint16_t count, std::int64_t accelerators)
{
    jobs::StepSpec step;
    step.m_tasks = count;
    step.m_perTask = {2000, 4000, accelerators};
    step.m_estimate = 1000ms;
    return step;
}

jobs::StepSpec makeGang(std::uint16_t count, std::int64_t accelerators)
{
    jobs::StepSpec step = makeTasks(count, accelerators);
    step.m_isGang = true;
    return step;
}

WorldFixture::WorldFixture(const WorldSettings &settings)
    : m_world(settings)
{
    cr_assert(waitForHolder(3s), "no instance took the scheduling duty");
    m_world.run(200ms);
}

int WorldFixture::submitThrough(int instance, const jobs::StepSpec &step, const Behaviour &behaviour, int priority, jobs::JobId &id)
{
    id.m_value = m_nextJob++;
    jobs::JobSpec spec;
    spec.m_id = id;
    spec.m_queue = fleet::QueueId("q" + std::to_string(priority));
    spec.m_payload = "payload";
    spec.m_steps = {step};
    return m_world.submit(instance, spec, behaviour);
}

jobs::JobId WorldFixture::submit(const jobs::StepSpec &step, const Behaviour &behaviour, int priority)
{
    jobs::JobId id;
    const int call = submitThrough(nonHolder(), step, behaviour, priority, id);
    const bool isAnswered = m_world.runUntil(
        [&] {
            return m_world.outcome(call).m_reply.has_value();
        },
        3s);
    cr_assert(isAnswered && m_world.wasAccepted(call), "the job was not accepted");
    return id;
}

fleet::ZoneId WorldFixture::zoneWithoutHolder() const
{
    const fleet::ZoneId last = m_world.zoneOf(m_world.instanceCount() - 1);
    return m_world.zoneOf(m_world.holder()) == last ? m_world.zoneOf(0) : last;
}

bool WorldFixture::completes(jobs::JobId job, fleet::Duration limit)
{
    const fleet::BootTime end = m_world.now() + limit;
    while (m_world.now() < end) {
        for (int i = 0; i < m_world.instanceCount(); ++i) {
            if (m_world.isRunning(i) && m_world.stateOf(i, job) == jobs::JobState::Completed) {
                return true;
            }
        }
        m_world.run(50ms);
    }
    return false;
}

bool WorldFixture::isRunning(jobs::JobId job) const
{
    return std::any_of(m_world.m_fleet.m_history.begin(), m_world.m_fleet.m_history.end(), [&](const RunRecord &run) {
        return run.m_run.m_task.m_step.m_job == job && run.m_endedAt == fleet::BootTime::max();
    });
}

int WorldFixture::runCount(jobs::JobId job) const
{
    return static_cast<int>(std::count_if(m_world.m_fleet.m_history.begin(), m_world.m_fleet.m_history.end(), [&](const RunRecord &run) {
        return run.m_run.m_task.m_step.m_job == job;
    }));
}

int WorldFixture::endedRunCount(jobs::JobId job, const std::string &how) const
{
    return static_cast<int>(std::count_if(m_world.m_fleet.m_history.begin(), m_world.m_fleet.m_history.end(), [&](const RunRecord &run) {
        return run.m_run.m_task.m_step.m_job == job && run.m_endReason == how;
    }));
}

fleet::WorkerId WorldFixture::runningWorker(jobs::JobId job) const
{
    for (const RunRecord &run : m_world.m_fleet.m_history) {
        if (run.m_run.m_task.m_step.m_job == job && run.m_endedAt == fleet::BootTime::max()) {
            return run.m_incarnation.m_worker;
        }
    }
    return {};
}

int WorldFixture::nonHolder() const
{
    for (int i = 0; i < m_world.instanceCount(); ++i) {
        if (i != m_world.holder() && m_world.isRunning(i)) {
            return i;
        }
    }
    return 0;
}

bool WorldFixture::waitForHolder(fleet::Duration limit)
{
    return m_world.runUntil(
        [&] {
            return m_world.holder() >= 0;
        },
        limit);
}

void WorldFixture::expectNoRunIn(const fleet::ZoneId &zone, jobs::JobId job) const
{
    for (const RunRecord &run : m_world.m_fleet.m_history) {
        const bool isOfJob = run.m_run.m_task.m_step.m_job == job;
        const bool isInZone = m_world.m_fleet.m_workers.at(run.m_incarnation.m_worker).m_registration.m_zone == zone;
        cr_assert(!isOfJob || !isInZone, "a task of the job ran in %s", zone.value().c_str());
    }
}

void WorldFixture::expectNoViolation() const
{
    cr_assert(m_world.m_fleet.m_violations.empty(), "%s", m_world.m_fleet.m_violations.front().c_str());
}

}
