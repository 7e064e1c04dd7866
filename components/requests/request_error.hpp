#ifndef COMPONENTS_REQUESTS_REQUEST_ERROR_HPP
#define COMPONENTS_REQUESTS_REQUEST_ERROR_HPP

#include <stdexcept>

namespace requests
{

/// Thrown for a call that request dispatching cannot serve in its current state.
class RequestError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

}

#endif
