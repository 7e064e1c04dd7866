#ifndef COMPONENTS_FLEET_IDENTIFIER_HPP
#define COMPONENTS_FLEET_IDENTIFIER_HPP

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace fleet
{

/// A string identifier. `Tag` makes identifiers of different kinds distinct types.
template<class Tag>
class Identifier
{
public:
    Identifier() = default;

    explicit Identifier(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string &value() const
    {
        return m_value;
    }

    bool empty() const
    {
        return m_value.empty();
    }

    auto operator<=>(const Identifier &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_value);
    }

private:
    std::string m_value;
};

}

template<class Tag>
struct std::hash<fleet::Identifier<Tag>>
{
    std::size_t operator()(const fleet::Identifier<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.value());
    }
};

#endif
