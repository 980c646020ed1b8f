#include "access/authorizer.hpp"

#include <algorithm>

namespace ivyrill::access {

std::shared_ptr<const Policy> read_policy(AccessOptions options, const AccessFiles& files,
                                          const Policy* previous, Ticks now) {
    auto result = std::make_shared<Policy>();
    result->ring = KeyRing::read(files.keys, previous != nullptr ? &previous->ring : nullptr);
    if (result->ring.keys().empty() && files.authorities.empty())
        throw AccessError(
            "neither a key nor a certificate authority is configured; no caller could be authenticated");
    if (files.revocations) result->revoked = Revocations::read(*files.revocations);
    if (!files.revocations && previous != nullptr && previous->options.issuer == options.issuer) {
        const Revocations& old = previous->revoked;
        if (!old.tokens.empty() || !old.members.empty() || !old.certificates.empty())
            throw AccessError("the revocation file is missing, but revocations are in force");
    }
    if (!files.authorities.empty())
        result->authorities = Authorities::read(files.authorities, files.crls, now, options.crl_grace,
                                                previous != nullptr ? previous->authorities.get() : nullptr);
    result->revoked.remove_expired(now, options.skew, options.max_token_lifetime);
    result->options = std::move(options);
    result->generation = previous != nullptr ? previous->generation + 1 : 1;
    return result;
}

Authorizer::Authorizer(std::shared_ptr<const Policy> policy)
    : policy_(std::move(policy)), cache_(policy_->options.max_cached_tokens) {}

Decision Authorizer::admit(const Credential& credential, const AccessRequest& request, Ticks now) {
    Decision result = authenticate(credential, now);
    result.proof.request = request;
    if (result.reason == Reason::kAdmitted) result.reason = check_rights(result.caller, request);
    if (result.reason == Reason::kAdmitted)
        result.tenant = policy_->options.clubs.find(result.caller.club)->second;
    ++(result.reason == Reason::kAdmitted ? counts_.admitted : counts_.refused);
    ++counts_.reasons[result.reason];
    return result;
}

// A token takes precedence over a client certificate: the caller asks to act as the token's subject, and a
// valid certificate does not make an invalid token acceptable.
Decision Authorizer::authenticate(const Credential& credential, Ticks now) {
    Decision result;
    if (credential.malformed) return result.reason = Reason::kMalformed, result;
    if (credential.token.empty()) {
        if (!credential.chain || credential.chain->certificates.empty()) return result;
        const MappedCaller& mapped = cached_chain_check(credential.chain, now);
        result.reason = mapped.reason, result.caller = mapped.caller;
        result.proof.chain = credential.chain;
        return result;
    }
    // A cached token is neither parsed nor verified again; all other checks are made as for a new one.
    TokenCache::VerifiedToken proof = cache_.find(credential.token);
    const bool is_new = proof.claims == nullptr;
    if (!is_new) {
        ++counts_.from_cache;
        result.key = proof.claims->key;
    } else {
        const TokenParseResult parsed = parse_token(credential.token, policy_->options.max_token_bytes);
        if (const auto* reason = std::get_if<Reason>(&parsed)) return result.reason = *reason, result;
        const ParsedToken& token = std::get<ParsedToken>(parsed);
        result.key = token.claims.key;
        const Key* key = policy_->ring.find(token.claims.key);
        // Keys that are not yet active or already expired are reported as unknown, so that their existence is
        // not disclosed.
        if (key == nullptr || !key->verifies(now, policy_->options.skew))
            return result.reason = Reason::kUnknownKey, result;
        ++counts_.verified;
        if (!has_valid_signature(token, *key)) return result.reason = Reason::kBadSignature, result;
        proof = {std::make_shared<const Claims>(token.claims), key->signing.fingerprint()};
    }
    result.reason = check_claims(*proof.claims, proof.key_fingerprint, now, true);
    if (result.reason != Reason::kAdmitted) return result;
    if (is_new) cache_.put(credential.token, proof);
    result.caller = proof.claims->caller;
    result.proof.claims = std::move(proof.claims),
    result.proof.key_fingerprint = std::move(proof.key_fingerprint);
    return result;
}

Reason Authorizer::check_claims(const Claims& claims, const std::string& key_fingerprint, Ticks now,
                                bool check_times) const {
    const AccessOptions& options = policy_->options;
    const Key* key = policy_->ring.find(claims.key);
    if (key == nullptr || !key->verifies(now, options.skew) || key->signing.fingerprint() != key_fingerprint)
        return Reason::kUnknownKey;
    if (claims.issuer != options.issuer || std::ranges::count(claims.audience, options.audience) == 0)
        return Reason::kWrongAudience;
    if (claims.expires - claims.issued > options.max_token_lifetime) return Reason::kMalformed;
    if (check_times && now >= claims.expires + options.skew) return Reason::kExpired;
    if (check_times && (now + options.skew < claims.not_before || now + options.skew < claims.issued))
        return Reason::kNotYet;
    if (!claims.id.empty() && policy_->revoked.tokens.contains(claims.id)) return Reason::kRevoked;
    return revoked(claims.caller, claims.issued) ? Reason::kRevoked : Reason::kAdmitted;
}

// Whether the member's tokens issued at that time are revoked. Members that changed clubs or lost a device
// get a new token.
bool Authorizer::revoked(const Caller& caller, Ticks issued) const {
    const auto found = policy_->revoked.members.find(caller.club + "/" + caller.member);
    return found != policy_->revoked.members.end() && issued < found->second;
}

MappedCaller Authorizer::check_chain(const Chain& chain, Ticks now) const {
    if (!policy_->authorities) return {Reason::kUnknownKey, {}};
    const Reason reason = policy_->authorities->verify(chain, now);
    if (reason != Reason::kAdmitted) return {reason, {}};
    try {
        const LeafNames names = read_leaf(chain);
        if (policy_->revoked.certificates.contains(names.serial)) return {Reason::kRevoked, {}};
        return map_names(names, policy_->options.names);
    } catch (const AccessError&) { return {Reason::kMalformed, {}}; }
}

const MappedCaller& Authorizer::cached_chain_check(const std::shared_ptr<const Chain>& chain, Ticks now) {
    CachedChain& cached = chains_[chain.get()];
    const bool valid =
        cached.generation == policy_->generation && now >= cached.valid_from && now < cached.valid_until;
    if (cached.chain.lock() == chain && valid) return cached.mapped;
    if (chains_.size() > 64) // removes entries of closed connections
        std::erase_if(
            chains_, [&](auto& entry) { return entry.first != chain.get() && entry.second.chain.expired(); });
    CachedChain checked{chain, policy_->generation, now, now, check_chain(*chain, now)};
    if (checked.mapped.reason == Reason::kAdmitted)
        checked.valid_until = std::min(read_leaf(*chain).not_after, policy_->authorities->next_change(now));
    return (chains_[chain.get()] = std::move(checked)).mapped;
}

// The tenant that a client names must be that of its authenticated club; if it names none, the club's tenant
// is used.
Reason Authorizer::check_rights(const Caller& caller, const AccessRequest& request) const {
    const AccessOptions& options = policy_->options;
    const auto club = options.clubs.find(caller.club);
    if (club == options.clubs.end()) return Reason::kWrongClub;
    if (!request.tenant.empty() && request.tenant != club->second) return Reason::kWrongClub;
    const auto request_class = options.request_classes.find(request.request_class);
    const std::optional<Right> right = request_class != options.request_classes.end()
                                           ? std::optional(request_class->second)
                                           : options.other_request_classes;
    if (!right || !caller.rights.has(*right)) return Reason::kNoRight;
    if (*right == Right::kWriteOwn && !owns(caller, request.key)) return Reason::kNotOwner;
    return Reason::kAdmitted;
}

Reason Authorizer::recheck(const Proof& proof, Ticks now) const {
    if (proof.claims) {
        const Reason reason = check_claims(*proof.claims, proof.key_fingerprint, now, false);
        return reason == Reason::kAdmitted ? check_rights(proof.claims->caller, proof.request) : reason;
    }
    if (!proof.chain) return Reason::kNoCredential;
    const MappedCaller mapped = check_chain(*proof.chain, now);
    return mapped.reason == Reason::kAdmitted ? check_rights(mapped.caller, proof.request) : mapped.reason;
}

Reason Authorizer::recheck(const Chain& chain, Ticks now) const { return check_chain(chain, now).reason; }

void Authorizer::replace_policy(std::shared_ptr<const Policy> next) {
    const bool resized = next->options.max_cached_tokens != policy_->options.max_cached_tokens;
    policy_ = std::move(next);
    ++counts_.policy_replacements;
    if (resized) cache_ = TokenCache(policy_->options.max_cached_tokens);
    cache_.erase_if([this](const Claims& claims) { return policy_->ring.find(claims.key) == nullptr; });
}

Ticks Authorizer::next_change(Ticks after) const {
    const Ticks keys = policy_->ring.next_change(after, policy_->options.skew);
    return policy_->authorities ? std::min(keys, policy_->authorities->next_change(after)) : keys;
}

} // namespace ivyrill::access
