#include "components/simulation/world_fixture_test.hpp"

#include <algorithm>
#include <chrono>
#include <sstream>

#include <criterion/criterion.h>

using namespace std::chrono_literals;
using namespace simulation;
using namespace simulation::test;

namespace
{

/// Bounds of the sites that are known. Drawn deployments have between half and four times these values.
const node::Settings &knownBounds()
{
    static const node::Settings bounds;
    return bounds;
}

class Draw
{
public:
    explicit Draw(unsigned seed)
        : m_random(seed)
    {
    }

    int between(int least, int most)
    {
        return std::uniform_int_distribution<int>(least, most)(m_random);
    }

    fleet::Duration scaled(fleet::Duration known)
    {
        return known * between(50, 400) / 100;
    }

private:
    std::mt19937 m_random;
};

WorldSettings drawDeployment(unsigned seed)
{
    Draw draw(seed);
    WorldSettings settings;
    settings.m_seed = seed;
    settings.m_zones = draw.between(1, 9);
    settings.m_instancesPerZone = draw.between(1, 3);
    settings.m_strongInstances = draw.between(0, settings.m_zones);
    settings.m_workersPerZone = draw.between(3, 12);
    settings.m_workersPerRack = draw.between(1, settings.m_workersPerZone);
    settings.m_capacityFactor = draw.between(1, 4);
    settings.m_slownessFactor = draw.between(1, 3);
    settings.m_oneWayLatency = fleet::Duration(draw.between(1, 30));
    node::Settings &bounds = settings.m_bounds;
    bounds.m_catalogInForce = draw.scaled(knownBounds().m_catalogInForce);
    bounds.m_keyRevocation = draw.scaled(knownBounds().m_keyRevocation);
    bounds.m_zoneEvacuation = draw.scaled(knownBounds().m_zoneEvacuation);
    bounds.m_stopLimit = draw.scaled(knownBounds().m_stopLimit);
    bounds.m_dispatch.m_leaseLimit = draw.scaled(knownBounds().m_dispatch.m_leaseLimit);
    bounds.m_dispatch.m_stopGrace = draw.scaled(knownBounds().m_dispatch.m_stopGrace);
    bounds.m_dispatch.m_gangWait = draw.scaled(knownBounds().m_dispatch.m_gangWait);
    bounds.m_dispatch.m_reclaimLimit = draw.scaled(knownBounds().m_dispatch.m_reclaimLimit);
    bounds.m_dispatch.m_machineLease = draw.scaled(knownBounds().m_dispatch.m_machineLease);
    settings.m_journalRetention = draw.scaled(knownBounds().m_journalRetention);
    return settings;
}

std::string describe(const WorldSettings &settings)
{
    std::ostringstream text;
    text << "seed " << settings.m_seed << ", " << settings.m_zones << " zones of " << settings.m_instancesPerZone << " instances and "
         << settings.m_workersPerZone << " workers, latency " << settings.m_oneWayLatency.count() << " ms, catalog in force in "
         << settings.m_bounds.m_catalogInForce.count() << " ms, evacuation " << settings.m_bounds.m_zoneEvacuation.count() << " ms, revocation "
         << settings.m_bounds.m_keyRevocation.count() << " ms, lease " << settings.m_bounds.m_dispatch.m_leaseLimit.count() << " ms";
    return text.str();
}

/// A deployment without faults whose workers are mostly idle.
class CalmLoad
{
public:
    explicit CalmLoad(const WorldSettings &settings)
        : m_settings(settings)
        , m_fixture(settings)
        , m_wasReady(static_cast<std::size_t>(m_fixture.m_world.instanceCount()), false)
    {
        run(5s);
    }

    void play()
    {
        for (int i = 0; i < jobs; ++i) {
            submitOne(i);
            run(interval);
        }
        run(10s);
    }

    void check()
    {
        const std::string deployment = describe(m_settings);
        cr_assert_eq(m_flaps, 0, "readiness changed %d times: %s", m_flaps, deployment.c_str());
        for (const auto &[job, call] : m_calls) {
            cr_assert(m_fixture.m_world.wasAccepted(call), "a job was refused: %s", deployment.c_str());
            cr_assert_leq(startDelay(job, call).count(), maxStartDelay().count(), "a job started late: %s", deployment.c_str());
            cr_assert_eq(m_fixture.runCount(job), m_fixture.endedRunCount(job, "done"), "a run did not end well: %s", deployment.c_str());
        }
        m_fixture.expectNoViolation();
    }

private:
    static constexpr int jobs = 40;
    static constexpr fleet::Duration interval {200};
    static constexpr fleet::Duration checkInterval {20};

    /// The submission, its record, the record of the launch and the order each travel to the store or a worker and back, and a
    /// follower's records reach the holder with its next read.
    fleet::Duration maxStartDelay() const
    {
        constexpr int journeys = 10;
        return 500ms + journeys * m_settings.m_oneWayLatency;
    }

    void run(fleet::Duration length)
    {
        for (fleet::Duration passed {0}; passed < length; passed += checkInterval) {
            m_fixture.m_world.run(checkInterval);
            for (int i = 0; i < m_fixture.m_world.instanceCount(); ++i) {
                const bool isReady = m_fixture.m_world.isReady(i);
                m_flaps += m_wasReady[static_cast<std::size_t>(i)] && !isReady ? 1 : 0;
                m_wasReady[static_cast<std::size_t>(i)] = isReady;
            }
        }
    }

    void submitOne(int number)
    {
        jobs::JobId job;
        jobs::StepSpec step = number % 4 == 0 ? makeGang(2, 2) : makeTasks(2);
        step.m_prefersOneRack = number % 8 == 0 && m_settings.m_workersPerRack > 1;
        const int instance = number % m_fixture.m_world.instanceCount();
        const int call = m_fixture.submitThrough(instance, step, {400ms}, number % 3, job);
        m_calls.emplace_back(job, call);
    }

    fleet::Duration startDelay(jobs::JobId job, int call) const
    {
        const std::vector<RunRecord> &history = m_fixture.m_world.m_fleet.m_history;
        const auto first = std::find_if(history.begin(), history.end(), [&](const RunRecord &run) {
            return run.m_run.m_task.m_step.m_job == job;
        });
        return first == history.end() ? fleet::Duration::max() : first->m_startedAt - m_fixture.m_world.outcome(call).m_sentAt;
    }

    WorldSettings m_settings;
    WorldFixture m_fixture;
    std::vector<bool> m_wasReady;
    std::vector<std::pair<jobs::JobId, int>> m_calls;
    int m_flaps = 0;
};

}

Test(calmLoad, drawnDeployments_nothingIsRefusedOrLateAndReadinessIsStable)
{
    constexpr unsigned deployments = 200;
    for (unsigned seed = 1; seed <= deployments; ++seed) {
        CalmLoad load(drawDeployment(seed));
        load.play();
        load.check();
    }
}

/// A wait for changes of the operators that did not follow from the age allowed: with these bounds the copy was older than the
/// limit before the next answer, although the store answered in time.
Test(calmLoad, changesInForceSlowly_nothingIsRefused)
{
    WorldSettings settings;
    settings.m_bounds.m_catalogInForce = 8s;
    CalmLoad load(settings);
    load.play();
    load.check();
}
