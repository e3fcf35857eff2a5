#include "adapters/crypto/Ed25519.h"

#include "adapters/crypto/Digest.h"
#include "teaselturn/Ports.h"

#include <memory>
#include <openssl/evp.h>
#include <stdexcept>

namespace teaselturn {

static_assert(SignatureVerifier<OpenSslVerifier>);

namespace {

    struct Deleter {
        void operator()(EVP_PKEY* key) const noexcept { EVP_PKEY_free(key); }
        void operator()(EVP_MD_CTX* context) const noexcept { EVP_MD_CTX_free(context); }
    };
    using Key = std::unique_ptr<EVP_PKEY, Deleter>;
    using Context = std::unique_ptr<EVP_MD_CTX, Deleter>;

    /// Throws if an OpenSSL call failed. That happens only if OpenSSL is out of memory or lacks the algorithm, and no
    /// caller can recover from either.
    void requireSuccess(bool succeeded)
    {
        if (!succeeded) {
            throw std::runtime_error("OpenSSL cannot use an Ed25519 key");
        }
    }

    const unsigned char* asBytes(std::string_view bytes) noexcept
    {
        return reinterpret_cast<const unsigned char*>(bytes.data());
    }

    Ed25519KeyPair exportPair(EVP_PKEY* key)
    {
        Ed25519KeyPair pair;
        auto privateLength = pair.privateKey.size();
        auto publicLength = pair.publicKey.size();
        requireSuccess(EVP_PKEY_get_raw_private_key(key, pair.privateKey.data(), &privateLength) == 1
            && EVP_PKEY_get_raw_public_key(key, pair.publicKey.data(), &publicLength) == 1);
        return pair;
    }

    Key importPrivate(std::span<const std::uint8_t, 32> privateKey)
    {
        Key key { EVP_PKEY_new_raw_private_key(EVP_PKEY_ED25519, nullptr, privateKey.data(), privateKey.size()) };
        requireSuccess(key != nullptr);
        return key;
    }

}

Ed25519KeyPair generateEd25519()
{
    const Key key { EVP_PKEY_Q_keygen(nullptr, nullptr, "ED25519") };
    requireSuccess(key != nullptr);
    return exportPair(key.get());
}

Ed25519KeyPair ed25519FromPrivate(std::span<const std::uint8_t, 32> privateKey)
{
    return exportPair(importPrivate(privateKey).get());
}

std::array<std::uint8_t, 64> signEd25519(std::span<const std::uint8_t, 32> privateKey, std::string_view bytes)
{
    const auto key = importPrivate(privateKey);
    const Context context { EVP_MD_CTX_new() };
    std::array<std::uint8_t, 64> signature {};
    auto length = signature.size();
    requireSuccess(context && EVP_DigestSignInit(context.get(), nullptr, nullptr, nullptr, key.get()) == 1
        && EVP_DigestSign(context.get(), signature.data(), &length, asBytes(bytes), bytes.size()) == 1 && length == signature.size());
    return signature;
}

bool OpenSslVerifier::verify(std::span<const std::uint8_t, 32> publicKey, std::string_view bytes, std::span<const std::uint8_t, 64> signature) const
{
    const Key key { EVP_PKEY_new_raw_public_key(EVP_PKEY_ED25519, nullptr, publicKey.data(), publicKey.size()) };
    const Context context { EVP_MD_CTX_new() };
    return key && context && EVP_DigestVerifyInit(context.get(), nullptr, nullptr, nullptr, key.get()) == 1
        && EVP_DigestVerify(context.get(), signature.data(), signature.size(), asBytes(bytes), bytes.size()) == 1;
}

BundleDigest OpenSslVerifier::digest(std::string_view bytes) const
{
    return sha256(bytes);
}

}
