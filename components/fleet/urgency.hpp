#ifndef COMPONENTS_FLEET_URGENCY_HPP
#define COMPONENTS_FLEET_URGENCY_HPP

#include <cstdint>

namespace fleet
{

/// Urgency as requested by the caller. It takes effect only within the account's hourly budget.
enum class Urgency : std::uint8_t {
    Background,
    Normal,
    Urgent,
};

}

#endif
