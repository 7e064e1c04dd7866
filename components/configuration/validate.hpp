#ifndef COMPONENTS_CONFIGURATION_VALIDATE_HPP
#define COMPONENTS_CONFIGURATION_VALIDATE_HPP

#include <string>

namespace configuration
{

struct Change;
struct Configuration;

/// Returns why the change cannot be accepted and what to do about it; empty where it can.
///
/// The version that the change was made from is not looked at here. Used before an append, to spare the operator a
/// round trip, and by every reader, since a stream may hold what another program appended.
std::string findValidationError(const Configuration &configuration, const Change &change);

}

#endif
