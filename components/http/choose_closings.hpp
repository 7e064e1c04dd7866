#ifndef COMPONENTS_HTTP_CHOOSE_CLOSINGS_HPP
#define COMPONENTS_HTTP_CHOOSE_CLOSINGS_HPP

#include "components/http/connection_use.hpp"

#include <vector>

namespace http
{

/// Chooses the connections to close so that at least `bytes` are freed, or all that can be if they hold less. Those that hold most and
/// have progressed least come first: connections are ordered by held bytes times the time since their last progress.
/// Requests that the handler has and idle connections, which hold next to nothing, are never chosen.
/// @return Numbers of the chosen connections, in the order in which they are to be closed.
std::vector<std::uint64_t> chooseClosingsForBytes(const std::vector<ConnectionUse> &uses, std::size_t bytes, SteadyTime now);

/// Chooses the connections to close so that `count` become free, or fewer if there are not that many. Connections that were never
/// served come first, then those without progress for longest. Requests that the handler has are never chosen.
std::vector<std::uint64_t> chooseClosingsForCount(const std::vector<ConnectionUse> &uses, std::size_t count);

}

#endif
