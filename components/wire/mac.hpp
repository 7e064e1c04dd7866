#ifndef COMPONENTS_WIRE_MAC_HPP
#define COMPONENTS_WIRE_MAC_HPP

#include "components/wire/keys.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace wire
{

/// Length in bytes of an HMAC-SHA256 tag.
constexpr std::size_t macLength = 32;

/// Returns the HMAC-SHA256 tag of `bytes` under the signing key.
std::string sign(const Keys &keys, std::string_view bytes);

/// True if `tag` equals the tag of `bytes` under one of the keys, or a prefix of it. Compares in constant time; an empty tag is
/// never accepted.
bool verify(const Keys &keys, std::string_view bytes, std::string_view tag);

}

#endif
