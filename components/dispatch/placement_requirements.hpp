#ifndef COMPONENTS_DISPATCH_PLACEMENT_REQUIREMENTS_HPP
#define COMPONENTS_DISPATCH_PLACEMENT_REQUIREMENTS_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/resources.hpp"

#include <cstddef>
#include <string>

namespace dispatch
{

/// Properties that decide whether a step can be placed, apart from the number of its tasks.
struct PlacementRequirements
{
    fleet::ServiceId m_service;
    std::string m_label;
    fleet::Resources m_perTask;
    int m_rank = 0;
    bool m_isGang = false;
    bool m_requiresOneRack = false;
    /// True for best-effort steps that keep off workers with serving tasks.
    bool m_avoidsServing = false;
    /// Number of reservations whose capacity the step may use, since it should be done before they are met.
    std::size_t m_usableReservations = 0;

    bool operator==(const PlacementRequirements &) const = default;
};

}

#endif
