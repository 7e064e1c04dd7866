#include "components/dispatch/launch_limits.hpp"

#include <algorithm>
#include <numeric>
#include <vector>

#include <criterion/criterion.h>
#include <rapidcheck.h>

namespace
{

using dispatch::allowance;

struct Taker
{
    int m_priority = 0;
    std::size_t m_own = 0;
};

std::size_t sumOf(const std::vector<Taker> &takers)
{
    return std::accumulate(takers.begin(), takers.end(), std::size_t {0}, [](std::size_t sum, const Taker &taker) {
        return sum + taker.m_own;
    });
}

}

Test(launchLimits, jobsTakeAllTheyMayInAnyOrder_theLimitHoldsAndUrgentOnesFindRoom)
{
    cr_assert(rc::check([] {
        const std::size_t limit = *rc::gen::inRange<std::size_t>(64, 20'000);
        std::vector<Taker> takers(*rc::gen::inRange<std::size_t>(1, 30));
        for (Taker &taker : takers) {
            taker.m_priority = *rc::gen::inRange(1, 4);
        }
        for (int round = 0; round < 200; ++round) {
            Taker &taker = takers[*rc::gen::inRange<std::size_t>(0, takers.size())];
            taker.m_own += allowance(limit, sumOf(takers), taker.m_own, taker.m_priority);
            RC_ASSERT(sumOf(takers) <= limit);
        }
        RC_ASSERT(allowance(limit, sumOf(takers), 0, 0) > 0U);
    }));
}

Test(launchLimits, twelveJobsTakeAllTheyMay_aFurtherOneFindsRoom)
{
    std::vector<Taker> takers(12);
    for (int round = 0; round < 100; ++round) {
        for (Taker &taker : takers) {
            taker.m_own += allowance(1024, sumOf(takers), taker.m_own, 0);
        }
    }
    cr_assert_gt(allowance(1024, sumOf(takers), 0, 0), 0U);
}

Test(launchLimits, onlyJob_mayHaveAnEighth)
{
    std::size_t own = 0;
    for (int round = 0; round < 100; ++round) {
        own += allowance(2400, own, own, 0);
    }
    cr_assert_eq(own, 2400U / 8);
}
