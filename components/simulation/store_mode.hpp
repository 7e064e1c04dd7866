#ifndef COMPONENTS_SIMULATION_STORE_MODE_HPP
#define COMPONENTS_SIMULATION_STORE_MODE_HPP

#include <cstdint>

namespace simulation
{

/// How the store treats calls.
enum class StoreMode : std::uint8_t {
    Available,
    /// The store neither carries out nor answers calls.
    Unresponsive,
    /// The store answers every call with a refusal.
    Busy,
};

}

#endif
