#include "components/reclaim/make_plan.hpp"

#include <rapidcheck.h>

#include <criterion/criterion.h>

namespace
{

constexpr fleet::Resources perTask {1000, 1000, 4};

/// Two racks of two workers, eight accelerators each, with nothing free.
placement::Pool makeFull()
{
    placement::Pool pool;
    for (int index = 0; index < 4; ++index) {
        placement::addNode(pool, {8000, 8000, 8}, index / 2);
        pool.m_nodes[index].m_free = {8000, 8000, 0};
    }
    return pool;
}

placement::Pool makeCeiling()
{
    placement::Pool pool = makeFull();
    for (placement::Node &node : pool.m_nodes) {
        node.m_free = node.m_capacity;
    }
    return pool;
}

}

Test(reclaim, victimsOfUnequalCost_plan_takesTheCheaperRack)
{
    const std::vector<reclaim::Victim> victims {{{0, 1}, perTask, 50}, {{2}, perTask, 10}, {{3}, perTask, 10}};
    const auto plan = reclaim::makePlan(makeFull(), makeCeiling(), victims, {2, perTask, fleet::Adjacency::SameRack});
    cr_assert(plan.has_value());
    cr_assert((plan->m_victims == std::vector<std::size_t> {1, 2}));
    cr_assert((plan->m_assignment == placement::Assignment {2, 3}));
}

Test(reclaim, ceilingBelowTheNeed_plan_isNotMade)
{
    placement::Pool ceiling = makeCeiling();
    for (placement::Node &node : ceiling.m_nodes) {
        node.m_free.m_accelerators = 3;
    }
    cr_assert_not(reclaim::makePlan(makeFull(), ceiling, {{{0, 1, 2, 3}, perTask, 1}}, {1, perTask, fleet::Adjacency::SameZone}).has_value());
}

Test(reclaim, anyVictims_plan_fitsAndNeedsEachVictim)
{
    const bool holds = rc::check([] {
        std::vector<reclaim::Victim> victims;
        for (int count = *rc::gen::inRange(1, 8); count > 0; --count) {
            const auto nodes = *rc::gen::container<std::vector<int>>(*rc::gen::inRange(1, 3), rc::gen::inRange(0, 4));
            victims.push_back({nodes, {500, 500, 1}, static_cast<double>(*rc::gen::inRange(0, 100))});
        }
        const auto adjacency = *rc::gen::element(fleet::Adjacency::SameZone, fleet::Adjacency::SameRack, fleet::Adjacency::SameWorker);
        const fleet::Shape shape {*rc::gen::inRange(1, 4), {100, 100, 1}, adjacency};
        const auto plan = reclaim::makePlan(makeFull(), makeCeiling(), victims, shape);
        if (!plan) {
            return;
        }
        const auto fitsWithout = [&](std::size_t spared) {
            placement::Pool pool = makeFull();
            for (const std::size_t victim : plan->m_victims) {
                if (victim != spared) {
                    placement::release(pool, victims[victim].m_nodes, victims[victim].m_perTask);
                }
            }
            const std::vector<int> group
                = adjacency == fleet::Adjacency::SameZone ? std::vector<int> {0, 1, 2, 3} : pool.m_racks[pool.m_nodes[plan->m_assignment[0]].m_rack];
            return placement::fitsOn(pool, adjacency == fleet::Adjacency::SameWorker ? std::vector<int> {plan->m_assignment[0]} : group, shape);
        };
        RC_ASSERT(fitsWithout(victims.size()));
        for (const std::size_t victim : plan->m_victims) {
            RC_ASSERT_FALSE(fitsWithout(victim));
        }
    });
    cr_assert(holds);
}
