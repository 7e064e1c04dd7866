#ifndef COMPONENTS_HTTP_ADDRESS_ERROR_HPP
#define COMPONENTS_HTTP_ADDRESS_ERROR_HPP

#include <stdexcept>

namespace http
{

/// The text is not an IPv4 address with a port.
class AddressError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

}

#endif
