#pragma once

#include <filesystem>
#include <optional>
#include <string>

namespace teaselturn {

/// Reason why a certificate and its private key cannot be used.
struct TlsFault {
    /// True if the certificate is invalid, false if the key is.
    bool isCertificate {};
    /// The file, and what is wrong with it.
    std::string found;
    /// Description of a valid file.
    std::string allowed;
};

/// Checks that a certificate chain and a private key can be read as PEM and belong together.
/// @return The first problem found, or nothing if both files are valid.
std::optional<TlsFault> findTlsFault(const std::filesystem::path& certificate, const std::filesystem::path& key);

}
