#ifndef COMPONENTS_SIMULATION_MACHINE_MODEL_HPP
#define COMPONENTS_SIMULATION_MACHINE_MODEL_HPP

#include "components/fleet/fencing_token.hpp"
#include "components/fleet/identifiers.hpp"

#include <cstdint>
#include <map>
#include <set>

namespace simulation
{

/// The platform's service for machines as published: an upkeep of each machine in a wave, once, fenced for each machine.
struct MachineModel
{
    std::map<fleet::MachineId, fleet::FencingToken> m_fencingTokens;
    std::map<std::uint64_t, std::set<fleet::MachineId>> m_startedUpkeeps;
    std::set<fleet::MachineId> m_machinesDown;
    /// Most machines that were down at the same time.
    std::size_t m_maxMachinesDown = 0;
    /// What the operators were told last, by wave: true where it is completed.
    std::map<std::uint64_t, bool> m_reportedCompletion;
    /// Reports of completion that were not true.
    int m_falseReports = 0;
};

}

#endif
