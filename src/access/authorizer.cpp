#include "access/authorizer.hpp"

#include <algorithm>

namespace ivyrill::access {

std::shared_ptr<const Policy> read_policy(AccessOptions terms, const AccessFiles& files, const Policy* before,
                                          Tenths now) {
    auto made = std::make_shared<Policy>();
    made->ring = KeyRing::read(files.keys, before != nullptr ? &before->ring : nullptr);
    if (made->ring.keys().empty() && files.authorities.empty())
        throw AccessError("neither a key nor an authority: nobody could be let in");
    if (files.revocations) made->revoked = Revocations::read(*files.revocations);
    if (!files.revocations && before != nullptr && before->terms.issuer == terms.issuer) {
        const Revocations& old = before->revoked;
        if (!old.tokens.empty() || !old.members.empty() || !old.certificates.empty())
            throw AccessError("the revocations that are in force are missing");
    }
    if (!files.authorities.empty())
        made->authorities = Authorities::read(files.authorities, files.crls, now, terms.crl_grace,
                                              before != nullptr ? before->authorities.get() : nullptr);
    made->revoked.remove_expired(now, terms.skew, terms.max_token_lifetime);
    made->terms = std::move(terms);
    made->generation = before != nullptr ? before->generation + 1 : 1;
    return made;
}

Authorizer::Authorizer(std::shared_ptr<const Policy> policy)
    : policy_(std::move(policy)), cache_(policy_->terms.max_cached_tokens) {}

Decision Authorizer::admit(const Credential& credential, const AccessRequest& request, Tenths now) {
    Decision made = authenticate(credential, now);
    made.proof.request = request;
    if (made.reason == Reason::kAdmitted) made.reason = check_rights(made.caller, request);
    if (made.reason == Reason::kAdmitted) made.tenant = policy_->terms.clubs.find(made.caller.club)->second;
    ++(made.reason == Reason::kAdmitted ? counts_.admitted : counts_.refused);
    ++counts_.reasons[made.reason];
    return made;
}

// A token goes before a certificate: who shows one wants to be taken for its bearer, and where it is not good
// the certificate beside it does not make it so.
Decision Authorizer::authenticate(const Credential& credential, Tenths now) {
    Decision made;
    if (credential.malformed) return made.reason = Reason::kMalformed, made;
    if (credential.token.empty()) {
        if (!credential.chain || credential.chain->certificates.empty()) return made;
        const MappedCaller& mapped = cached_chain_check(credential.chain, now);
        made.reason = mapped.reason, made.caller = mapped.caller;
        made.proof.chain = credential.chain;
        return made;
    }
    // A token that was proven before is neither read nor verified again; all else is judged as for a fresh
    // one.
    TokenCache::VerifiedToken proof = cache_.find(credential.token);
    const bool fresh = proof.claims == nullptr;
    if (!fresh) {
        ++counts_.from_cache;
        made.key = proof.claims->key;
    } else {
        const TokenParseResult form = parse_token(credential.token, policy_->terms.max_token_bytes);
        if (const auto* reason = std::get_if<Reason>(&form)) return made.reason = *reason, made;
        const ParsedToken& token = std::get<ParsedToken>(form);
        made.key = token.claims.key;
        const Key* key = policy_->ring.find(token.claims.key);
        // A key that is not active yet, or gone, is as good as none: that it exists is told to nobody.
        if (key == nullptr || !key->verifies(now, policy_->terms.skew))
            return made.reason = Reason::kUnknownKey, made;
        ++counts_.verified;
        if (!has_valid_signature(token, *key)) return made.reason = Reason::kBadSignature, made;
        proof = {std::make_shared<const Claims>(token.claims), key->signing.fingerprint()};
    }
    made.reason = check_claims(*proof.claims, proof.key_fingerprint, now, true);
    if (made.reason != Reason::kAdmitted) return made;
    if (fresh) cache_.put(credential.token, proof);
    made.caller = proof.claims->caller;
    made.proof.claims = std::move(proof.claims),
    made.proof.key_fingerprint = std::move(proof.key_fingerprint);
    return made;
}

Reason Authorizer::check_claims(const Claims& claims, const std::string& key_fingerprint, Tenths now,
                                bool check_times) const {
    const AccessOptions& terms = policy_->terms;
    const Key* key = policy_->ring.find(claims.key);
    if (key == nullptr || !key->verifies(now, terms.skew) || key->signing.fingerprint() != key_fingerprint)
        return Reason::kUnknownKey;
    if (claims.issuer != terms.issuer || std::ranges::count(claims.audience, terms.audience) == 0)
        return Reason::kWrongAudience;
    if (claims.expires - claims.issued > terms.max_token_lifetime) return Reason::kMalformed;
    if (check_times && now >= claims.expires + terms.skew) return Reason::kExpired;
    if (check_times && (now + terms.skew < claims.not_before || now + terms.skew < claims.issued))
        return Reason::kNotYet;
    if (!claims.id.empty() && policy_->revoked.tokens.contains(claims.id)) return Reason::kRevoked;
    return revoked(claims.caller, claims.issued) ? Reason::kRevoked : Reason::kAdmitted;
}

// Tokens of a member from before that time: who has moved to another club, or lost a device, gets a new one.
bool Authorizer::revoked(const Caller& caller, Tenths issued) const {
    const auto found = policy_->revoked.members.find(caller.club + "/" + caller.member);
    return found != policy_->revoked.members.end() && issued < found->second;
}

MappedCaller Authorizer::check_chain(const Chain& chain, Tenths now) const {
    if (!policy_->authorities) return {Reason::kUnknownKey, {}};
    const Reason reason = policy_->authorities->verify(chain, now);
    if (reason != Reason::kAdmitted) return {reason, {}};
    try {
        const LeafNames names = read_leaf(chain);
        if (policy_->revoked.certificates.contains(names.serial)) return {Reason::kRevoked, {}};
        return map_names(names, policy_->terms.names);
    } catch (const AccessError&) { return {Reason::kMalformed, {}}; }
}

const MappedCaller& Authorizer::cached_chain_check(const std::shared_ptr<const Chain>& chain, Tenths now) {
    CachedChain& known = chains_[chain.get()];
    const bool fits = known.generation == policy_->generation && now >= known.from && now < known.until;
    if (known.chain.lock() == chain && fits) return known.mapped;
    if (chains_.size() > 64) // of connections that are gone: looked for when some come
        std::erase_if(chains_,
                      [&](auto& held) { return held.first != chain.get() && held.second.chain.expired(); });
    CachedChain fresh{chain, policy_->generation, now, now, check_chain(*chain, now)};
    if (fresh.mapped.reason == Reason::kAdmitted)
        fresh.until = std::min(read_leaf(*chain).not_after, policy_->authorities->next_change(now));
    return (chains_[chain.get()] = std::move(fresh)).mapped;
}

// The club that a client names must be the one that it is proven to belong to; a name left out is filled in.
Reason Authorizer::check_rights(const Caller& caller, const AccessRequest& request) const {
    const AccessOptions& terms = policy_->terms;
    const auto club = terms.clubs.find(caller.club);
    if (club == terms.clubs.end()) return Reason::kWrongClub;
    if (!request.tenant.empty() && request.tenant != club->second) return Reason::kWrongClub;
    const auto request_class = terms.request_classes.find(request.request_class);
    const std::optional<Right> right = request_class != terms.request_classes.end()
                                           ? std::optional(request_class->second)
                                           : terms.other_request_classes;
    if (!right || !caller.rights.has(*right)) return Reason::kNoRight;
    if (*right == Right::kWriteOwn && !owns(caller, request.key)) return Reason::kNotOwner;
    return Reason::kAdmitted;
}

Reason Authorizer::recheck(const Proof& proof, Tenths now) const {
    if (proof.claims) {
        const Reason reason = check_claims(*proof.claims, proof.key_fingerprint, now, false);
        return reason == Reason::kAdmitted ? check_rights(proof.claims->caller, proof.request) : reason;
    }
    if (!proof.chain) return Reason::kNoCredential;
    const MappedCaller mapped = check_chain(*proof.chain, now);
    return mapped.reason == Reason::kAdmitted ? check_rights(mapped.caller, proof.request) : mapped.reason;
}

Reason Authorizer::recheck(const Chain& chain, Tenths now) const { return check_chain(chain, now).reason; }

void Authorizer::replace_policy(std::shared_ptr<const Policy> next) {
    const bool resized = next->terms.max_cached_tokens != policy_->terms.max_cached_tokens;
    policy_ = std::move(next);
    ++counts_.policy_replacements;
    if (resized) cache_ = TokenCache(policy_->terms.max_cached_tokens);
    cache_.erase_if([this](const Claims& claims) { return policy_->ring.find(claims.key) == nullptr; });
}

Tenths Authorizer::next_change(Tenths after) const {
    const Tenths keys = policy_->ring.next_change(after, policy_->terms.skew);
    return policy_->authorities ? std::min(keys, policy_->authorities->next_change(after)) : keys;
}

} // namespace ivyrill::access
