// Rotation of the keys for TLS session tickets (RFC 5077). No I/O.
#pragma once
#include "base/time.hpp"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

namespace ivyrill::access {

// Creates a new key every `span`. The previous key still decrypts the tickets that it encrypted, which are
// then renewed; older keys are discarded.
class TicketKeys {
  public:
    struct Key {
        std::array<unsigned char, 16> name{};
        std::array<unsigned char, 32> cipher_key{}, mac_key{};
    };
    enum class Use { kNone, kDecrypt, kDecryptAndRenew };
    explicit TicketKeys(Ticks span) : span_(span) {}

    // Whether a new key is due. The caller supplies the 80 random bytes of a new key.
    bool wants_key(Ticks now) const { return !current_.has_value() || now >= created_at_ + span_; }
    void add(const Key& new_key, Ticks now) {
        if (current_) previous_ = current_;
        current_ = new_key, created_at_ = now;
    }
    const Key* encryption_key() const { return current_ ? &*current_ : nullptr; }
    std::pair<Use, const Key*> decryption_key(const unsigned char* name) const {
        const auto named = [name](const Key& key) {
            return std::equal(key.name.begin(), key.name.end(), name);
        };
        if (current_ && named(*current_)) return {Use::kDecrypt, &*current_};
        if (previous_ && named(*previous_)) return {Use::kDecryptAndRenew, &*previous_};
        return {Use::kNone, nullptr};
    }

  private:
    Ticks span_, created_at_ = 0;
    std::optional<Key> current_, previous_;
};

} // namespace ivyrill::access
