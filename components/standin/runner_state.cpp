#include "components/standin/runner_state.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <openssl/evp.h>

#include <array>

namespace standin
{

namespace
{

std::string sha256Hex(const std::string &bytes)
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

bool startRequest(RunnerState &state, const platform::RunRequest &request, fleet::TimePoint now)
{
    const bool free = state.m_slotsUsed < state.m_slots;
    state.m_received.push_back({now, request, free});
    state.m_slotsUsed += free ? 1 : 0;
    return free;
}

void finishRequest(RunnerState &state)
{
    --state.m_slotsUsed;
}

std::string buildAnswer(const RunnerState &state, const platform::RunRequest &request)
{
    const auto &id = request.m_request.value();
    const boost::json::object answer {{"request", id},
                                      {"kind", request.m_kind},
                                      {"body", request.m_body},
                                      {"runner", state.m_id.value()},
                                      {"digest", sha256Hex(id + "\n" + request.m_kind + "\n" + request.m_body)}};
    return boost::json::serialize(answer);
}

}
