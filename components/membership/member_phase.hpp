#ifndef COMPONENTS_MEMBERSHIP_MEMBER_PHASE_HPP
#define COMPONENTS_MEMBERSHIP_MEMBER_PHASE_HPP

#include <cstdint>

namespace membership
{

/// Life cycle phase of one incarnation of an instance. It never goes back.
enum class MemberPhase : std::uint8_t {
    Live,
    /// A planned stop has begun, or the platform's list marks the instance as leaving.
    Leaving,
    /// The incarnation announced its end.
    Gone,
};

}

#endif
