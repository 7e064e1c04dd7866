#ifndef COMPONENTS_DISPATCH_RUN_PHASE_HPP
#define COMPONENTS_DISPATCH_RUN_PHASE_HPP

#include <cstdint>

namespace dispatch
{

enum class RunPhase : std::uint8_t {
    /// The launch is not stored yet, and no order was sent.
    Recording,
    /// Start orders are sent until one is answered.
    Starting,
    /// The worker confirmed the start or reported the run.
    Running,
};

}

#endif
