#ifndef COMPONENTS_RECORDS_HOLDER_HPP
#define COMPONENTS_RECORDS_HOLDER_HPP

#include "components/fleet/fencing_token.hpp"
#include "components/fleet/identifiers.hpp"
#include "components/records/record_id.hpp"

namespace records
{

/// The holder of the scheduling duty of one availability zone.
struct Holder
{
    fleet::ZoneId m_zone;
    /// The last holder if the duty was released.
    WriterId m_writer;
    fleet::FencingToken m_token;
    bool m_released = false;

    bool operator==(const Holder &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_zone, m_writer, m_token, m_released);
    }
};

}

#endif
