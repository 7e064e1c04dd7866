#include "components/node/timing.hpp"

#include "components/node/settings.hpp"

#include <algorithm>

namespace node
{

namespace
{

/// Part of the bound for a change that is left for the way to the store and back.
constexpr fleet::Duration answerReserve {400};
/// Time beyond two waits after which a missing answer means that the store does not answer. It covers a slow store.
constexpr fleet::Duration maxAnswerDelay {1000};

/// Returns the time within which the instance has to know of any change by the operators.
fleet::Duration changeBound(const Settings &settings)
{
    return std::min({settings.m_catalogInForce, settings.m_zoneEvacuation, settings.m_keyRevocation - revocationMargin});
}

/// Two waits take four fifths of a long bound, and leave answerReserve of a short one.
fleet::Duration operatorReadWait(fleet::Duration bound)
{
    constexpr int numerator = 2;
    constexpr int denominator = 5;
    return std::min(bound * numerator / denominator, (bound - answerReserve) / 2);
}

}

Timing deriveTiming(const Settings &settings)
{
    Timing timing;
    timing.m_operatorReadWait = operatorReadWait(changeBound(settings));
    timing.m_maxAgeToDeny = settings.m_catalogInForce;
    timing.m_maxAgeToAllow = settings.m_keyRevocation - revocationMargin;
    timing.m_maxConfirmationAge = std::min(2 * timing.m_operatorReadWait + maxAnswerDelay, timing.m_maxAgeToAllow);
    return timing;
}

}
