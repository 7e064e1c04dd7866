#include "components/placement/place.hpp"

#include <rapidcheck.h>

#include <criterion/criterion.h>

namespace
{

constexpr fleet::Resources worker {32000, 64000, 8};

/// Two racks of two workers.
placement::Pool makePool()
{
    placement::Pool pool;
    for (int index = 0; index < 4; ++index) {
        placement::addNode(pool, worker, index / 2);
    }
    return pool;
}

fleet::Shape makeShape(int tasks, int accelerators, fleet::Adjacency adjacency)
{
    return {tasks, {1000, 1000, accelerators}, adjacency};
}

}

Test(placement, freeRack_gangOfTwoWholeWorkers_isPlacedInOneRack)
{
    placement::Pool pool = makePool();
    placement::allocate(pool, 0, {1000, 1000, 1});
    const auto assignment = placement::place(pool, makeShape(2, 8, fleet::Adjacency::SameRack), placement::Rule::BestFit);
    cr_assert(assignment.has_value());
    cr_assert((*assignment == placement::Assignment {2, 3}));
}

Test(placement, noRackWithCapacity_gangOfSameRack_isNotPlaced)
{
    placement::Pool pool = makePool();
    placement::allocate(pool, 0, {1000, 1000, 1});
    placement::allocate(pool, 2, {1000, 1000, 1});
    cr_assert_not(placement::place(pool, makeShape(2, 8, fleet::Adjacency::SameRack), placement::Rule::BestFit).has_value());
}

Test(placement, partlyUsedWorker_smallTask_goesThereAndNotOnAFreeWorker)
{
    placement::Pool pool = makePool();
    placement::allocate(pool, 3, {1000, 1000, 6});
    const auto assignment = placement::place(pool, makeShape(1, 2, fleet::Adjacency::SameZone), placement::Rule::BestFit);
    cr_assert((*assignment == placement::Assignment {3}));
}

Test(placement, unusableWorker_anyTask_isNotPlacedThere)
{
    placement::Pool pool = makePool();
    for (placement::Node &node : pool.m_nodes) {
        node.m_usable = false;
    }
    cr_assert_not(placement::place(pool, makeShape(1, 0, fleet::Adjacency::SameZone), placement::Rule::FirstFit).has_value());
}

Test(placement, anyPoolAndShape_assignment_fitsAndIsAdjacent)
{
    const bool holds = rc::check([] {
        placement::Pool pool = makePool();
        for (int node = 0; node < 4; ++node) {
            placement::allocate(pool, node, {0, 0, *rc::gen::inRange(0, 9)});
        }
        const auto adjacency = *rc::gen::element(fleet::Adjacency::SameZone, fleet::Adjacency::SameRack, fleet::Adjacency::SameWorker);
        const auto rule = *rc::gen::element(placement::Rule::FirstFit, placement::Rule::BestFit);
        const fleet::Shape shape = makeShape(*rc::gen::inRange(1, 12), *rc::gen::inRange(0, 9), adjacency);
        const auto assignment = placement::place(pool, shape, rule);
        if (!assignment) {
            RC_ASSERT_FALSE(placement::fitsOn(pool, pool.m_racks[0], shape));
            return;
        }
        RC_ASSERT(static_cast<int>(assignment->size()) == shape.m_tasks);
        placement::allocate(pool, *assignment, shape.m_perTask);
        for (const int node : *assignment) {
            RC_ASSERT(pool.m_nodes[node].m_free.m_accelerators >= 0);
            RC_ASSERT(adjacency != fleet::Adjacency::SameWorker || node == assignment->front());
            RC_ASSERT(adjacency == fleet::Adjacency::SameZone || pool.m_nodes[node].m_rack == pool.m_nodes[assignment->front()].m_rack);
        }
    });
    cr_assert(holds);
}
