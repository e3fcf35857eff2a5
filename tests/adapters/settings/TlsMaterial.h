#pragma once

#include <filesystem>

namespace teaselturn {

/// Writes a self-signed certificate for 127.0.0.1 and its private key, made anew, as PEM files.
void writeTlsMaterial(const std::filesystem::path& certificate, const std::filesystem::path& key);

}
