#ifndef COMPONENTS_EXPERIMENT_DELIVERY_HPP
#define COMPONENTS_EXPERIMENT_DELIVERY_HPP

#include "components/experiment/fault_plan.hpp"
#include "components/experiment/random.hpp"

#include <vector>

namespace experiment
{

/// Draws the delays of the copies of one command message that arrive: none if it is lost, two if it is duplicated.
std::vector<fleet::Duration> drawCommandDelays(const MessageFaults &faults, Random &random);

/// As drawCommandDelays(), for a report. `isSlow` is true while the worker responds slowly.
std::vector<fleet::Duration> drawReportDelays(const MessageFaults &faults, bool isSlow, Random &random);

}

#endif
