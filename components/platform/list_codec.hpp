#ifndef COMPONENTS_PLATFORM_LIST_CODEC_HPP
#define COMPONENTS_PLATFORM_LIST_CODEC_HPP

#include "components/platform/platform_list.hpp"

#include <string>
#include <string_view>

namespace platform
{

std::string encodeList(const PlatformList &list);

/// Entity tag of the list's content. Two lists that differ in `m_asOf` alone have the same tag.
std::string listEntityTag(const PlatformList &list);

/// @throws DecodeError
PlatformList decodeList(std::string_view text);

/// Decodes one instance entry in the form that the list uses.
/// @throws DecodeError
InstanceEntry decodeInstance(std::string_view text);

}

#endif
