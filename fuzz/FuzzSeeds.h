#pragma once

#include <cstdint>
#include <vector>

/// Returns valid inputs of a fuzz target, which FixedRun.cpp mutates. Not defined by a target without valid inputs.
[[gnu::weak]] std::vector<std::vector<std::uint8_t>> fuzzSeeds();
