#include "components/configuration/record.hpp"

#include "components/wire/codec.hpp"

namespace configuration
{

namespace
{

constexpr std::uint8_t recordVersion = 1;

}

std::string encodeRecord(const Record &record)
{
    return wire::encode(recordVersion, record);
}

Record decodeRecord(std::string_view bytes)
{
    return wire::decode<Record>(recordVersion, bytes);
}

}
