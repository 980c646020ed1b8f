// Cache of tokens whose signatures have been verified, so that repeated use of a token skips the signature
// check. Only the verification result is cached: expiry, key state, revocation and rights are checked on
// every use. The table has a fixed size and is set-associative with CLOCK replacement in each set; entries
// are indexed by the SHA-256 of the token's bytes, so an attacker cannot produce collisions. Failed
// verifications are not cached, since anyone could fill the table with them.
#pragma once
#include "access/token.hpp"

#include <array>
#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace ivyrill::access {

class TokenCache {
  public:
    explicit TokenCache(std::size_t max_tokens); // rounded up to whole sets; 0 disables the cache
    struct VerifiedToken {                       // claims is null if the token is not cached
        std::shared_ptr<const Claims> claims;
        std::string key_fingerprint;
    };
    VerifiedToken find(std::string_view token);
    void put(std::string_view token, VerifiedToken proof);
    // Removes the entries whose claims satisfy the predicate.
    template <class Predicate> void erase_if(Predicate predicate) {
        for (Set& set : sets_)
            for (Entry& entry : set.entries)
                if (entry.proof.claims && predicate(*entry.proof.claims)) entry = {}, --size_;
    }
    std::size_t size() const { return size_; }
    std::size_t capacity() const { return sets_.size() * kWays; }

  private:
    static constexpr std::size_t kWays = 8;
    struct Entry {
        std::array<std::uint64_t, 4> digest{};
        VerifiedToken proof;
        bool used = false;
    };
    struct Set {
        std::array<Entry, kWays> entries;
        std::size_t clock_hand = 0;
    };
    std::vector<Set> sets_;
    std::size_t size_ = 0;
};

} // namespace ivyrill::access
