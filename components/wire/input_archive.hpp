#ifndef COMPONENTS_WIRE_INPUT_ARCHIVE_HPP
#define COMPONENTS_WIRE_INPUT_ARCHIVE_HPP

#include "components/wire/codec_error.hpp"
#include "components/wire/output_archive.hpp"

#include <cereal/cereal.hpp>

#include <cstddef>
#include <cstring>
#include <string_view>
#include <type_traits>

namespace wire
{

/// Maximum number of elements of one container in a message.
constexpr std::size_t maxContainerElements = std::size_t {1} << 20;

/// Reads what OutputArchive wrote. Every length is checked against the remaining bytes before memory is allocated for it, so
/// that corrupt or malicious input ends in a CodecError and never in a large allocation.
class InputArchive : public cereal::InputArchive<InputArchive, cereal::AllowEmptyClassElision>
{
public:
    explicit InputArchive(std::string_view bytes)
        : cereal::InputArchive<InputArchive, cereal::AllowEmptyClassElision>(this)
        , m_rest(bytes)
    {
    }

    /// @throws CodecError if fewer than `size` bytes remain.
    void read(void *data, std::size_t size)
    {
        if (size > m_rest.size()) {
            throw CodecError("the value is truncated; skip it and continue with the next one");
        }
        std::memcpy(data, m_rest.data(), size);
        m_rest.remove_prefix(size);
    }

    /// Bytes not read yet.
    std::size_t remaining() const
    {
        return m_rest.size();
    }

private:
    std::string_view m_rest;
};

template<class T>
requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(InputArchive &archive, T &value)
{
    if constexpr (std::is_same_v<T, bool>) {
        // A bool that holds any other byte than 0 and 1 is undefined behaviour.
        unsigned char byte = 0;
        archive.read(&byte, sizeof(byte));
        value = byte != 0;
    } else {
        archive.read(&value, sizeof(value));
    }
}

template<class T>
void CEREAL_LOAD_FUNCTION_NAME(InputArchive &archive, cereal::BinaryData<T> &data)
{
    archive.read(data.data, static_cast<std::size_t>(data.size));
}

template<class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(InputArchive &archive, cereal::NameValuePair<T> &pair)
{
    archive(pair.value);
}

template<class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(InputArchive &archive, cereal::SizeTag<T> &tag)
{
    archive(tag.size);
    if (tag.size > archive.remaining() || tag.size > maxContainerElements) {
        throw CodecError("a length in the value exceeds the value itself; skip it and continue with the next one");
    }
}

}

CEREAL_REGISTER_ARCHIVE(wire::InputArchive)
CEREAL_SETUP_ARCHIVE_TRAITS(wire::InputArchive, wire::OutputArchive)

#endif
