#ifndef COMPONENTS_DISPATCH_SPEED_PREFERENCE_HPP
#define COMPONENTS_DISPATCH_SPEED_PREFERENCE_HPP

namespace dispatch
{

/// Which workers a step should get first, by their learned speed.
enum class SpeedPreference {
    /// Speed is not considered.
    None,
    /// The step has little slack: it misses its objective on a slow worker.
    Fastest,
    /// The step meets its objective on slow workers too, so that the fast ones are left for steps with little slack.
    Slowest,
};

}

#endif
