// Keys of TLS session tickets, and when they change. Free of I/O.
#pragma once
#include "base/time.hpp"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

namespace ivyrill::access {

// The keys that session tickets are sealed with: a fresh one each span, the one before still opens what it
// sealed, older ones open nothing.
class TicketKeys {
  public:
    struct Key {
        std::array<unsigned char, 16> name{};
        std::array<unsigned char, 32> cipher_key{}, mac_key{};
    };
    enum class Use { kNone, kDecrypt, kDecryptAndRenew };
    explicit TicketKeys(Tenths span) : span_(span) {}

    // Bytes are drawn by the caller, who may: 80 of them make a key.
    bool wants_key(Tenths now) const { return !keys_.has_value() || now >= made_ + span_; }
    void add(const Key& fresh, Tenths now) {
        if (keys_) before_ = keys_;
        keys_ = fresh, made_ = now;
    }
    const Key* encryption_key() const { return keys_ ? &*keys_ : nullptr; }
    std::pair<Use, const Key*> decryption_key(const unsigned char* name) const {
        const auto named = [name](const Key& key) {
            return std::equal(key.name.begin(), key.name.end(), name);
        };
        if (keys_ && named(*keys_)) return {Use::kDecrypt, &*keys_};
        if (before_ && named(*before_)) return {Use::kDecryptAndRenew, &*before_};
        return {Use::kNone, nullptr};
    }

  private:
    Tenths span_, made_ = 0;
    std::optional<Key> keys_, before_;
};

} // namespace ivyrill::access
