#include "components/configuration/apply.hpp"
#include "components/configuration/resolve.hpp"
#include "components/configuration/stream_reader.hpp"

#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace configuration;

namespace
{

const fleet::TimePoint start = fleet::fromMilliseconds(1'796'367'600'000);
const fleet::ZoneId kochi {"kochi"};
const fleet::ZoneId thrissur {"thrissur"};
const fleet::AccountId studio {"studio"};

Change makeChange(const std::string &id, std::uint64_t baseVersion, Operation operation)
{
    return {ChangeId(id), {baseVersion}, fleet::OperatorId("op"), start, std::move(operation)};
}

PutAccount studioAccount()
{
    const fleet::GuaranteedShape shape {{8, {4000, 8000, 1}, fleet::Adjacency::SameRack}, 2, {kochi, thrissur}};
    return {{studio, {shape}}};
}

Exception studioException(const std::string &reason)
{
    Exception exception;
    exception.m_id = ExceptionId("festival");
    exception.m_reason = reason;
    exception.m_from = start;
    exception.m_until = start + std::chrono::hours(1);
    exception.m_account = studio;
    exception.m_urgentPerHour = 500;
    return exception;
}

std::string anyRecord(std::uint64_t offset)
{
    const std::string id = "c" + std::to_string(*rc::gen::inRange(0, 25));
    const auto baseVersion = static_cast<std::uint64_t>(*rc::gen::inRange(0, 12));
    switch (*rc::gen::inRange(0, 7)) {
    case 0:
        return encodeRecord(makeChange(id, baseVersion, studioAccount()));
    case 1:
        return encodeRecord(makeChange(id, baseVersion, TakeZoneOut {*rc::gen::element(kochi, thrissur), "flood"}));
    case 2:
        return encodeRecord(makeChange(id, baseVersion, ReturnZone {*rc::gen::element(kochi, thrissur)}));
    case 3:
        return encodeRecord(makeChange(id, baseVersion, PutException {studioException(*rc::gen::element<std::string>("", "festival week"))}));
    case 4:
        return encodeRecord(makeChange(id, baseVersion, RemoveAccount {studio}));
    case 5:
        return *rc::gen::arbitrary<std::string>();
    default:
        return encodeRecord(makeChange("unique" + std::to_string(offset), baseVersion, SetDefaults {}));
    }
}

std::vector<std::string> anyStream()
{
    std::vector<std::string> stream;
    StreamReader reader;
    Snapshot delayed;
    const int length = *rc::gen::inRange(1, 60);
    for (int i = 0; i < length; ++i) {
        // A snapshot may reach the log well after the records that it covers.
        const bool append = reader.m_complete && *rc::gen::inRange(0, 8) == 0;
        stream.push_back(append ? encodeRecord(delayed) : anyRecord(stream.size()));
        if (*rc::gen::inRange(0, 3) == 0) {
            delayed = makeSnapshot(reader);
        }
        applyRecord(reader, stream.size() - 1, start, stream.back());
    }
    return stream;
}

StreamReader readAll(const std::vector<std::string> &stream, std::size_t from = 0)
{
    StreamReader reader;
    for (std::size_t offset = from; offset < stream.size(); ++offset) {
        applyRecord(reader, offset, start, stream[offset]);
    }
    return reader;
}

}

Test(configuration, staleChange_apply_isRejectedWithRemedy)
{
    Configuration configuration;
    apply(configuration, makeChange("a", 0, studioAccount()));
    const ChangeResult result = apply(configuration, makeChange("b", 0, SetDefaults {}));
    cr_assert_not(result.m_accepted);
    cr_assert(result.m_reason.find("; read the configuration again") != std::string::npos);
    cr_assert_eq(configuration.m_version.m_value, 1U);
}

Test(configuration, staleZoneOut_apply_isAccepted)
{
    Configuration configuration;
    apply(configuration, makeChange("a", 0, studioAccount()));
    cr_assert(apply(configuration, makeChange("b", 0, TakeZoneOut {kochi, "flood"})).m_accepted);
    cr_assert(configuration.isZoneOut(kochi));
    cr_assert_not(apply(configuration, makeChange("c", 1, ReturnZone {kochi})).m_accepted);
    cr_assert(apply(configuration, makeChange("d", 2, ReturnZone {kochi})).m_accepted);
}

Test(configuration, repeatedChange_apply_isAppliedOnce)
{
    Configuration configuration;
    const Change change = makeChange("a", 0, studioAccount());
    const ChangeResult first = apply(configuration, change);
    const Configuration after = configuration;
    cr_assert(apply(configuration, change) == first);
    cr_assert(configuration == after);
}

Test(configuration, exceptionWithoutReason_apply_isRejected)
{
    Configuration configuration;
    apply(configuration, makeChange("a", 0, studioAccount()));
    cr_assert_not(apply(configuration, makeChange("b", 1, PutException {studioException(" \n")})).m_accepted);
    cr_assert(apply(configuration, makeChange("c", 1, PutException {studioException("festival week")})).m_accepted);
}

Test(configuration, exceptionAfterItsEnd_resolve_givesTheDefault)
{
    Configuration configuration;
    apply(configuration, makeChange("a", 0, studioAccount()));
    apply(configuration, makeChange("b", 1, PutException {studioException("festival week")}));
    cr_assert_eq(resolve(configuration, kochi, start).front().m_urgentPerHour, 500);
    cr_assert_eq(resolve(configuration, kochi, start + std::chrono::hours(1)).front().m_urgentPerHour, Defaults().m_urgentPerHour);
}

Test(configuration, firstZoneOut_resolve_pinsGuaranteesToTheNext)
{
    Configuration configuration;
    apply(configuration, makeChange("a", 0, studioAccount()));
    cr_assert_eq(resolve(configuration, kochi, start).front().m_guarantees.size(), 2U);
    cr_assert(resolve(configuration, thrissur, start).front().m_guarantees.empty());
    apply(configuration, makeChange("b", 1, TakeZoneOut {kochi, "flood"}));
    cr_assert(resolve(configuration, kochi, start).front().m_guarantees.empty());
    cr_assert_eq(resolve(configuration, thrissur, start).front().m_guarantees.size(), 2U);
}

Test(configuration, anyStream_readersFromAnySnapshot_agree)
{
    const bool holds = rc::check([] {
        const std::vector<std::string> stream = anyStream();
        const StreamReader whole = readAll(stream);
        const StreamReader late = readAll(stream, static_cast<std::size_t>(*rc::gen::inRange<int>(0, static_cast<int>(stream.size()))));
        RC_PRE(late.m_complete);
        RC_ASSERT(late.m_configuration == whole.m_configuration);
    });
    cr_assert(holds);
}

Test(configuration, anyReadingOrder_applyRecord_neverGoesBack)
{
    const bool holds = rc::check([] {
        const std::vector<std::string> stream = anyStream();
        const StreamReader whole = readAll(stream);
        StreamReader reader;
        for (int i = 0; i < 100; ++i) {
            const Version before = reader.m_configuration.m_version;
            const std::uint64_t nextBefore = reader.m_next;
            const auto offset = static_cast<std::size_t>(*rc::gen::inRange<int>(0, static_cast<int>(stream.size())));
            if (*rc::gen::inRange(0, 20) == 0) {
                adopt(reader, makeSnapshot(readAll({stream.begin(), stream.begin() + static_cast<std::ptrdiff_t>(offset)})));
            } else {
                applyRecord(reader, offset, start, stream[offset]);
            }
            RC_ASSERT(before <= reader.m_configuration.m_version);
            RC_ASSERT(nextBefore <= reader.m_next);
        }
        for (std::size_t offset = reader.m_next; offset < stream.size(); ++offset) {
            applyRecord(reader, offset, start, stream[offset]);
        }
        RC_ASSERT(!reader.m_complete || reader.m_configuration == whole.m_configuration);
    });
    cr_assert(holds);
}

Test(configuration, snapshotOfAnOlderVersion_adopt_isIgnored)
{
    StreamReader reader;
    applyRecord(reader, 0, start, encodeRecord(makeChange("a", 0, studioAccount())));
    adopt(reader, {9, {}});
    cr_assert_eq(reader.m_configuration.m_version.m_value, 1U);
}

Test(configuration, damagedRecord_applyRecord_isSkippedAndCounted)
{
    StreamReader reader;
    std::string bytes = encodeRecord(makeChange("a", 0, studioAccount()));
    applyRecord(reader, 0, start, bytes.substr(0, bytes.size() / 2));
    bytes[0] = 99;
    applyRecord(reader, 1, start, bytes);
    cr_assert_eq(reader.m_skipped, 2U);
    cr_assert_eq(reader.m_configuration.m_version.m_value, 0U);
    cr_assert_eq(reader.m_next, 2U);
}
