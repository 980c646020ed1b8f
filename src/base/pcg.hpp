// Permuted congruential generator (PCG-XSH-RR 64/32, M. E. O'Neill, 2014).
#pragma once
#include <cstdint>

namespace ivyrill {

class Pcg {
  public:
    explicit Pcg(std::uint64_t seed) : state_(seed + kStep) { next(); }
    std::uint32_t next() {
        const std::uint64_t old = state_;
        state_ = old * 6364136223846793005ULL + kStep;
        const auto mixed = static_cast<std::uint32_t>(((old >> 18U) ^ old) >> 27U);
        const auto turn = static_cast<std::uint32_t>(old >> 59U);
        return (mixed >> turn) | (mixed << ((32U - turn) & 31U));
    }
    double unit() { return next() / 4294967296.0; } // in [0, 1)

  private:
    static constexpr std::uint64_t kStep = 1442695040888963407ULL;
    std::uint64_t state_;
};

} // namespace ivyrill
