#pragma once

#include "adapters/crypto/Ed25519.h"
#include "teaselturn/Result.h"

#include <filesystem>
#include <string>

namespace teaselturn {

/// An operator's key pair with the name under which bundles list it.
struct OperatorKeyPair {
    std::string name;
    Ed25519KeyPair keys;
};

/// Reads a private key file `{"name", "privateKey"}`.
/// @return KeyFileInvalid where it cannot be read, has another form, or other users of the machine can use it.
Result<OperatorKeyPair> loadOperatorKey(const std::filesystem::path& file);

/// Writes a private key file with mode 0600. An existing file is kept.
Status saveOperatorKey(const std::filesystem::path& file, const OperatorKeyPair& pair);

/// @return The public part as bundles and settings list it: `{"name", "publicKey"}`.
std::string writePublicKey(const OperatorKeyPair& pair);

}
