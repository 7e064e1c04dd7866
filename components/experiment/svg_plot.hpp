#ifndef COMPONENTS_EXPERIMENT_SVG_PLOT_HPP
#define COMPONENTS_EXPERIMENT_SVG_PLOT_HPP

#include "components/experiment/summary.hpp"

#include <string>
#include <vector>

namespace experiment
{

/// Share of sound jobs completed against completion time on a logarithmic axis, one line a summary, as an SVG document.
std::string completionPlot(const std::vector<Summary> &summaries);

}

#endif
