#include "access/token_cache.hpp"

#include "access/signature.hpp"

#include <algorithm>
#include <cstring>

namespace ivyrill::access {

namespace {

std::array<std::uint64_t, 4> digest_of(std::string_view token) {
    const std::string hash = sha256(token);
    std::array<std::uint64_t, 4> out;
    std::memcpy(out.data(), hash.data(), sizeof out);
    return out;
}

} // namespace

TokenCache::TokenCache(std::size_t max_tokens) : sets_((max_tokens + kWays - 1) / kWays) {}

TokenCache::VerifiedToken TokenCache::find(std::string_view token) {
    if (sets_.empty()) return {};
    const auto digest = digest_of(token);
    for (Entry& entry : sets_[digest[0] % sets_.size()].entries) {
        if (!entry.proof.claims || entry.digest != digest) continue;
        entry.used = true;
        return entry.proof;
    }
    return {};
}

void TokenCache::put(std::string_view token, VerifiedToken proof) {
    if (sets_.empty()) return;
    const auto digest = digest_of(token);
    Set& set = sets_[digest[0] % sets_.size()];
    auto slot = std::ranges::find(set.entries, digest, &Entry::digest);
    if (slot == set.entries.end())
        slot = std::ranges::find_if(set.entries, [](auto& e) { return !e.proof.claims; });
    while (slot == set.entries.end()) { // CLOCK: skips entries used since the last pass
        Entry& entry = set.entries[set.clock_hand];
        if (!entry.used) slot = set.entries.begin() + static_cast<std::ptrdiff_t>(set.clock_hand);
        entry.used = false;
        set.clock_hand = (set.clock_hand + 1) % kWays;
    }
    if (!slot->proof.claims) ++size_;
    *slot = {digest, std::move(proof), false};
}

} // namespace ivyrill::access
