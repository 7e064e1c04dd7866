#ifndef COMPONENTS_LOGGING_LINE_BUDGET_HPP
#define COMPONENTS_LOGGING_LINE_BUDGET_HPP

namespace logging
{

/// Rate limit for the lines of one kind of event: lines per second, and the largest burst.
struct LineBudget
{
    double m_perSecond = 100;
    double m_burst = 400;
};

}

#endif
