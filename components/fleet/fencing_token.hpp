#ifndef COMPONENTS_FLEET_FENCING_TOKEN_HPP
#define COMPONENTS_FLEET_FENCING_TOKEN_HPP

#include <compare>
#include <cstdint>

namespace fleet
{

/// Orders the holders of one zone's scheduling duty. A worker refuses every token below the highest it has seen.
///
/// The value is the log offset of the record that appointed the holder, so that it only increases.
struct FencingToken
{
    std::uint64_t m_value = 0;

    auto operator<=>(const FencingToken &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_value);
    }
};

}

#endif
