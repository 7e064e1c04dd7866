#include "components/experiment/delivery.hpp"

#include "components/experiment/audit.hpp"

namespace experiment
{

namespace
{

constexpr fleet::Duration defaultDelay {3};
constexpr fleet::Duration maxReportDelay = std::chrono::seconds(20);
constexpr fleet::Duration minSlowReportDelay = std::chrono::seconds(2);
constexpr fleet::Duration maxSlowReportDelay = std::chrono::seconds(8);

std::vector<fleet::Duration> drawDelays(const MessageFaults &faults, fleet::Duration minDelay, fleet::Duration maxDelay, Random &random)
{
    if (chance(random, faults.m_lost)) {
        return {};
    }
    std::vector<fleet::Duration> copies {minDelay};
    if (chance(random, faults.m_late)) {
        copies.front() = uniformDuration(random, minDelay, maxDelay);
    }
    if (chance(random, faults.m_duplicated)) {
        copies.push_back(uniformDuration(random, minDelay, maxDelay));
    }
    return copies;
}

}

std::vector<fleet::Duration> drawCommandDelays(const MessageFaults &faults, Random &random)
{
    return drawDelays(faults, defaultDelay, maxCommandDelay, random);
}

std::vector<fleet::Duration> drawReportDelays(const MessageFaults &faults, bool isSlow, Random &random)
{
    const fleet::Duration minDelay = isSlow ? uniformDuration(random, minSlowReportDelay, maxSlowReportDelay) : defaultDelay;
    return drawDelays(faults, minDelay, maxReportDelay, random);
}

}
