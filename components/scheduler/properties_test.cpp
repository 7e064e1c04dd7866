#include "components/scheduler/fake_zone.hpp"
#include "components/scheduler/status.hpp"

#include <rapidcheck.h>

#include <criterion/criterion.h>

namespace
{

using namespace std::chrono_literals;
using scheduler::test::FakeZone;

constexpr fleet::Resources whole {8000, 8000, 4};
constexpr int racks = 3;
constexpr int workersPerRack = 3;

std::vector<scheduler::ZoneAccount> makeAccounts()
{
    const fleet::Resources quota {72000, 72000, 36};
    const fleet::Shape rackGang {3, whole, fleet::Adjacency::SameRack};
    const fleet::Shape pair {2, {1000, 1000, 2}, fleet::Adjacency::SameWorker};
    const fleet::Shape spread {4, {1000, 1000, 1}, fleet::Adjacency::SameZone};
    return {{fleet::AccountId("a"), {rackGang, pair}, quota, 2, 1.0},
            {fleet::AccountId("b"), {pair, spread, spread}, quota, 2, 2.0},
            {fleet::AccountId("c"), {}, {40000, 40000, 16}, 2, 1.0}};
}

/// Three racks of three workers, all accounts configured, starts allowed.
void setUp(FakeZone &zone, scheduler::Policy policy = scheduler::Policy::Guaranteed)
{
    zone.m_state.m_settings.m_policy = policy;
    zone.m_state.m_settings.m_repackInterval = 1s;
    zone.m_state.m_settings.m_repackMinRunTime = 3s;
    zone.m_state.m_settings.m_reservationMaxWait = 20s;
    zone.m_state.m_settings.m_reservationGracePeriod = 10s;
    zone.m_accounts = makeAccounts();
    zone.apply(scheduler::PolicyChanged {zone.m_accounts});
    for (int worker = 0; worker < racks * workersPerRack; ++worker) {
        zone.addWorker(worker / workersPerRack);
    }
    zone.allowStarts(true);
}

fleet::JobSpec makeSpec(const FakeZone &zone, const std::string &account, const fleet::Shape &shape)
{
    fleet::JobSpec spec;
    spec.m_id = fleet::JobId("j" + std::to_string(zone.m_specs.size()));
    spec.m_account = fleet::AccountId(account);
    spec.m_kind = "kind";
    spec.m_shape = shape;
    spec.m_declaredRunTime = 10s;
    spec.m_submittedAt = zone.m_now;
    return spec;
}

fleet::Shape anyShape()
{
    const auto adjacency = *rc::gen::element(fleet::Adjacency::SameZone, fleet::Adjacency::SameRack, fleet::Adjacency::SameWorker);
    return {*rc::gen::inRange(1, 6), {*rc::gen::inRange(0, 4000), 1000, *rc::gen::inRange(0, 5)}, adjacency};
}

void submitAny(FakeZone &zone)
{
    fleet::JobSpec spec = makeSpec(zone, *rc::gen::element<std::string>("a", "b", "c"), anyShape());
    if (*rc::gen::inRange(0, 3) == 0) {
        const auto accounts = makeAccounts();
        spec.m_shape = *rc::gen::elementOf(accounts[spec.m_account == accounts[0].m_account ? 0 : 1].m_guarantees);
    }
    spec.m_urgency = *rc::gen::element(fleet::Urgency::Background, fleet::Urgency::Normal, fleet::Urgency::Urgent);
    spec.m_checkpointable = *rc::gen::arbitrary<bool>();
    zone.submit(spec, fleet::Duration(*rc::gen::inRange(500, 40000)), *rc::gen::inRange(0, 10) == 0);
}

void applyAny(FakeZone &zone)
{
    const int worker = *rc::gen::inRange(0, static_cast<int>(zone.m_workers.size()));
    const int kind = *rc::gen::inRange(0, 26);
    if (kind < 13) {
        submitAny(zone);
    } else if (kind < 16) {
        zone.cancel(*rc::gen::inRange(0, 1000));
    } else if (kind == 16) {
        zone.m_workers[worker].m_unreachableUntil = std::max(zone.m_workers[worker].m_unreachableUntil, zone.m_now + *rc::gen::inRange(1, 30) * 1s);
    } else if (kind == 17) {
        zone.removeWorker(worker);
    } else if (kind == 18) {
        zone.m_workers[worker].m_tasks.clear();
    } else if (kind == 19) {
        zone.pause(*rc::gen::inRange(1, 25) * 1s);
    } else if (kind == 20) {
        zone.allowStarts(*rc::gen::arbitrary<bool>());
    } else if (kind == 21) {
        zone.m_workers[worker].m_failsEverything = true;
    } else if (kind == 22) {
        zone.apply(scheduler::WorkerListed {zone.m_workers[worker].m_info, true});
    } else if (kind < 25) {
        zone.repeatArrival(*rc::gen::inRange(0, 1000));
    } else {
        zone.changeHolder();
    }
}

/// Ends all faults and replaces removed and leaving workers.
void recover(FakeZone &zone)
{
    zone.m_faultRate = 0;
    zone.m_maxDelay = 20ms;
    const std::size_t count = zone.m_workers.size();
    for (std::size_t worker = 0; worker < count; ++worker) {
        zone.m_workers[worker].m_failsEverything = false;
        const bool isGone = zone.m_workers[worker].m_unreachableUntil == fleet::TimePoint::max();
        if (isGone || zone.m_state.m_workers[zone.m_state.m_workerIndex.at(zone.m_workers[worker].m_info.m_id)].m_leaving) {
            zone.addWorker(std::stoi(zone.m_workers[worker].m_info.m_rack.value()));
        } else {
            zone.m_workers[worker].m_unreachableUntil = zone.m_now;
        }
    }
    zone.allowStarts(true);
}

void runAnyHistory(scheduler::Policy policy)
{
    FakeZone zone(*rc::gen::arbitrary<unsigned>());
    setUp(zone, policy);
    zone.m_faultRate = *rc::gen::element(0.0, 0.02, 0.1);
    zone.m_maxDelay = *rc::gen::element<fleet::Duration>(20ms, 300ms, 1400ms);
    for (int count = *rc::gen::inRange(5, 40); count > 0; --count) {
        applyAny(zone);
        zone.run(*rc::gen::inRange(0, 6) * 1s);
    }
    recover(zone);
    for (int minutes = 0; minutes < 90 && zone.m_outcomes.size() < zone.m_specs.size(); ++minutes) {
        zone.run(60s);
    }
    RC_ASSERT(zone.m_violation == "");
    for (const auto &[id, spec] : zone.m_specs) {
        RC_LOG() << id.value() << ": " << scheduler::explain(zone.m_state, id, zone.m_now) << std::endl;
    }
    RC_ASSERT(zone.m_outcomes.size() == zone.m_specs.size());
}

}

Test(properties, anyHistoryOfFaults_guaranteedPolicy_keepsEveryRuleAndEndsEveryJob)
{
    cr_assert(rc::check([] {
        runAnyHistory(scheduler::Policy::Guaranteed);
    }));
}

Test(properties, anyHistoryOfFaults_firstFitFifo_keepsEveryRuleAndEndsEveryJob)
{
    cr_assert(rc::check([] {
        runAnyHistory(scheduler::Policy::FirstFitFifo);
    }));
}

Test(properties, zoneFullOfBorrowers_guaranteedShapes_runAtOnceInBoundedTime)
{
    cr_assert(rc::check([] {
        FakeZone zone(*rc::gen::arbitrary<unsigned>());
        setUp(zone);
        for (int count = 0; count < 40; ++count) {
            fleet::JobSpec spec = makeSpec(zone, *rc::gen::element<std::string>("b", "c"), anyShape());
            spec.m_checkpointable = *rc::gen::arbitrary<bool>();
            zone.submit(spec, 10h, false);
        }
        zone.run(15s);
        std::vector<fleet::JobId> submitted;
        for (const fleet::Shape &shape : zone.m_accounts[0].m_guarantees) {
            const fleet::JobSpec spec = makeSpec(zone, "a", shape);
            zone.submit(spec, 10h, false);
            submitted.push_back(spec.m_id);
        }
        zone.run(5s);
        for (const fleet::JobId &job : submitted) {
            RC_ASSERT(zone.isRunning(job));
        }
        RC_ASSERT(zone.m_violation == "");
    }));
}

Test(properties, zoneFullOfNormalWork_urgentJobs_runInTimeWithinTheBudgetOnly)
{
    cr_assert(rc::check([] {
        FakeZone zone(*rc::gen::arbitrary<unsigned>());
        setUp(zone);
        for (int count = 0; count < 40; ++count) {
            fleet::JobSpec spec = makeSpec(zone, "b", {1, {1000, 1000, 1}, fleet::Adjacency::SameZone});
            spec.m_checkpointable = *rc::gen::arbitrary<bool>();
            zone.submit(spec, 10h, false);
        }
        zone.run(15s);
        std::vector<fleet::JobId> submitted;
        for (int count = 0; count < 3; ++count) {
            fleet::JobSpec spec = makeSpec(zone, "c", {1, whole, fleet::Adjacency::SameWorker});
            spec.m_urgency = fleet::Urgency::Urgent;
            zone.submit(spec, 10h, false);
            submitted.push_back(spec.m_id);
        }
        zone.run(7s);
        RC_ASSERT(zone.isRunning(submitted[0]));
        RC_ASSERT(zone.isRunning(submitted[1]));
        RC_ASSERT_FALSE(zone.isRunning(submitted[2]));
        RC_ASSERT(zone.m_violation == "");
    }));
}
