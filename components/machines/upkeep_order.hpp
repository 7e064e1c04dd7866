#ifndef COMPONENTS_MACHINES_UPKEEP_ORDER_HPP
#define COMPONENTS_MACHINES_UPKEEP_ORDER_HPP

#include "components/fleet/fencing_token.hpp"
#include "components/fleet/identifiers.hpp"

#include <cstdint>

namespace machines
{

/// Takes a machine down for the upkeep of a wave. Idempotent. All runs on the machine end immediately.
struct UpkeepOrder
{
    std::uint64_t m_wave = 0;
    fleet::MachineId m_machine;
    fleet::InstanceId m_holder;
    fleet::FencingToken m_token;

    bool operator==(const UpkeepOrder &) const = default;
};

}

#endif
