#ifndef COMPONENTS_FLEET_IDENTIFIERS_HPP
#define COMPONENTS_FLEET_IDENTIFIERS_HPP

#include "components/fleet/identifier.hpp"

namespace fleet
{

using AccountId = Identifier<struct AccountTag>;
using InstanceId = Identifier<struct InstanceTag>;
using JobId = Identifier<struct JobTag>;
using MachineId = Identifier<struct MachineTag>;
using OperatorId = Identifier<struct OperatorTag>;
using QueueId = Identifier<struct QueueTag>;
using RackId = Identifier<struct RackTag>;
using RegionId = Identifier<struct RegionTag>;
using RequestId = Identifier<struct RequestTag>;
using RunnerId = Identifier<struct RunnerTag>;
using ServiceId = Identifier<struct ServiceTag>;
using WorkerId = Identifier<struct WorkerTag>;
using ZoneId = Identifier<struct ZoneTag>;

}

#endif
