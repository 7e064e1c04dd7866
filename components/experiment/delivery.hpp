#ifndef COMPONENTS_EXPERIMENT_DELIVERY_HPP
#define COMPONENTS_EXPERIMENT_DELIVERY_HPP

#include "components/experiment/fault_plan.hpp"
#include "components/experiment/random.hpp"

#include <vector>

namespace experiment
{

/// Delays of the copies of one message that arrive: none where it is lost, two where it is duplicated.
std::vector<fleet::Duration> drawCommandDelays(const MessageFaults &faults, Random &random);

/// As commandDelays(), for a report; `isSlow` where the worker answers slowly at present.
std::vector<fleet::Duration> drawReportDelays(const MessageFaults &faults, bool isSlow, Random &random);

}

#endif
