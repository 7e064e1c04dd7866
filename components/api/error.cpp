#include "components/api/error.hpp"

namespace api
{

Error::Error(ErrorKind kind, const std::string &message)
    : std::runtime_error(message)
    , m_kind(kind)
{
}

}
