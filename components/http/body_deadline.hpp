#ifndef COMPONENTS_HTTP_BODY_DEADLINE_HPP
#define COMPONENTS_HTTP_BODY_DEADLINE_HPP

#include "components/http/server_settings.hpp"

namespace http
{

/// Returns how long after the end of the header more of the body has to arrive, if `received` bytes of it have arrived.
fleet::Duration bodyTimeLimit(const ServerSettings &settings, std::size_t received);

}

#endif
