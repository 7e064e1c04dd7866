#ifndef COMPONENTS_CONFIGURATION_RECORD_HPP
#define COMPONENTS_CONFIGURATION_RECORD_HPP

#include "components/configuration/change.hpp"
#include "components/configuration/configuration.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace configuration
{

/// The complete configuration after every record below the offset `m_end` was applied. Appended before the records that
/// it covers expire.
struct Snapshot
{
    std::uint64_t m_end = 0;
    Configuration m_configuration;

    bool operator==(const Snapshot &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_end, m_configuration);
    }
};

/// One record of the configuration stream.
using Record = std::variant<Change, Snapshot>;

std::string encodeRecord(const Record &record);

/// Throws wire::CodecError if the bytes are damaged or of an unknown format version.
Record decodeRecord(std::string_view bytes);

}

#endif
