#include "components/platform/list_codec.hpp"

#include "components/http/address_error.hpp"
#include "components/platform/decode_error.hpp"
#include "components/platform/json_fields.hpp"
#include "components/platform/resources_json.hpp"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <xxhash.h>

namespace platform
{

namespace
{

constexpr const char *liveState = "live";
constexpr const char *leavingState = "leaving";

const char *stateName(bool leaving)
{
    return leaving ? leavingState : liveState;
}

bool decodeLeaving(const boost::json::object &object)
{
    const auto state = stringField(object, "state");
    if (state != liveState && state != leavingState) {
        throw DecodeError("the field 'state' is '" + state + "'; send live or leaving");
    }
    return state == leavingState;
}

http::Address addressField(const boost::json::object &object)
{
    try {
        return http::parseAddress(stringField(object, "address"));
    } catch (const http::AddressError &error) {
        throw DecodeError(error.what());
    }
}

boost::json::object encodeEntry(const InstanceEntry &entry)
{
    return {{"id", entry.m_id.value()}, {"zone", entry.m_zone.value()}, {"address", http::toString(entry.m_address)}, {"state", stateName(entry.m_leaving)}};
}

boost::json::object encodeEntry(const WorkerEntry &entry)
{
    boost::json::object object {{"id", entry.m_info.m_id.value()},
                                {"zone", entry.m_info.m_zone.value()},
                                {"rack", entry.m_info.m_rack.value()},
                                {"address", http::toString(entry.m_address)},
                                {"state", stateName(entry.m_leaving)}};
    addResources(object, entry.m_info.m_capacity);
    return object;
}

boost::json::object encodeEntry(const RunnerEntry &entry)
{
    return {{"id", entry.m_id.value()},
            {"zone", entry.m_zone.value()},
            {"address", http::toString(entry.m_address)},
            {"slots", entry.m_slots},
            {"connections", entry.m_connections},
            {"state", stateName(entry.m_leaving)}};
}

InstanceEntry decodeInstanceEntry(const boost::json::object &object)
{
    return {fleet::InstanceId(stringField(object, "id")), fleet::ZoneId(stringField(object, "zone")), addressField(object), decodeLeaving(object)};
}

WorkerEntry decodeWorkerEntry(const boost::json::object &object)
{
    fleet::WorkerInfo info {fleet::WorkerId(stringField(object, "id")),
                            fleet::ZoneId(stringField(object, "zone")),
                            fleet::RackId(stringField(object, "rack")),
                            decodeResources(object)};
    return {std::move(info), addressField(object), decodeLeaving(object)};
}

RunnerEntry decodeRunnerEntry(const boost::json::object &object)
{
    return {fleet::RunnerId(stringField(object, "id")),
            fleet::ZoneId(stringField(object, "zone")),
            addressField(object),
            nonNegativeIntField(object, "slots"),
            nonNegativeIntField(object, "connections"),
            decodeLeaving(object)};
}

template<class Entry>
boost::json::array encodeEntries(const std::vector<Entry> &entries)
{
    boost::json::array array;
    for (const auto &entry : entries) {
        array.push_back(encodeEntry(entry));
    }
    return array;
}

template<class Entry>
std::vector<Entry> decodeEntries(const boost::json::array &array, Entry (*decode)(const boost::json::object &))
{
    std::vector<Entry> entries;
    for (const auto &element : array) {
        entries.push_back(decode(asObject(element)));
    }
    return entries;
}

}

std::string encodeList(const PlatformList &list)
{
    const boost::json::object object {{"asOf", fleet::toMilliseconds(list.m_asOf)},
                                      {"instances", encodeEntries(list.m_instances)},
                                      {"workers", encodeEntries(list.m_workers)},
                                      {"runners", encodeEntries(list.m_runners)}};
    return boost::json::serialize(object);
}

std::string listEntityTag(const PlatformList &list)
{
    const std::string content = encodeList({{}, list.m_instances, list.m_workers, list.m_runners});
    return '"' + std::to_string(XXH3_64bits(content.data(), content.size())) + '"';
}

PlatformList decodeList(std::string_view text)
{
    const auto object = parseObject(text);
    return {fleet::fromMilliseconds(nonNegativeField(object, "asOf")),
            decodeEntries(arrayField(object, "instances"), decodeInstanceEntry),
            decodeEntries(arrayField(object, "workers"), decodeWorkerEntry),
            decodeEntries(arrayField(object, "runners"), decodeRunnerEntry)};
}

InstanceEntry decodeInstance(std::string_view text)
{
    return decodeInstanceEntry(parseObject(text));
}

}
