#include "components/standin/runner_table.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <openssl/evp.h>

#include <array>

namespace standin
{

namespace
{

std::string digestOf(const std::string &bytes)
{
    constexpr const char *hexDigits = "0123456789abcdef";
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int length = 0;
    EVP_Digest(bytes.data(), bytes.size(), digest.data(), &length, EVP_sha256(), nullptr);
    std::string text;
    for (unsigned int i = 0; i < length; ++i) {
        text += hexDigits[digest.at(i) >> 4U];
        text += hexDigits[digest.at(i) & 15U];
    }
    return text;
}

}

bool begin(RunnerTable &table, const platform::RunRequest &request, fleet::TimePoint now)
{
    const bool free = table.m_slotsUsed < table.m_slots;
    table.m_received.push_back({now, request, free});
    table.m_slotsUsed += free ? 1 : 0;
    return free;
}

void finish(RunnerTable &table)
{
    --table.m_slotsUsed;
}

std::string answerTo(const RunnerTable &table, const platform::RunRequest &request)
{
    const auto &id = request.m_request.value();
    const boost::json::object answer {{"request", id},
                                      {"kind", request.m_kind},
                                      {"body", request.m_body},
                                      {"runner", table.m_id.value()},
                                      {"digest", digestOf(id + "\n" + request.m_kind + "\n" + request.m_body)}};
    return boost::json::serialize(answer);
}

}
