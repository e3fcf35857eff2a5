#pragma once

#include "teaselturn/Bundle.h"

#include <array>
#include <cstdint>
#include <span>
#include <string_view>

namespace teaselturn {

/// An Ed25519 key pair. The private key is the 32-byte seed of RFC 8032.
struct Ed25519KeyPair {
    std::array<std::uint8_t, 32> privateKey {};
    std::array<std::uint8_t, 32> publicKey {};
};

/// @return A new key pair, generated from OpenSSL's random number generator.
Ed25519KeyPair generateEd25519();

/// @return The private key with the public key derived from it.
Ed25519KeyPair ed25519FromPrivate(std::span<const std::uint8_t, 32> privateKey);

/// @return The Ed25519 signature of the bytes.
std::array<std::uint8_t, 64> signEd25519(std::span<const std::uint8_t, 32> privateKey, std::string_view bytes);

/// Verifies Ed25519 signatures and computes SHA-256 digests with OpenSSL. Models SignatureVerifier. Thread-safe.
class OpenSslVerifier {
public:
    /// @return False if the signature is invalid or the public key is not a point on the curve.
    bool verify(std::span<const std::uint8_t, 32> publicKey, std::string_view bytes, std::span<const std::uint8_t, 64> signature) const;
    BundleDigest digest(std::string_view bytes) const;
};

}
