#include "components/settings/endpoint.hpp"

namespace settings
{

std::string toString(const Endpoint &endpoint)
{
    return endpoint.m_address + ":" + std::to_string(endpoint.m_port);
}

}
