#include <LibClaims/Digest.h>

#include <initializer_list>
#include <memory>
#include <openssl/evp.h>
#include <stdexcept>

namespace Briarbend::Claims
{

namespace
{

constexpr int BITS_PER_BYTE = 8;

using Context = std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)>;

void require(bool success)
{
    if (!success) {
        throw std::runtime_error("the cryptographic library failed to compute a SHA-256 digest");
    }
}

void update(EVP_MD_CTX *context, std::string_view part)
{
    std::array<std::uint8_t, sizeof(std::uint64_t)> length{};
    auto remaining = static_cast<std::uint64_t>(part.size());
    for (auto &byte : length) {
        byte = static_cast<std::uint8_t>(remaining);
        remaining >>= BITS_PER_BYTE;
    }
    require(EVP_DigestUpdate(context, length.data(), length.size()) == 1);
    require(EVP_DigestUpdate(context, part.data(), part.size()) == 1);
}

Digest hashParts(std::initializer_list<std::string_view> parts)
{
    const Context context{EVP_MD_CTX_new(), &EVP_MD_CTX_free};
    require(context != nullptr);
    require(EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr) == 1);
    for (const auto part : parts) {
        update(context.get(), part);
    }
    Digest digest;
    require(EVP_DigestFinal_ex(context.get(), digest.bytes.data(), nullptr) == 1);
    return digest;
}

} // namespace

Digest requestDigest(std::string_view method, std::string_view target, std::string_view body)
{
    return hashParts({method, target, body});
}

Digest keyDigest(std::string_view service, std::string_view route, std::string_view idempotencyKey)
{
    return hashParts({service, route, idempotencyKey});
}

std::string toHexadecimal(const Digest &digest)
{
    constexpr std::string_view DIGITS = "0123456789abcdef";
    constexpr unsigned NIBBLE_BITS = 4;
    constexpr unsigned NIBBLE_MASK = 0xF;
    std::string text;
    text.reserve(digest.bytes.size() * 2);
    for (const auto byte : digest.bytes) {
        text += DIGITS[byte >> NIBBLE_BITS];
        text += DIGITS[byte & NIBBLE_MASK];
    }
    return text;
}

} // namespace Briarbend::Claims
