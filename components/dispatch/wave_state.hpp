#ifndef COMPONENTS_DISPATCH_WAVE_STATE_HPP
#define COMPONENTS_DISPATCH_WAVE_STATE_HPP

#include "components/dispatch/machine_upkeep.hpp"
#include "components/fleet/boot_time.hpp"
#include "components/fleet/identifiers.hpp"
#include "components/machines/wave_report.hpp"

#include <map>
#include <optional>

namespace dispatch
{

/// Progress of an upkeep wave.
struct WaveState
{
    std::map<fleet::MachineId, MachineUpkeep> m_machines;
    std::optional<machines::WaveReport> m_reported;
    bool m_isReportOpen = false;
    fleet::BootTime m_nextReportAt;
};

}

#endif
