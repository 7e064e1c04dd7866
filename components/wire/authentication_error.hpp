#ifndef COMPONENTS_WIRE_AUTHENTICATION_ERROR_HPP
#define COMPONENTS_WIRE_AUTHENTICATION_ERROR_HPP

#include <stdexcept>

namespace wire
{

/// A message that does not come from an instance of this site, or not for the first time. Count and drop it.
class AuthenticationError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

}

#endif
