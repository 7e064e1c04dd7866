#ifndef COMPONENTS_EXPERIMENT_JSON_REPORT_HPP
#define COMPONENTS_EXPERIMENT_JSON_REPORT_HPP

#include "components/experiment/comparison.hpp"

#include <string>

namespace experiment
{

/// The summary as one JSON object: mean and spread of every measure, each seed's figures and violations.
std::string toJson(const Summary &summary);

/// Both summaries, the ratios and the targets as one JSON object.
std::string toJson(const Comparison &comparison);

}

#endif
