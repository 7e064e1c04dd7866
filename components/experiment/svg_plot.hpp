#ifndef COMPONENTS_EXPERIMENT_SVG_PLOT_HPP
#define COMPONENTS_EXPERIMENT_SVG_PLOT_HPP

#include "components/experiment/summary.hpp"

#include <string>
#include <vector>

namespace experiment
{

/// Returns an SVG plot of the share of completed sound jobs over completion time (logarithmic), one line per summary.
std::string completionPlot(const std::vector<Summary> &summaries);

}

#endif
