#ifndef COMPONENTS_LOGGING_LINE_BUDGET_HPP
#define COMPONENTS_LOGGING_LINE_BUDGET_HPP

namespace logging
{

/// How many lines of one kind of event may be written in a second, and at once.
struct LineBudget
{
    double m_perSecond = 100;
    double m_burst = 400;
};

}

#endif
