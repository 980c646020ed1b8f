// The gate: who is calling, and may this search be taken. A state machine free of I/O and of the clock but
// the one handed in. It holds one policy, which a reload replaces whole, and a cache of proofs; each decision
// is made from the policy in force at that moment.
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

// What the operator's file says of access.
struct AccessOptions {
    std::string issuer, audience;
    Tenths skew = 0;      // by which signers' clocks may differ from ours
    Tenths settle = 0;    // how long a jump of the clock must stand before it is believed
    Tenths crl_grace = 0; // how long a CRL counts past its time
    Tenths max_token_lifetime =
        kNever; // from a token's `iat` to its `exp`: bounds how long revocations are kept
    std::size_t max_token_bytes = 0;                           // bytes
    std::size_t max_cached_tokens = 0;                         // tokens whose signature is remembered
    std::map<std::string, std::string, std::less<>> clubs;     // to the tenant that bears its share
    std::map<std::string, Right, std::less<>> request_classes; // the right that each asks for
    std::optional<Right> other_request_classes;                // ... of the others; nothing: nobody may
    std::vector<NameRule> names;                               // of client certificates
};

struct AccessFiles { // as they were read; what is empty was not there
    std::vector<NamedText> keys, authorities, crls;
    std::optional<NamedText> revocations;
};

struct Policy {
    AccessOptions terms;
    KeyRing ring;
    Revocations revoked;
    std::shared_ptr<const Authorities> authorities; // null: certificates prove nothing
    std::uint64_t generation = 0;                   // counts the policy_replacements
};

// Reads and checks everything together. Throws AccessError, and then nothing has changed.
std::shared_ptr<const Policy> read_policy(AccessOptions terms, const AccessFiles& files, const Policy* before,
                                          Tenths now);

struct Credential {
    std::string token;                  // of `Authorization: Bearer`; empty: none
    bool malformed = false;             // that header was there and held something else
    std::shared_ptr<const Chain> chain; // that the peer's TLS layer showed; null: none
};

struct AccessRequest { // what a search is about
    std::string request_class, tenant, key;
    friend bool operator==(const AccessRequest&, const AccessRequest&) = default;
};

// What a search was let in by: it can be judged again later, without the credential's bytes.
struct Proof {
    std::shared_ptr<const Claims> claims; // of a token
    std::string key_fingerprint;
    std::shared_ptr<const Chain> chain; // or of a certificate
    AccessRequest request;
};

struct Decision {
    Reason reason = Reason::kNoCredential;
    Caller caller;      // whom the credential proves, where one is proven
    std::string tenant; // that the search counts for
    Proof proof;
    std::string key; // the named key, as the token says it; not proven, for the audit log
};

struct AuthorizerCounts {
    std::uint64_t admitted = 0, refused = 0, verified = 0, from_cache = 0, policy_replacements = 0,
                  barred = 0;
    std::map<Reason, std::uint64_t> reasons;
};

class Authorizer {
  public:
    explicit Authorizer(std::shared_ptr<const Policy> policy);

    Decision admit(const Credential& credential, const AccessRequest& request, Tenths now);
    // Whether what was let in by this proof would be let in still, apart from the token's own time: a search
    // that was taken in time is not ended by its token's expiry. Keys, revocations, clubs and rights count.
    Reason recheck(const Proof& proof, Tenths now) const;
    // Whether this chain proves a caller still.
    Reason recheck(const Chain& chain, Tenths now) const;
    void replace_policy(std::shared_ptr<const Policy> next);
    // When something changes by itself: a key becomes active, is gone, a CRL runs out. kNever: never.
    Tenths next_change(Tenths after) const;

    const Policy& policy() const { return *policy_; }
    const AuthorizerCounts& counts() const { return counts_; }
    std::size_t cached_tokens() const { return cache_.size(); }

  private:
    Decision authenticate(const Credential& credential, Tenths now);
    Reason check_claims(const Claims& claims, const std::string& key_fingerprint, Tenths now,
                        bool check_times) const;
    MappedCaller check_chain(const Chain& chain, Tenths now) const;
    const MappedCaller& cached_chain_check(const std::shared_ptr<const Chain>& chain, Tenths now);
    Reason check_rights(const Caller& caller, const AccessRequest& request) const;
    bool revoked(const Caller& caller, Tenths issued) const;

    // A connection shows one chain for all its searches: what was found of it holds until the policy changes,
    // a CRL runs out or the leaf does.
    struct CachedChain {
        std::weak_ptr<const Chain> chain;
        std::uint64_t generation = 0;
        Tenths from = 0, until = 0;
        MappedCaller mapped;
    };

    std::shared_ptr<const Policy> policy_;
    TokenCache cache_;
    std::map<const Chain*, CachedChain> chains_;
    AuthorizerCounts counts_;
};

} // namespace ivyrill::access
