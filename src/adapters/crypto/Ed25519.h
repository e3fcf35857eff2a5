#pragma once

#include "teaselturn/Bundle.h"

#include <array>
#include <cstdint>
#include <span>
#include <string_view>

namespace teaselturn {

/// An Ed25519 key pair; the private part is the 32-byte seed of RFC 8032.
struct Ed25519KeyPair {
    std::array<std::uint8_t, 32> privateKey {};
    std::array<std::uint8_t, 32> publicKey {};
};

/// @return A new key pair from the system's random numbers.
Ed25519KeyPair generateEd25519();

/// @return The key pair of a private key.
Ed25519KeyPair ed25519FromPrivate(std::span<const std::uint8_t, 32> privateKey);

/// @return The signature of the bytes.
std::array<std::uint8_t, 64> signEd25519(std::span<const std::uint8_t, 32> privateKey, std::string_view bytes);

/// Ed25519 and SHA-256 by OpenSSL. Models SignatureVerifier. Thread-safe.
class OpenSslVerifier {
public:
    /// @return False for a wrong signature and for a public key that is no point of the curve.
    bool verify(std::span<const std::uint8_t, 32> publicKey, std::string_view bytes, std::span<const std::uint8_t, 64> signature) const;
    BundleDigest digest(std::string_view bytes) const;
};

}
