#ifndef COMPONENTS_WIRE_CODEC_HPP
#define COMPONENTS_WIRE_CODEC_HPP

#include "components/wire/codec_error.hpp"
#include "components/wire/input_archive.hpp"
#include "components/wire/output_archive.hpp"

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <exception>
#include <string>
#include <string_view>

namespace wire
{

/// Serializes a value, preceded by one byte with the version of its format.
template<class T>
std::string encode(std::uint8_t version, const T &value)
{
    OutputArchive archive;
    archive(version, value);
    return archive.bytes();
}

/// Reverses encode().
/// @throws CodecError if the bytes have another version, are truncated, or continue after the value.
template<class T>
T decode(std::uint8_t version, std::string_view bytes)
{
    try {
        InputArchive archive(bytes);
        std::uint8_t found = 0;
        archive(found);
        if (found != version) {
            throw CodecError("the value has format version " + std::to_string(found) + ", this program reads " + std::to_string(version)
                             + "; replace the older of the two programs");
        }
        T value;
        archive(value);
        if (archive.remaining() > 0) {
            throw CodecError("the value is followed by extra bytes; skip it and continue with the next one");
        }
        return value;
    } catch (const CodecError &) {
        throw;
    } catch (const std::exception &error) {
        throw CodecError(std::string("the value cannot be decoded (") + error.what() + "); skip it and continue with the next one");
    }
}

}

#endif
