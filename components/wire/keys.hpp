#ifndef COMPONENTS_WIRE_KEYS_HPP
#define COMPONENTS_WIRE_KEYS_HPP

#include <string>

namespace wire
{

/// Shared secrets of the instances. Two are accepted so that a key can be rotated without stopping all instances at once: first
/// every instance is made to accept the new key, then every instance is made to sign with it.
struct Keys
{
    std::string m_signing;
    /// Also accepted in messages from other instances; empty if there is none.
    std::string m_accepted;
};

}

#endif
