#ifndef COMPONENTS_EXPERIMENT_COMPARISON_HPP
#define COMPONENTS_EXPERIMENT_COMPARISON_HPP

#include "components/experiment/summary.hpp"

#include <string>
#include <vector>

namespace experiment
{

/// A limit that the current policy must meet at one site, and the measured value.
struct AcceptanceCheck
{
    std::string m_name;
    double m_measured = 0.0;
    double m_limit = 0.0;
    /// The measured value must be less than the limit; otherwise it may equal the limit.
    bool m_isStrict = false;

    bool isPassed() const
    {
        return m_isStrict ? m_measured < m_limit : m_measured <= m_limit;
    }
};

/// Results of the baseline and the current policy over the same seeds.
struct Comparison
{
    Summary m_baseline;
    Summary m_present;
    std::vector<AcceptanceCheck> m_checks;
};

/// Compares the two policies and evaluates the checks of the site that both summaries name.
Comparison compare(Summary baseline, Summary present);

/// Returns true if every check passes and no run under the current policy has a violation.
bool passes(const Comparison &comparison);

/// Ratio of the current policy's mean to the baseline's mean for one measure. 0 if the baseline's mean is 0.
double ratioOf(const Comparison &comparison, std::size_t measure);

}

#endif
