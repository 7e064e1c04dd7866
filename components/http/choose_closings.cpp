#include "components/http/choose_closings.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace http
{

namespace
{

std::vector<ConnectionUse> closable(const std::vector<ConnectionUse> &uses)
{
    std::vector<ConnectionUse> result;
    std::copy_if(uses.begin(), uses.end(), std::back_inserter(result), [](const ConnectionUse &use) {
        return use.m_phase != ConnectionPhase::Handling;
    });
    return result;
}

/// Held bytes times milliseconds without progress. At least a millisecond counts, so that of two active connections the larger one comes first.
double costOf(const ConnectionUse &use, SteadyTime now)
{
    const auto stalled = std::chrono::duration_cast<std::chrono::milliseconds>(now - use.m_progressedAt);
    return static_cast<double>(use.m_heldBytes) * static_cast<double>(std::max<std::int64_t>(1, stalled.count()));
}

}

std::vector<std::uint64_t> chooseClosingsForBytes(const std::vector<ConnectionUse> &uses, std::size_t bytes, SteadyTime now)
{
    std::vector<ConnectionUse> candidates = closable(uses);
    std::sort(candidates.begin(), candidates.end(), [now](const ConnectionUse &left, const ConnectionUse &right) {
        return std::tuple(-costOf(left, now), left.m_number) < std::tuple(-costOf(right, now), right.m_number);
    });
    std::vector<std::uint64_t> chosen;
    std::size_t freed = 0;
    for (const ConnectionUse &use : candidates) {
        if (freed >= bytes) {
            break;
        }
        if (use.m_phase == ConnectionPhase::Idle || use.m_heldBytes == 0) {
            continue;
        }
        chosen.push_back(use.m_number);
        freed += use.m_heldBytes;
    }
    return chosen;
}

std::vector<std::uint64_t> chooseClosingsForCount(const std::vector<ConnectionUse> &uses, std::size_t count)
{
    std::vector<ConnectionUse> candidates = closable(uses);
    std::sort(candidates.begin(), candidates.end(), [](const ConnectionUse &left, const ConnectionUse &right) {
        return std::tuple(left.m_isServed, left.m_progressedAt, left.m_number) < std::tuple(right.m_isServed, right.m_progressedAt, right.m_number);
    });
    std::vector<std::uint64_t> chosen;
    for (std::size_t i = 0; i < std::min(count, candidates.size()); ++i) {
        chosen.push_back(candidates[i].m_number);
    }
    return chosen;
}

}
