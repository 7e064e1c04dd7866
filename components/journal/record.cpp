#include "components/journal/record.hpp"

#include "components/wire/codec.hpp"

namespace journal
{

namespace
{

/// Version of the format of every record.
constexpr std::uint8_t formatVersion = 1;

}

std::string encode(const Record &record)
{
    return wire::encode(formatVersion, record);
}

Record decode(std::string_view bytes)
{
    return wire::decode<Record>(formatVersion, bytes);
}

}
