#include "components/node/settings.hpp"
#include "components/node/timing.hpp"

#include <chrono>

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace std::chrono_literals;

namespace
{

/// Longest way to the store and back, with the answer, that the relations below allow for.
constexpr fleet::Duration storeRoundTrip {150};

fleet::Duration drawBound(fleet::Duration minimum, fleet::Duration maximum)
{
    return fleet::Duration(*rc::gen::inRange<std::int64_t>(minimum.count(), maximum.count() + 1));
}

/// Draws bounds over the ranges that the settings accept.
node::Settings drawSettings()
{
    node::Settings settings;
    settings.m_catalogInForce = drawBound(node::minOperatorChangeBound, 1min);
    settings.m_zoneEvacuation = drawBound(node::minOperatorChangeBound, 1min);
    settings.m_keyRevocation = drawBound(node::minOperatorChangeBound + node::revocationMargin, 1h);
    return settings;
}

}

Test(timing, anyBounds_healthyCopyIsYoungerThanEachLimit)
{
    const bool holds = rc::check("two waits and their answers are within every limit", [] {
        const node::Timing timing = node::deriveTiming(drawSettings());
        const fleet::Duration oldest = 2 * (timing.m_operatorReadWait + storeRoundTrip);
        RC_ASSERT(oldest <= timing.m_maxConfirmationAge);
        RC_ASSERT(oldest <= timing.m_maxAgeToDeny);
        RC_ASSERT(oldest <= timing.m_maxAgeToAllow);
    });
    cr_assert(holds);
}

Test(timing, anyBounds_changesAreKnownInTime)
{
    const bool holds = rc::check("a copy that allows a call is younger than the bound", [] {
        const node::Settings settings = drawSettings();
        const node::Timing timing = node::deriveTiming(settings);
        const fleet::Duration oldest = 2 * (timing.m_operatorReadWait + storeRoundTrip);
        RC_ASSERT(oldest <= settings.m_catalogInForce);
        RC_ASSERT(oldest <= settings.m_zoneEvacuation);
        RC_ASSERT(timing.m_maxAgeToAllow < settings.m_keyRevocation);
        RC_ASSERT(timing.m_operatorReadWait > fleet::Duration(0));
    });
    cr_assert(holds);
}

Test(timing, bound_isMetByTheShortestOne)
{
    node::Settings settings;
    settings.m_catalogInForce = 8s;
    settings.m_zoneEvacuation = 2s;
    settings.m_keyRevocation = 20s;
    cr_assert_eq(node::deriveTiming(settings).m_operatorReadWait.count(), 800);
}
