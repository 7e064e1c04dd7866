#ifndef COMPONENTS_FLEET_ADJACENCY_HPP
#define COMPONENTS_FLEET_ADJACENCY_HPP

#include <cstdint>

namespace fleet
{

/// How close together the tasks of one gang must run. A gang never spans availability zones.
enum class Adjacency : std::uint8_t {
    SameZone,
    SameRack,
    SameWorker,
};

}

#endif
