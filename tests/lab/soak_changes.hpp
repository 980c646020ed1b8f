// The configurations sent by a soak's operator: each changes the previous one, drawn from the seed. Performs
// no I/O.
#pragma once
#include "lab/soak_record.hpp"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace ivyrill::lab {

inline constexpr const char* kSoakModel = "model";
inline constexpr const char* kSoakOther = "other"; // the second service

class SoakChanges {
  public:
    explicit SoakChanges(std::uint64_t seed);

    SoakVersion first();
    // Uses the next number; keys and routes are added, removed and moved.
    SoakVersion next(const SoakVersion& former);
    SoakVersion invalid(const SoakVersion& former);

    // All keys ever sent, newest last.
    const std::vector<std::string>& keys() const { return keys_; }
    const std::vector<std::string>& prefixes() const { return prefixes_; }

  private:
    void change_keys(SoakVersion& version);
    void change_routes(SoakVersion& version);
    std::string fresh_key();
    std::int64_t draw(std::int64_t most) { return static_cast<std::int64_t>(random_() % (most + 1)); }

    std::mt19937_64 random_;
    std::int64_t number_ = 0;
    std::vector<std::string> keys_, prefixes_;
};

} // namespace ivyrill::lab
