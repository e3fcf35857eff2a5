#pragma once

#include "teaselturn/Result.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

/// zstd compression of long messages between processes.
namespace teaselturn {

/// @return The compressed bytes; empty if compression does not make them shorter.
std::vector<std::uint8_t> compress(std::span<const std::uint8_t> bytes);

/// @param maxBytes Maximum size of the decompressed bytes.
/// @return The decompressed bytes, or MessageMalformed.
Result<std::vector<std::uint8_t>> decompress(std::span<const std::uint8_t> bytes, std::size_t maxBytes);

}
