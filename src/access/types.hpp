// What access knows of a caller and says of a search. Free of I/O. Times are tenths of a millisecond since
// 1970 (UTC), as the trusted clock of clock.hpp tells them.
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

inline constexpr Tenths kNever = std::numeric_limits<Tenths>::max(); // a time that does not come

enum class Right { kRead, kWriteOwn };
struct Rights {
    bool read = false, write_own = false;
    bool has(Right right) const { return right == Right::kRead ? read : write_own; }
    friend bool operator==(const Rights&, const Rights&) = default;
};

// Each with the answer that a client hears; the name goes to the audit log alone.
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

// What the client hears of a refusal: 401 and 403 do not differ within themselves, so that nobody learns
// which keys, members or notes there are.
struct Refusal {
    int status = 401;
    std::string_view challenge; // of WWW-Authenticate (RFC 6750)
    std::string_view message;
};
Refusal refusal_of(Reason reason);

struct Caller { // whom a credential proves
    std::string club, member;
    Rights rights;
    std::vector<std::string> owned; // keys of notes; one that ends in * stands for all that begin so
    friend bool operator==(const Caller&, const Caller&) = default;
};
bool owns(const Caller& caller, std::string_view key);

// A file, key or list that cannot be used; the message names it.
class AccessError : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

struct NamedText { // the bytes of a file
    std::string name, text;
};

} // namespace ivyrill::access
