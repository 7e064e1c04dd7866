#ifndef COMPONENTS_MEMBERSHIP_MEMBER_PHASE_HPP
#define COMPONENTS_MEMBERSHIP_MEMBER_PHASE_HPP

#include <cstdint>

namespace membership
{

/// How far one incarnation of an instance has come. It only moves forward.
enum class MemberPhase : std::uint8_t {
    Live,
    /// A planned stop has begun, or the platform says that the instance leaves.
    Leaving,
    /// Said itself that it ends, or a later incarnation was heard.
    Gone,
};

}

#endif
