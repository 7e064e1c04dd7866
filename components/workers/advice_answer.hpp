#ifndef COMPONENTS_WORKERS_ADVICE_ANSWER_HPP
#define COMPONENTS_WORKERS_ADVICE_ANSWER_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/time.hpp"

#include <map>
#include <string>

namespace workers
{

/// What the advice service said.
struct AdviceAnswer
{
    bool m_isAnswered = false;
    /// Tickets of the workers that may run the step; the others that were named may not.
    std::map<fleet::WorkerId, std::string> m_tickets;
    /// How long the tickets may be used.
    fleet::Duration m_validFor {0};
    std::string m_reason;

    bool operator==(const AdviceAnswer &) const = default;
};

}

#endif
