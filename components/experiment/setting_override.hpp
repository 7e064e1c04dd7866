#ifndef COMPONENTS_EXPERIMENT_SETTING_OVERRIDE_HPP
#define COMPONENTS_EXPERIMENT_SETTING_OVERRIDE_HPP

#include "components/scheduler/settings.hpp"

#include <string>

namespace experiment
{

/// Sets one scheduler setting, given as `name=value`, for an experiment. Times are in seconds.
/// Throws std::invalid_argument if the name is unknown (the message lists the valid names) or the value is not a number.
void overrideSetting(scheduler::Settings &settings, const std::string &assignment);

}

#endif
