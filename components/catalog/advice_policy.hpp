#ifndef COMPONENTS_CATALOG_ADVICE_POLICY_HPP
#define COMPONENTS_CATALOG_ADVICE_POLICY_HPP

#include "components/fleet/time.hpp"

namespace catalog
{

/// The workers that may run a step of this queue are known to an advice service only.
struct AdvicePolicy
{
    /// What one question costs, whatever it asks for, and for each worker that it names.
    fleet::Duration m_timePerQuestion {0};
    fleet::Duration m_timePerWorker {0};
    /// How long an answer may be used.
    fleet::Duration m_validFor {0};

    bool operator==(const AdvicePolicy &) const = default;
};

}

#endif
