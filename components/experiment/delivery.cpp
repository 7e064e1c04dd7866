#include "components/experiment/delivery.hpp"

#include "components/experiment/audit.hpp"

namespace experiment
{

namespace
{

constexpr fleet::Duration usualDelay {3};
constexpr fleet::Duration lateReport = std::chrono::seconds(20);
constexpr fleet::Duration shortestSlowReport = std::chrono::seconds(2);
constexpr fleet::Duration longestSlowReport = std::chrono::seconds(8);

std::vector<fleet::Duration> delays(const MessageFaults &faults, fleet::Duration usual, fleet::Duration longest, Random &random)
{
    if (chance(random, faults.m_lost)) {
        return {};
    }
    std::vector<fleet::Duration> copies {usual};
    if (chance(random, faults.m_late)) {
        copies.front() = uniformDuration(random, usual, longest);
    }
    if (chance(random, faults.m_duplicated)) {
        copies.push_back(uniformDuration(random, usual, longest));
    }
    return copies;
}

}

std::vector<fleet::Duration> commandDelays(const MessageFaults &faults, Random &random)
{
    return delays(faults, usualDelay, longestCommandDelay, random);
}

std::vector<fleet::Duration> reportDelays(const MessageFaults &faults, bool isSlow, Random &random)
{
    const fleet::Duration usual = isSlow ? uniformDuration(random, shortestSlowReport, longestSlowReport) : usualDelay;
    return delays(faults, usual, lateReport, random);
}

}
