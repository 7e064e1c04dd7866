#include "components/wire/mac.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <stdexcept>

namespace wire
{

namespace
{

std::string computeTag(const std::string &key, std::string_view bytes)
{
    std::string tag(macLength, '\0');
    unsigned int length = 0;
    const auto *data = reinterpret_cast<const unsigned char *>(bytes.data());
    auto *out = reinterpret_cast<unsigned char *>(tag.data());
    if (!HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), data, bytes.size(), out, &length) || length != macLength) {
        throw std::runtime_error("HMAC-SHA256 is not available; install OpenSSL with its default provider");
    }
    return tag;
}

bool matches(const std::string &key, std::string_view bytes, std::string_view tag)
{
    return !key.empty() && CRYPTO_memcmp(computeTag(key, bytes).data(), tag.data(), tag.size()) == 0;
}

}

std::string sign(const Keys &keys, std::string_view bytes)
{
    return computeTag(keys.m_signing, bytes);
}

bool verify(const Keys &keys, std::string_view bytes, std::string_view tag)
{
    if (tag.empty() || tag.size() > macLength) {
        return false;
    }
    return matches(keys.m_signing, bytes, tag) || matches(keys.m_accepted, bytes, tag);
}

}
