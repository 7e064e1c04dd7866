#ifndef COMPONENTS_FLEET_URGENCY_HPP
#define COMPONENTS_FLEET_URGENCY_HPP

#include <cstdint>

namespace fleet
{

/// Urgency as the caller claims it. The account's hourly budget decides whether it counts.
enum class Urgency : std::uint8_t {
    Background,
    Normal,
    Urgent,
};

}

#endif
