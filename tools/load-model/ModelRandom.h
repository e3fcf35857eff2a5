#pragma once

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/gamma_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cstdint>

namespace teaselturn::model {

/// The random number generator of one run; models RandomSource. It uses Boost's distributions, since a seed must give
/// the same sequence with every compiler.
class ModelRandom {
public:
    explicit ModelRandom(std::uint64_t seed)
        : engine(seed)
    {
    }

    /// @return A number in [0, bound).
    std::uint64_t below(std::uint64_t bound) { return boost::random::uniform_int_distribution<std::uint64_t> { 0, bound - 1 }(this->engine); }
    /// @return A number in [0, 1).
    double share() { return boost::random::uniform_01<double> {}(this->engine); }
    /// @return An interval between arrivals of a Poisson process, in the unit of `mean`.
    double exponential(double mean) { return boost::random::exponential_distribution<double> { 1 / mean }(this->engine); }

    /// @return A number in [low, high).
    double between(double low, double high) { return low + (high - low) * this->share(); }

    /// @return A gamma-distributed service time in the unit of `mean`: rarely much shorter than the mean, sometimes twice
    /// as long.
    double workingTime(double mean)
    {
        constexpr double shape = 6;
        return boost::random::gamma_distribution<double> { shape, mean / shape }(this->engine);
    }

private:
    boost::random::mt19937_64 engine;
};

}
