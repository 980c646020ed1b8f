// 64-bit FNV-1a followed by the MurmurHash3 finalizer, so that every bit of the result depends on every bit
// of the text. Results are the same on every machine, since processes compare ranges, partitions and
// rendezvous orders.
#pragma once
#include <cstdint>
#include <string_view>

namespace ivyrill {

constexpr std::uint64_t mix_bits(std::uint64_t value) {
    value ^= value >> 33U;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33U;
    value *= 0xc4ceb9fe1a85ec53ULL;
    return value ^ value >> 33U;
}

constexpr std::uint64_t hash_text(std::string_view text, std::uint64_t seed = 0) {
    std::uint64_t hash = 0xcbf29ce484222325ULL ^ seed;
    for (const char character : text) {
        hash ^= static_cast<unsigned char>(character);
        hash *= 0x100000001b3ULL;
    }
    return mix_bits(hash);
}

} // namespace ivyrill
