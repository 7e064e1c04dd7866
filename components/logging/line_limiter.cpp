#include "components/logging/line_limiter.hpp"

#include <algorithm>
#include <utility>

namespace logging
{

namespace
{

constexpr double millisecondsPerSecond = 1000;

}

bool admitLine(LineLimiter &limiter, const std::string &kind, fleet::BootTime now)
{
    const auto [found, isNew] = limiter.m_allowances.try_emplace(kind, LineAllowance {limiter.m_budget.m_burst, now, 0});
    LineAllowance &allowance = found->second;
    const double earned = static_cast<double>((now - allowance.m_updatedAt).count()) / millisecondsPerSecond * limiter.m_budget.m_perSecond;
    allowance.m_available = std::min(limiter.m_budget.m_burst, allowance.m_available + earned);
    allowance.m_updatedAt = now;
    if (allowance.m_available < 1) {
        ++allowance.m_suppressed;
        return false;
    }
    allowance.m_available -= 1;
    return true;
}

std::map<std::string, std::uint64_t> takeSuppressed(LineLimiter &limiter)
{
    std::map<std::string, std::uint64_t> suppressed;
    for (auto &[kind, allowance] : limiter.m_allowances) {
        if (allowance.m_suppressed > 0) {
            suppressed[kind] = std::exchange(allowance.m_suppressed, 0);
        }
    }
    return suppressed;
}

}
