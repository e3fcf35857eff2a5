#pragma once

#include "adapters/crypto/Ed25519.h"
#include "teaselturn/Result.h"

#include <filesystem>
#include <string>

namespace teaselturn {

/// An operator's key pair and the operator's name in bundles.
struct OperatorKeyPair {
    std::string name;
    Ed25519KeyPair keys;
};

/// Reads a private key file `{"name", "privateKey"}`.
/// @return The key pair, or KeyFileInvalid if the file cannot be read, is malformed, or grants permissions to its group
/// or to others.
Result<OperatorKeyPair> loadOperatorKey(const std::filesystem::path& file);

/// Writes a private key file with mode 0600. Fails if the file exists.
Status saveOperatorKey(const std::filesystem::path& file, const OperatorKeyPair& pair);

/// Returns the public key as a JSON object for bundles and settings: `{"name", "publicKey"}`.
std::string writePublicKey(const OperatorKeyPair& pair);

}
