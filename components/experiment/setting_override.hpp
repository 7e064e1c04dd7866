#ifndef COMPONENTS_EXPERIMENT_SETTING_OVERRIDE_HPP
#define COMPONENTS_EXPERIMENT_SETTING_OVERRIDE_HPP

#include "components/scheduler/settings.hpp"

#include <string>

namespace experiment
{

/// Changes one setting of the scheduler by `name=value`, for one round of measurement. Times are in seconds.
/// Throws std::invalid_argument where the name is unknown or the value is no number; the message lists the names.
void overrideSetting(scheduler::Settings &settings, const std::string &assignment);

}

#endif
