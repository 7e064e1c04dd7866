#include "components/wire/authentication_error.hpp"
#include "components/wire/codec.hpp"
#include "components/wire/envelope.hpp"
#include "components/wire/mac.hpp"
#include "components/wire/replay_guard.hpp"

#include <set>

#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace wire;

namespace
{

const Keys keys {"signing key", {}};
const fleet::InstanceId self {"i2"};

Envelope makeEnvelope(std::uint64_t sequence, std::uint64_t incarnation = 5)
{
    return {fleet::InstanceId("i1"), {incarnation}, self, sequence, MessageType::Heartbeat, "payload"};
}

}

Test(mac, rfcExample_sign_returnsItsTag)
{
    // Test case 2 of RFC 4231.
    const std::string tag = sign({"Jefe", {}}, "what do ya want for nothing?");
    cr_assert_eq(static_cast<unsigned char>(tag[0]), 0x5bU);
    cr_assert_eq(static_cast<unsigned char>(tag[31]), 0x43U);
}

Test(envelope, signedWithEitherKey_decodeVerified_returnsTheMessage)
{
    const Envelope envelope = makeEnvelope(1);
    cr_assert(decodeVerified(keys, self, encodeSigned(keys, envelope)) == envelope);
    cr_assert(decodeVerified({"new key", "signing key"}, self, encodeSigned(keys, envelope)) == envelope);
    cr_assert_throw(decodeVerified({"new key", {}}, self, encodeSigned(keys, envelope)), AuthenticationError);
    cr_assert_throw(decodeVerified(keys, fleet::InstanceId("i3"), encodeSigned(keys, envelope)), AuthenticationError);
}

Test(envelope, anyChangedByte_decodeVerified_throws)
{
    const bool holds = rc::check([] {
        std::string bytes = encodeSigned(keys, makeEnvelope(1));
        const auto position = static_cast<std::size_t>(*rc::gen::inRange<int>(0, static_cast<int>(bytes.size())));
        bytes[position] = static_cast<char>(bytes[position] ^ *rc::gen::inRange(1, 256));
        RC_ASSERT_THROWS_AS(decodeVerified(keys, self, bytes), AuthenticationError);
    });
    cr_assert(holds);
}

Test(codec, anyBytes_decode_returnsAValueOrThrowsCodecError)
{
    const bool holds = rc::check([] {
        const std::string bytes = '\1' + *rc::gen::arbitrary<std::string>();
        try {
            decode<std::vector<std::vector<std::string>>>(1, bytes);
        } catch (const CodecError &) {
            RC_SUCCEED("refused");
        }
    });
    cr_assert(holds);
}

Test(codec, lengthBeyondTheBytes_decode_throwsBeforeAllocation)
{
    std::string bytes(9, '\0');
    bytes[0] = 1;
    bytes[8] = 0x7f;
    cr_assert_throw(decode<std::vector<std::uint64_t>>(1, bytes), CodecError);
    cr_assert_throw(decode<std::string>(1, bytes), CodecError);
}

Test(replayGuard, anyOrderWithRepeats_accept_isTrueAtMostOnceEach)
{
    const bool holds = rc::check([] {
        ReplayGuard guard;
        std::set<std::uint64_t> accepted;
        const auto sequences = *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 9000));
        for (const int sequence : sequences) {
            const auto value = static_cast<std::uint64_t>(sequence);
            if (accept(guard, makeEnvelope(value))) {
                RC_ASSERT(accepted.insert(value).second);
            } else {
                RC_ASSERT(accepted.contains(value) || value + replayWindow <= *accepted.rbegin());
            }
        }
    });
    cr_assert(holds);
}

Test(replayGuard, earlierIncarnation_accept_isFalse)
{
    ReplayGuard guard;
    cr_assert(accept(guard, makeEnvelope(7, 5)));
    cr_assert(accept(guard, makeEnvelope(1, 6)));
    cr_assert_not(accept(guard, makeEnvelope(8, 5)));
}
