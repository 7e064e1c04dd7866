#ifndef COMPONENTS_PLATFORM_STANDIN_INSTANCE_ENDPOINTS_HPP
#define COMPONENTS_PLATFORM_STANDIN_INSTANCE_ENDPOINTS_HPP

#include "components/settings/endpoint.hpp"

namespace platform_standin
{

/// An instance that callers are sent to, and where it tells whether it is ready.
struct InstanceEndpoints
{
    settings::Endpoint m_callers;
    settings::Endpoint m_readiness;

    bool operator==(const InstanceEndpoints &) const = default;
};

}

#endif
