// The key ring: named keys, each with its lifecycle states (announced, active, outgoing, gone) and the times
// at which they begin. A ring is read from the files of a key directory, checked as a whole, and immutable
// afterwards. A key file is a JSON Web Key (RFC 7517) with `kid` and the times `announced`, `active` and, if
// known, `outgoing` and `gone` in whole seconds since 1970.
#pragma once
#include "access/signature.hpp"
#include "access/types.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ivyrill::access {

enum class KeyState {
    kAnnounced, // published to verifiers but not yet used to sign; tokens signed with it are rejected
    kActive,    // signs and verifies
    kOutgoing,  // no longer signs, still verifies
    kGone,      // expired; tokens signed with it are rejected
};
std::string_view name_of(KeyState state);

struct KeyTimes {
    Ticks announced = 0, active = 0, outgoing = kNever, gone = kNever;
    KeyState at(Ticks now) const;
    friend bool operator==(const KeyTimes&, const KeyTimes&) = default;
};

struct Key {
    std::string name; // its `kid`
    SigningKey signing;
    KeyTimes times;
    // Whether the key verifies signatures now. Signers' clocks may be ahead by `skew` when the key becomes
    // active; `gone` takes effect exactly at its time.
    bool verifies(Ticks now, Ticks skew) const;
};

class KeyRing {
  public:
    // Throws AccessError if a file cannot be parsed, two keys have the same name, a key's times are out of
    // order, or a name belonged to a different key before.
    static KeyRing read(const std::vector<NamedText>& files, const KeyRing* previous);

    const Key* find(std::string_view name) const;
    const std::map<std::string, Key, std::less<>>& keys() const { return keys_; }
    // The most recently activated active key: the one that a signer uses.
    const Key* signer(Ticks now) const;
    Ticks next_change(Ticks after, Ticks skew) const; // kNever if no change is pending

  private:
    std::map<std::string, Key, std::less<>> keys_;
    // Of all keys seen so far, including removed ones.
    std::map<std::string, std::string, std::less<>> fingerprints_;
};

Key read_key(const NamedText& file);                      // throws AccessError
std::string write_key(const Key& key, bool with_private); // the contents of its file
// For keys, members and clubs: 1 to 64 letters, digits, '-', '_' or '.'.
bool is_valid_name(std::string_view name);

// Revoked credentials, stored in `revocations.json`: tokens by `jti` with the time until which the entry is
// kept (their expiry); members as club/member with the time before which their tokens are rejected;
// certificates by serial number in hexadecimal.
struct Revocations {
    std::map<std::string, Ticks, std::less<>> tokens, members;
    std::map<std::string, Ticks, std::less<>> certificates; // with the time of revocation
    static Revocations read(const NamedText& file);         // throws AccessError
    std::string write() const;
    // Removes entries of expired tokens, and of members whose earlier tokens have all expired.
    void remove_expired(Ticks now, Ticks skew, Ticks max_token_lifetime);
};

// The result of a key rotation: a new key of the same algorithm, announced now and active after `lead`. The
// current signing key becomes outgoing then, and gone after another `overlap`.
struct Rotation {
    Key new_key;
    std::vector<Key> changed_keys;
};
Rotation rotate(const KeyRing& ring, std::string name, std::optional<Algorithm> algorithm, Ticks now,
                Ticks lead, Ticks overlap);

} // namespace ivyrill::access
