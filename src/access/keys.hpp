// The key ring: named keys, each with the states announced, active, outgoing and gone and the times at which
// they follow on. A ring is read and checked whole from the files of a key directory and never changes after.
// A key file is a JSON Web Key (RFC 7517) with `kid` and, in whole seconds since 1970, `announced`, `active`
// and, where they are known, `outgoing` and `gone`.
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
    kAnnounced, // verifiers know it, nobody signs with it yet; it verifies nothing
    kActive,    // signs and verifies
    kOutgoing,  // signs nothing new, verifies what it signed
    kGone,      // verifies nothing
};
std::string_view name_of(KeyState state);

struct KeyTimes {
    Tenths announced = 0, active = 0, outgoing = kNever, gone = kNever;
    KeyState at(Tenths now) const;
    friend bool operator==(const KeyTimes&, const KeyTimes&) = default;
};

struct Key {
    std::string name; // its `kid`
    SigningKey signing;
    KeyTimes times;
    // Whether it verifies now. Signers' clocks may be ahead of ours by the skew when it becomes active; that
    // it is gone holds from the stated moment on.
    bool verifies(Tenths now, Tenths skew) const;
};

class KeyRing {
  public:
    // Throws AccessError: a file that cannot be read, two keys of one name, times out of order, a name of
    // which another key was in the ring before.
    static KeyRing read(const std::vector<NamedText>& files, const KeyRing* before);

    const Key* find(std::string_view name) const;
    const std::map<std::string, Key, std::less<>>& keys() const { return keys_; }
    // The active key that became so last: what a signer uses.
    const Key* signer(Tenths now) const;
    Tenths next_change(Tenths after, Tenths skew) const; // kNever where nothing is to come

  private:
    std::map<std::string, Key, std::less<>> keys_;
    std::map<std::string, std::string, std::less<>> prints_; // of all keys ever seen, gone ones too
};

Key read_key(const NamedText& file);                      // throws AccessError
std::string write_key(const Key& key, bool with_private); // the text of its file
bool is_valid_name(std::string_view name);                // of keys, members and clubs: 1 to 64 plain letters

// What is taken back before its time. The file `revocations.json`: tokens by `jti` with the time until which
// they are kept (their expiry), members as club/member with the time before which their tokens do not count,
// certificates by serial number, in hexadecimal.
struct Revocations {
    std::map<std::string, Tenths, std::less<>> tokens, members;
    std::map<std::string, Tenths, std::less<>> certificates; // when that was said
    static Revocations read(const NamedText& file);          // throws AccessError
    std::string write() const;
    // Tokens that have expired by themselves, and members none of whose tokens from before can still be good.
    void remove_expired(Tenths now, Tenths skew, Tenths max_token_lifetime);
};

// What a rotation makes of a ring: a fresh key of the same algorithm, announced now and active after `lead`;
// the signer of today goes out then, and is gone after `overlap` more.
struct Rotation {
    Key new_key;
    std::vector<Key> changed_keys;
};
Rotation rotate(const KeyRing& ring, std::string name, std::optional<Algorithm> algorithm, Tenths now,
                Tenths lead, Tenths overlap);

} // namespace ivyrill::access
