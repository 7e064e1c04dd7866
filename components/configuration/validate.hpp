#ifndef COMPONENTS_CONFIGURATION_VALIDATE_HPP
#define COMPONENTS_CONFIGURATION_VALIDATE_HPP

#include <string>

namespace configuration
{

struct Change;
struct Configuration;

/// Returns why the change cannot be accepted and what to do about it; empty if it can.
///
/// Does not check the version that the change is based on. Called before an append, to save the operator a round trip,
/// and by every reader, because another program may have appended to the stream.
std::string findValidationError(const Configuration &configuration, const Change &change);

}

#endif
