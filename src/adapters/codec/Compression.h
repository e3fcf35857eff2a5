#pragma once

#include "teaselturn/Result.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

/// Compression of long messages between processes, by zstd.
namespace teaselturn {

/// @return The compressed bytes; empty where compression does not make them shorter.
std::vector<std::uint8_t> compress(std::span<const std::uint8_t> bytes);

/// @param maxBytes Longest result that is accepted.
/// @return The bytes as they were, or MessageMalformed.
Result<std::vector<std::uint8_t>> decompress(std::span<const std::uint8_t> bytes, std::size_t maxBytes);

}
