#pragma once

#include <filesystem>
#include <optional>
#include <string>

namespace teaselturn {

/// Why a certificate and its key cannot be used.
struct TlsFault {
    /// True where the certificate is at fault, false for the key.
    bool isCertificate {};
    std::string found;
    std::string allowed;
};

/// Checks that a certificate chain and a private key can be read as PEM and belong together.
/// @return What is wrong, or nothing.
std::optional<TlsFault> findTlsFault(const std::filesystem::path& certificate, const std::filesystem::path& key);

}
