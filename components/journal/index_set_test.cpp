#include "components/journal/index_set.hpp"

#include <algorithm>
#include <set>
#include <vector>

#include <criterion/criterion.h>
#include <rapidcheck.h>

namespace journal::test
{

Test(indexSet, membersInAnyOrder_sameAsASetOfIndices)
{
    cr_assert(rc::check([] {
        const auto indices = *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange<std::uint32_t>(0, 40));
        IndexSet set;
        std::set<std::uint32_t> expected;
        for (const std::uint32_t index : indices) {
            set.insert(index);
            expected.insert(index);
        }
        RC_ASSERT(set.size() == expected.size());
        for (std::uint32_t index = 0; index < 42; ++index) {
            RC_ASSERT(set.contains(index) == expected.contains(index));
            std::uint32_t missing = index;
            while (expected.contains(missing)) {
                ++missing;
            }
            RC_ASSERT(set.firstMissing(index) == missing);
        }
    }));
}

/// Guards against memory for each done occurrence of a job with many.
Test(indexSet, millionIndicesInTwoInterleavedPasses_oneRangeIsLeft)
{
    constexpr std::uint32_t count = 1'000'000;
    IndexSet set;
    for (std::uint32_t index = 0; index < count; index += 2) {
        set.insert(index);
    }
    for (std::uint32_t index = 1; index < count; index += 2) {
        set.insert(index);
    }
    cr_assert_eq(set.size(), count);
    cr_assert_eq(set.rangeCount(), 1U);
    cr_assert_eq(set.firstMissing(0), count);
}

}
