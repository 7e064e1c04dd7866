#ifndef COMPONENTS_PLATFORM_STANDIN_INSTANCE_ENDPOINTS_HPP
#define COMPONENTS_PLATFORM_STANDIN_INSTANCE_ENDPOINTS_HPP

#include "components/settings/endpoint.hpp"

namespace platform_standin
{

/// Endpoints of an instance that the stand-in forwards calls to: for the calls and for readiness probes.
struct InstanceEndpoints
{
    settings::Endpoint m_callers;
    settings::Endpoint m_readiness;

    bool operator==(const InstanceEndpoints &) const = default;
};

}

#endif
