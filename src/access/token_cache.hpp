// Tokens whose signatures have been verified, so that the next search with the same token need not verify it
// again. What it keeps is the proof alone: expiry, key state, revocation and rights are judged anew each
// time, so that nothing here can outlive them. A set-associative table of fixed size with a second chance in
// each set (the CLOCK approximation of least recently used), by the SHA-256 of the token's bytes: nobody can
// make two tokens meet. What failed is not kept: a stranger could fill the table with it.
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
    explicit TokenCache(std::size_t max_tokens); // tokens; rounded up to whole sets, 0: none
    struct VerifiedToken { // the claims of a token, and the print of the key that proved them; null where
                           // none is
                           // held
        std::shared_ptr<const Claims> claims;
        std::string key_fingerprint;
    };
    VerifiedToken find(std::string_view token);
    void put(std::string_view token, VerifiedToken proof);
    // Takes out what nobody can use any more.
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
