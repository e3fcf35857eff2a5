#pragma once

#include "teaselturn/Ports.h"

#include <cstdint>
#include <random>

namespace teaselturn {

/// Pseudo-random numbers, seeded from std::random_device. Models RandomSource. Not suitable for secrets.
class SystemRandom {
public:
    SystemRandom()
    {
        std::random_device device;
        std::seed_seq seed { device(), device(), device(), device() };
        this->engine.seed(seed);
    }

    std::uint64_t below(std::uint64_t bound) { return std::uniform_int_distribution<std::uint64_t> { 0, bound - 1 }(this->engine); }

private:
    std::mt19937_64 engine;
};

static_assert(RandomSource<SystemRandom>);

}
