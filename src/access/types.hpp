// Types for callers, rights and access decisions. No I/O. Times are tenths of a millisecond since 1970 (UTC),
// as given by the trusted clock in trusted_clock.hpp.
#pragma once
#include "base/ids.hpp"
#include "base/time.hpp"

#include <cstdint>
#include <limits>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace ivyrill::access {

inline constexpr Ticks kNever = std::numeric_limits<Ticks>::max(); // no such time

enum class Right { kRead, kWriteOwn };
struct Rights {
    bool read = false, write_own = false;
    bool has(Right right) const { return right == Right::kRead ? read : write_own; }
    friend bool operator==(const Rights&, const Rights&) = default;
};

// Why a request was refused. The client receives the answer of refusal_of; the name is written only to the
// audit log.
enum class Reason {
    kAdmitted,
    kNoCredential,
    kMalformed,
    kUnknownKey,
    kBadSignature,
    kExpired,
    kNotYet,
    kWrongAudience,
    kRevoked,
    kWrongClub,
    kNoRight,
    kNotOwner,
};
std::string_view name_of(Reason reason);

// The response to a refused request. All 401 responses are alike, and so are all 403 responses, so that a
// client cannot find out which keys, members or notes exist.
struct Refusal {
    int status = 401;
    std::string_view challenge; // of WWW-Authenticate (RFC 6750)
    std::string_view message;
};
Refusal refusal_of(Reason reason);

struct Caller { // identity that a credential proves
    std::string club, member;
    Rights rights;
    std::vector<std::string> owned; // keys of notes; a trailing * matches every key with that prefix
    friend bool operator==(const Caller&, const Caller&) = default;
};
bool owns(const Caller& caller, std::string_view key);

// A file, key or revocation list that cannot be used; the message names it.
class AccessError : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

struct NamedText { // contents of a file
    std::string name, text;
};

} // namespace ivyrill::access
