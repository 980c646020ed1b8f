// Permuted congruential generator (PCG-XSH-RR 64/32, M. E. O'Neill, 2014).
#pragma once
#include <cstdint>

namespace ivyrill {

class Pcg {
  public:
    explicit Pcg(std::uint64_t seed) : state_(seed + kIncrement) { next(); }
    std::uint32_t next() {
        const std::uint64_t previous = state_;
        state_ = previous * 6364136223846793005ULL + kIncrement;
        const auto xorshifted = static_cast<std::uint32_t>(((previous >> 18U) ^ previous) >> 27U);
        const auto rotation = static_cast<std::uint32_t>(previous >> 59U);
        return (xorshifted >> rotation) | (xorshifted << ((32U - rotation) & 31U));
    }
    double unit() { return next() / 4294967296.0; } // in [0, 1)

  private:
    static constexpr std::uint64_t kIncrement = 1442695040888963407ULL;
    std::uint64_t state_;
};

} // namespace ivyrill
