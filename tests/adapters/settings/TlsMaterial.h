#pragma once

#include <filesystem>

namespace teaselturn {

/// Generates a P-256 key and a self-signed certificate for 127.0.0.1 that is valid for one hour, and writes both as PEM
/// files.
void writeTlsMaterial(const std::filesystem::path& certificate, const std::filesystem::path& key);

}
