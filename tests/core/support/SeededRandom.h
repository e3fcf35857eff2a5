#pragma once

#include <cstdint>
#include <random>

namespace teaselturn::support {

/// Reproducible RandomSource.
class SeededRandom {
public:
    explicit SeededRandom(std::uint64_t seed)
        : engine(seed)
    {
    }

    std::uint64_t below(std::uint64_t bound) { return this->engine() % bound; }

private:
    std::mt19937_64 engine;
};

}
