#ifndef COMPONENTS_API_ERROR_HPP
#define COMPONENTS_API_ERROR_HPP

#include "components/api/error_kind.hpp"

#include <stdexcept>
#include <string>

namespace api
{

/// Thrown when a call is refused. The message ends with the remedy.
class Error : public std::runtime_error
{
public:
    Error(ErrorKind kind, const std::string &message);

    ErrorKind kind() const
    {
        return m_kind;
    }

private:
    ErrorKind m_kind;
};

}

#endif
