#include "components/dispatch/eviction_policy.hpp"

namespace dispatch
{

namespace
{

constexpr int urgentPriority = 0;
/// How long a step that is not urgent waits before runs are stopped for it, and what each of them may lose.
constexpr fleet::Duration waitBeforeEviction {1000};
constexpr fleet::Duration smallLoss {750};

}

std::optional<fleet::Duration> acceptableLoss(int priority, fleet::Duration waited)
{
    if (priority == urgentPriority) {
        return fleet::Duration::max();
    }
    return waited < waitBeforeEviction ? std::nullopt : std::optional(smallLoss);
}

}
