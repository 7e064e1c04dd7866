#ifndef COMPONENTS_WORKERS_ADVICE_ANSWER_HPP
#define COMPONENTS_WORKERS_ADVICE_ANSWER_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/time.hpp"

#include <map>
#include <string>

namespace workers
{

/// Answer of the advice service.
struct AdviceAnswer
{
    bool m_isAnswered = false;
    /// Tickets of the workers that may run the step. Workers of the question that are missing here may not.
    std::map<fleet::WorkerId, std::string> m_tickets;
    /// How long the tickets are valid.
    fleet::Duration m_validFor {0};
    std::string m_reason;

    bool operator==(const AdviceAnswer &) const = default;
};

}

#endif
