#ifndef COMPONENTS_EXPERIMENT_JSON_REPORT_HPP
#define COMPONENTS_EXPERIMENT_JSON_REPORT_HPP

#include "components/experiment/comparison.hpp"

#include <string>

namespace experiment
{

/// Returns the summary as a JSON object: mean and spread of every measure, and the statistics and violations of each seed.
std::string toJson(const Summary &summary);

/// Returns both summaries, the ratios and the checks as a JSON object.
std::string toJson(const Comparison &comparison);

}

#endif
