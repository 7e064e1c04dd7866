#ifndef COMPONENTS_WIRE_OUTPUT_ARCHIVE_HPP
#define COMPONENTS_WIRE_OUTPUT_ARCHIVE_HPP

#include <cereal/cereal.hpp>

#include <bit>
#include <cstddef>
#include <string>
#include <type_traits>

namespace wire
{

static_assert(std::endian::native == std::endian::little, "the byte order on the wire is little-endian; swap bytes here for other hosts");

/// Writes values in little-endian binary to a string; read back by InputArchive.
class OutputArchive : public cereal::OutputArchive<OutputArchive, cereal::AllowEmptyClassElision>
{
public:
    OutputArchive()
        : cereal::OutputArchive<OutputArchive, cereal::AllowEmptyClassElision>(this)
    {
    }

    void write(const void *data, std::size_t size)
    {
        m_bytes.append(static_cast<const char *>(data), size);
    }

    const std::string &bytes() const
    {
        return m_bytes;
    }

private:
    std::string m_bytes;
};

template<class T>
requires std::is_arithmetic_v<T>
void CEREAL_SAVE_FUNCTION_NAME(OutputArchive &archive, const T &value)
{
    archive.write(&value, sizeof(value));
}

template<class T>
void CEREAL_SAVE_FUNCTION_NAME(OutputArchive &archive, const cereal::BinaryData<T> &data)
{
    archive.write(data.data, static_cast<std::size_t>(data.size));
}

template<class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(OutputArchive &archive, cereal::NameValuePair<T> &pair)
{
    archive(pair.value);
}

template<class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(OutputArchive &archive, cereal::SizeTag<T> &tag)
{
    archive(tag.size);
}

}

CEREAL_REGISTER_ARCHIVE(wire::OutputArchive)

#endif
