#ifndef COMPONENTS_HTTP_SERVER_ERROR_HPP
#define COMPONENTS_HTTP_SERVER_ERROR_HPP

#include <stdexcept>

namespace http
{

/// A server could not listen on its address.
class ServerError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

}

#endif
