#ifndef COMPONENTS_EXPERIMENT_COMPARISON_HPP
#define COMPONENTS_EXPERIMENT_COMPARISON_HPP

#include "components/experiment/summary.hpp"

#include <string>
#include <vector>

namespace experiment
{

/// One promise of the policy at one site and what was measured.
struct AcceptanceCheck
{
    std::string m_name;
    double m_measured = 0.0;
    double m_limit = 0.0;
    /// The measured value must be below the limit, not just at most the limit.
    bool m_isStrict = false;

    bool isPassed() const
    {
        return m_isStrict ? m_measured < m_limit : m_measured <= m_limit;
    }
};

/// Baseline and present policy over the same seeds.
struct Comparison
{
    Summary m_baseline;
    Summary m_present;
    std::vector<AcceptanceCheck> m_checks;
};

/// Compares means over the seeds. The targets are those of the site that both summaries name.
Comparison compare(Summary baseline, Summary present);

/// True where every target holds and no run under the present policy broke a promise.
bool passes(const Comparison &comparison);

/// Present mean over baseline mean of one measure; 0 where the baseline's is 0.
double ratioOf(const Comparison &comparison, std::size_t measure);

}

#endif
