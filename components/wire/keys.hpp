#ifndef COMPONENTS_WIRE_KEYS_HPP
#define COMPONENTS_WIRE_KEYS_HPP

#include <string>

namespace wire
{

/// Shared secrets of the instances. Two are accepted so that a key can be replaced without stopping every instance at
/// once: first every instance accepts the new key, then every instance signs with it.
struct Keys
{
    std::string m_signing;
    /// Also accepted from others; empty where there is none.
    std::string m_accepted;
};

}

#endif
