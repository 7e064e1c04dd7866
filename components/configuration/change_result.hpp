#ifndef COMPONENTS_CONFIGURATION_CHANGE_RESULT_HPP
#define COMPONENTS_CONFIGURATION_CHANGE_RESULT_HPP

#include "components/configuration/identifiers.hpp"
#include "components/configuration/version.hpp"

#include <string>

namespace configuration
{

/// The result of one change, equal for all readers.
struct ChangeResult
{
    ChangeId m_id;
    bool m_accepted = false;
    /// If accepted, the version that the change created; if rejected, the version in force at its offset.
    Version m_version;
    /// If rejected, the reason and the remedy.
    std::string m_reason;

    bool operator==(const ChangeResult &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_id, m_accepted, m_version, m_reason);
    }
};

}

#endif
