#ifndef COMPONENTS_SIMULATION_MACHINE_MODEL_HPP
#define COMPONENTS_SIMULATION_MACHINE_MODEL_HPP

#include "components/fleet/fencing_token.hpp"
#include "components/fleet/identifiers.hpp"

#include <cstdint>
#include <map>
#include <set>

namespace simulation
{

/// Model of the platform's machine service with the published behaviour: one upkeep per machine and wave, fenced per machine.
struct MachineModel
{
    std::map<fleet::MachineId, fleet::FencingToken> m_fencingTokens;
    std::map<std::uint64_t, std::set<fleet::MachineId>> m_startedUpkeeps;
    std::set<fleet::MachineId> m_machinesDown;
    /// Highest number of machines that were down at the same time.
    std::size_t m_maxMachinesDown = 0;
    /// Latest report to the operators for each wave; true if it said that the wave is completed.
    std::map<std::uint64_t, bool> m_reportedCompletion;
    /// Number of reports that said a wave is completed before it was.
    int m_falseReports = 0;
};

}

#endif
