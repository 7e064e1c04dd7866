#ifndef COMPONENTS_SIMULATION_STORE_MODE_HPP
#define COMPONENTS_SIMULATION_STORE_MODE_HPP

#include <cstdint>

namespace simulation
{

/// How the store treats calls.
enum class StoreMode : std::uint8_t {
    Available,
    /// Nothing is done and nothing answered.
    Unresponsive,
    /// Nothing is done, and the store says so.
    Busy,
};

}

#endif
