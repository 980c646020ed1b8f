// Authenticates callers and authorizes searches. A state machine without I/O or a clock of its own. It holds
// one policy, which a reload replaces as a whole, and a cache of verified tokens; each decision uses the
// policy in force at that moment.
#pragma once
#include "access/certificate.hpp"
#include "access/keys.hpp"
#include "access/token.hpp"
#include "access/token_cache.hpp"
#include "access/types.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ivyrill::access {

// The access section of the operator's configuration.
struct AccessOptions {
    std::string issuer, audience;
    Ticks skew = 0;                    // tolerated difference between the signers' clocks and ours
    Ticks settle = 0;                  // how long a clock jump must persist before it is accepted
    Ticks crl_grace = 0;               // how long a CRL is accepted past its nextUpdate time
    Ticks max_token_lifetime = kNever; // from `iat` to `exp`; bounds how long revocations are kept
    std::size_t max_token_bytes = 0;
    std::size_t max_cached_tokens = 0;
    std::map<std::string, std::string, std::less<>> clubs;     // to the tenant that it is accounted to
    std::map<std::string, Right, std::less<>> request_classes; // to the right that each requires
    std::optional<Right> other_request_classes;                // for all others; nullopt: refused
    std::vector<NameRule> names;                               // for client certificates
};

struct AccessFiles { // contents as read; empty members were absent
    std::vector<NamedText> keys, authorities, crls;
    std::optional<NamedText> revocations;
};

struct Policy {
    AccessOptions options;
    KeyRing ring;
    Revocations revoked;
    std::shared_ptr<const Authorities> authorities; // null: client certificates are not accepted
    std::uint64_t generation = 0;                   // incremented on each replacement
};

// Reads and checks all files together. Throws AccessError on any problem; the previous policy then stays in
// force.
std::shared_ptr<const Policy> read_policy(AccessOptions options, const AccessFiles& files,
                                          const Policy* previous, Ticks now);

struct Credential {
    std::string token;                  // from `Authorization: Bearer`; empty if absent
    bool malformed = false;             // the Authorization header is present but is not a Bearer token
    std::shared_ptr<const Chain> chain; // the peer's TLS client certificate; null if none
};

struct AccessRequest { // what a search asks for
    std::string request_class, tenant, key;
    friend bool operator==(const AccessRequest&, const AccessRequest&) = default;
};

// The evidence that a search was admitted by. It can be rechecked later without the credential's bytes.
struct Proof {
    std::shared_ptr<const Claims> claims; // of a token, or null
    std::string key_fingerprint;
    std::shared_ptr<const Chain> chain; // of a client certificate, or null
    AccessRequest request;
};

struct Decision {
    Reason reason = Reason::kNoCredential;
    Caller caller;      // set if the credential is valid
    std::string tenant; // that the search is accounted to
    Proof proof;
    std::string key; // the key id that the token names; unverified, only for the audit log
};

struct AuthorizerCounts {
    std::uint64_t admitted = 0, refused = 0, verified = 0, from_cache = 0, policy_replacements = 0,
                  barred = 0;
    std::map<Reason, std::uint64_t> reasons;
};

class Authorizer {
  public:
    explicit Authorizer(std::shared_ptr<const Policy> policy);

    Decision admit(const Credential& credential, const AccessRequest& request, Ticks now);
    // Whether a search admitted by this proof would still be admitted. The token's own expiry is ignored,
    // since a search that was admitted in time is not ended by it. Keys, revocations, clubs and rights are
    // checked.
    Reason recheck(const Proof& proof, Ticks now) const;
    // Whether this chain is still valid.
    Reason recheck(const Chain& chain, Ticks now) const;
    void replace_policy(std::shared_ptr<const Policy> next);
    // The next time after `after` at which a key becomes active or expires, or a CRL expires; kNever if there
    // is none.
    Ticks next_change(Ticks after) const;

    const Policy& policy() const { return *policy_; }
    const AuthorizerCounts& counts() const { return counts_; }
    std::size_t cached_tokens() const { return cache_.size(); }

  private:
    Decision authenticate(const Credential& credential, Ticks now);
    Reason check_claims(const Claims& claims, const std::string& key_fingerprint, Ticks now,
                        bool check_times) const;
    MappedCaller check_chain(const Chain& chain, Ticks now) const;
    const MappedCaller& cached_chain_check(const std::shared_ptr<const Chain>& chain, Ticks now);
    Reason check_rights(const Caller& caller, const AccessRequest& request) const;
    bool revoked(const Caller& caller, Ticks issued) const;

    // All searches on a connection share one chain: its check result is reused until the policy changes, a
    // CRL expires or the leaf certificate expires.
    struct CachedChain {
        std::weak_ptr<const Chain> chain;
        std::uint64_t generation = 0;
        Ticks valid_from = 0, valid_until = 0;
        MappedCaller mapped;
    };

    std::shared_ptr<const Policy> policy_;
    TokenCache cache_;
    std::map<const Chain*, CachedChain> chains_;
    AuthorizerCounts counts_;
};

} // namespace ivyrill::access
