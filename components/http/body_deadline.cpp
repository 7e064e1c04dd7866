#include "components/http/body_deadline.hpp"

#include <algorithm>

namespace http
{

namespace
{

constexpr std::size_t millisecondsPerSecond = 1000;

}

fleet::Duration bodyTimeLimit(const ServerSettings &settings, std::size_t received)
{
    const std::size_t rate = std::max<std::size_t>(1, settings.m_bodyRate);
    const fleet::Duration earned(static_cast<fleet::Duration::rep>(received * millisecondsPerSecond / rate));
    return std::min(settings.m_bodyTimeout, settings.m_bodyGrace + earned);
}

}
