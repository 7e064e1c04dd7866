#ifndef COMPONENTS_WIRE_AUTHENTICATION_ERROR_HPP
#define COMPONENTS_WIRE_AUTHENTICATION_ERROR_HPP

#include <stdexcept>

namespace wire
{

/// A message has no valid tag, is addressed to another instance, or was received before. The receiver counts and drops it.
class AuthenticationError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

}

#endif
