#ifndef COMPONENTS_WORKERS_REGISTRATION_HPP
#define COMPONENTS_WORKERS_REGISTRATION_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/resources.hpp"
#include "components/fleet/time.hpp"
#include "components/workers/worker_incarnation.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace workers
{

/// A worker's own entry in the platform's list of workers.
struct Registration
{
    WorkerIncarnation m_incarnation;
    fleet::ServiceId m_service;
    fleet::MachineId m_machine;
    /// IP address and port.
    std::string m_address;
    fleet::ZoneId m_zone;
    fleet::RackId m_rack;
    /// Kind of hardware, which a step may require.
    std::string m_kind;
    fleet::Resources m_capacity;
    bool m_isDraining = false;
    /// Draining workers: minimum time until the worker shuts down.
    std::optional<fleet::Duration> m_timeToShutdown;
    /// Remaining time for which the worker is slow after its start.
    fleet::Duration m_warmUpLeft {0};
    /// The worker's own steady clock when it wrote the entry.
    std::optional<std::int64_t> m_clockMs;

    bool operator==(const Registration &) const = default;
};

}

#endif
