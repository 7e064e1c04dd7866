#ifndef COMPONENTS_JOURNAL_FORMER_HOLDER_HPP
#define COMPONENTS_JOURNAL_FORMER_HOLDER_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/incarnation.hpp"

namespace journal
{

/// An incarnation that held the scheduling duty, was replaced, and may still run. It may not have noticed its replacement.
struct FormerHolder
{
    fleet::InstanceId m_instance;
    fleet::Incarnation m_incarnation;

    bool operator==(const FormerHolder &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_instance, m_incarnation);
    }
};

}

#endif
