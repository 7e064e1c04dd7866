#include "components/fleet/resources.hpp"
#include "components/fleet/shape.hpp"

#include <rapidcheck.h>

#include <criterion/criterion.h>

Test(resources, largerThanCapacityInOnePart_fitsIn_isFalse)
{
    const fleet::Resources capacity {32000, 64000, 8};
    cr_assert((fleet::Resources {32000, 64000, 8}.fitsIn(capacity)));
    cr_assert_not((fleet::Resources {1, 1, 9}.fitsIn(capacity)));
}

Test(shape, anyTaskCount_total_isPerTaskTimesCount)
{
    const bool holds = rc::check([] {
        const int tasks = *rc::gen::inRange(1, 65);
        const fleet::Shape shape {tasks, {1000, 2000, 1}, fleet::Adjacency::SameRack};
        RC_ASSERT(shape.total() == (fleet::Resources {1000 * tasks, 2000 * tasks, tasks}));
    });
    cr_assert(holds);
}
