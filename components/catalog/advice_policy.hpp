#ifndef COMPONENTS_CATALOG_ADVICE_POLICY_HPP
#define COMPONENTS_CATALOG_ADVICE_POLICY_HPP

#include "components/fleet/time.hpp"

namespace catalog
{

/// Settings of a queue for which an advice service decides which workers may run a step.
struct AdvicePolicy
{
    /// Time that one question takes: a fixed part, and a part for each worker that it names.
    fleet::Duration m_timePerQuestion {0};
    fleet::Duration m_timePerWorker {0};
    /// How long an answer is valid.
    fleet::Duration m_validFor {0};

    bool operator==(const AdvicePolicy &) const = default;
};

}

#endif
