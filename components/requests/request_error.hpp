#ifndef COMPONENTS_REQUESTS_REQUEST_ERROR_HPP
#define COMPONENTS_REQUESTS_REQUEST_ERROR_HPP

#include <stdexcept>

namespace requests
{

/// A call that the request slice cannot serve in its present state.
class RequestError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

}

#endif
