#ifndef LABURNUMREACH_CORE_RANDOM_SOURCE_HPP
#define LABURNUMREACH_CORE_RANDOM_SOURCE_HPP

#include <cassert>
#include <cstdint>
#include <random>

namespace laburnumreach::core
{

/// Seeded pseudo-random numbers, so that tests can reproduce random decisions. Not cryptographically secure
/// and not thread-safe.
class random_source
{
public:
    explicit random_source(std::uint64_t seed) : engine(seed) {}

    /// Returns a number in [0, bound).
    /// @param bound greater than zero
    std::uint64_t below(std::uint64_t bound)
    {
        assert(bound > 0);
        return std::uniform_int_distribution<std::uint64_t>{0, bound - 1}(this->engine);
    }

    /// Returns a number in [0, 1).
    double uniform() { return std::uniform_real_distribution<double>{0.0, 1.0}(this->engine); }

    /// Returns true with the given probability.
    bool chance(double probability) { return this->uniform() < probability; }

private:
    std::mt19937_64 engine;
};

} // namespace laburnumreach::core

#endif
