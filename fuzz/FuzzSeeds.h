#pragma once

#include <cstdint>
#include <vector>

/// Valid inputs of a fuzz target, which the fixed run damages. A target that needs none leaves it undefined.
[[gnu::weak]] std::vector<std::vector<std::uint8_t>> fuzzSeeds();
