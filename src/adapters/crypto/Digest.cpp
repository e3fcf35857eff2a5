#include "adapters/crypto/Digest.h"

#include <array>
#include <new>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>
#include <stdexcept>

namespace teaselturn {

namespace {

    /// Throws if an OpenSSL call failed. That happens only if OpenSSL is out of memory or lacks the algorithm, and no
    /// caller can recover from either.
    void requireSuccess(bool succeeded)
    {
        if (!succeeded) {
            throw std::runtime_error("OpenSSL cannot compute a digest");
        }
    }

}

Digest256 sha256(std::span<const std::uint8_t> bytes)
{
    Digest256 digest {};
    requireSuccess(EVP_Digest(bytes.data(), bytes.size(), digest.data(), nullptr, EVP_sha256(), nullptr) == 1);
    return digest;
}

Digest256 sha256(std::string_view bytes)
{
    return sha256(std::span { reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size() });
}

bool constantTimeEqual(std::span<const std::uint8_t> left, std::span<const std::uint8_t> right) noexcept
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

void HmacSha256::Deleter::operator()(evp_mac_ctx_st* context) const noexcept
{
    EVP_MAC_CTX_free(context);
}

HmacSha256::HmacSha256(std::span<const std::uint8_t> key)
{
    auto* algorithm = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
    this->keyedContext.reset(EVP_MAC_CTX_new(algorithm));
    EVP_MAC_free(algorithm);
    std::array<char, 7> name { "SHA256" };
    const std::array parameters { OSSL_PARAM_construct_utf8_string("digest", name.data(), 0), OSSL_PARAM_construct_end() };
    requireSuccess(this->keyedContext && EVP_MAC_init(this->keyedContext.get(), key.data(), key.size(), parameters.data()) == 1);
}

Digest256 HmacSha256::compute(std::span<const std::uint8_t> first, std::span<const std::uint8_t> second) const
{
    const std::unique_ptr<evp_mac_ctx_st, Deleter> context { EVP_MAC_CTX_dup(this->keyedContext.get()) };
    Digest256 digest {};
    std::size_t length = 0;
    requireSuccess(context && EVP_MAC_update(context.get(), first.data(), first.size()) == 1
        && EVP_MAC_update(context.get(), second.data(), second.size()) == 1
        && EVP_MAC_final(context.get(), digest.data(), &length, digest.size()) == 1 && length == digest.size());
    return digest;
}

bool HmacSha256::matches(std::span<const std::uint8_t> code, std::span<const std::uint8_t> first, std::span<const std::uint8_t> second) const
{
    return constantTimeEqual(code, this->compute(first, second));
}

}
