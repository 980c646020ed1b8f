#include "access/gate.hpp"

#include <algorithm>

namespace ivyrill::access {

std::shared_ptr<const Policy> read_policy(AccessTerms terms, const AccessFiles& files, const Policy* before,
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
    made->revoked.forget(now, terms.skew, terms.longest_life);
    made->terms = std::move(terms);
    made->generation = before != nullptr ? before->generation + 1 : 1;
    return made;
}

Gate::Gate(std::shared_ptr<const Policy> policy)
    : policy_(std::move(policy)), cache_(policy_->terms.cached) {}

Decision Gate::admit(const Credential& credential, const Asked& asked, Tenths now) {
    Decision made = prove(credential, now);
    made.proof.asked = asked;
    if (made.reason == Reason::kAdmitted) made.reason = judge_rights(made.caller, asked);
    if (made.reason == Reason::kAdmitted) made.tenant = policy_->terms.clubs.find(made.caller.club)->second;
    ++(made.reason == Reason::kAdmitted ? counts_.admitted : counts_.refused);
    ++counts_.reasons[made.reason];
    return made;
}

// A token goes before a certificate: who shows one wants to be taken for its bearer, and where it is not good
// the certificate beside it does not make it so.
Decision Gate::prove(const Credential& credential, Tenths now) {
    Decision made;
    if (credential.spoilt) return made.reason = Reason::kMalformed, made;
    if (credential.token.empty()) {
        if (!credential.chain || credential.chain->certificates.empty()) return made;
        const Mapped& mapped = remembered(credential.chain, now);
        made.reason = mapped.reason, made.caller = mapped.caller;
        made.proof.chain = credential.chain;
        return made;
    }
    // A token that was proven before is neither read nor verified again; all else is judged as for a fresh
    // one.
    TokenCache::Proven proof = cache_.find(credential.token);
    const bool fresh = proof.claims == nullptr;
    if (!fresh) {
        ++counts_.from_cache;
        made.key = proof.claims->key;
    } else {
        const TokenForm form = read_token(credential.token, policy_->terms.most_token);
        if (const auto* reason = std::get_if<Reason>(&form)) return made.reason = *reason, made;
        const ReadToken& token = std::get<ReadToken>(form);
        made.key = token.claims.key;
        const Key* key = policy_->ring.find(token.claims.key);
        // A key that is not active yet, or gone, is as good as none: that it exists is told to nobody.
        if (key == nullptr || !key->verifies(now, policy_->terms.skew))
            return made.reason = Reason::kUnknownKey, made;
        ++counts_.verified;
        if (!proven(token, *key)) return made.reason = Reason::kBadSignature, made;
        proof = {std::make_shared<const Claims>(token.claims), key->signing.print()};
    }
    made.reason = judge_claims(*proof.claims, proof.key_print, now, true);
    if (made.reason != Reason::kAdmitted) return made;
    if (fresh) cache_.put(credential.token, proof);
    made.caller = proof.claims->caller;
    made.proof.claims = std::move(proof.claims), made.proof.key_print = std::move(proof.key_print);
    return made;
}

Reason Gate::judge_claims(const Claims& claims, const std::string& key_print, Tenths now, bool timed) const {
    const AccessTerms& terms = policy_->terms;
    const Key* key = policy_->ring.find(claims.key);
    if (key == nullptr || !key->verifies(now, terms.skew) || key->signing.print() != key_print)
        return Reason::kUnknownKey;
    if (claims.issuer != terms.issuer || std::ranges::count(claims.audience, terms.audience) == 0)
        return Reason::kWrongAudience;
    if (claims.expires - claims.issued > terms.longest_life) return Reason::kMalformed;
    if (timed && now >= claims.expires + terms.skew) return Reason::kExpired;
    if (timed && (now + terms.skew < claims.not_before || now + terms.skew < claims.issued))
        return Reason::kNotYet;
    if (!claims.id.empty() && policy_->revoked.tokens.contains(claims.id)) return Reason::kRevoked;
    return revoked(claims.caller, claims.issued) ? Reason::kRevoked : Reason::kAdmitted;
}

// Tokens of a member from before that time: who has moved to another club, or lost a device, gets a new one.
bool Gate::revoked(const Caller& caller, Tenths issued) const {
    const auto found = policy_->revoked.members.find(caller.club + "/" + caller.member);
    return found != policy_->revoked.members.end() && issued < found->second;
}

Mapped Gate::judge_chain(const Chain& chain, Tenths now) const {
    if (!policy_->authorities) return {Reason::kUnknownKey, {}};
    const Reason reason = policy_->authorities->judge(chain, now);
    if (reason != Reason::kAdmitted) return {reason, {}};
    try {
        const LeafNames names = read_leaf(chain);
        if (policy_->revoked.certificates.contains(names.serial)) return {Reason::kRevoked, {}};
        return map_names(names, policy_->terms.names);
    } catch (const AccessError&) { return {Reason::kMalformed, {}}; }
}

const Mapped& Gate::remembered(const std::shared_ptr<const Chain>& chain, Tenths now) {
    Remembered& known = chains_[chain.get()];
    const bool fits = known.generation == policy_->generation && now >= known.from && now < known.until;
    if (known.chain.lock() == chain && fits) return known.mapped;
    if (chains_.size() > 64) // of connections that are gone: looked for when some come
        std::erase_if(chains_,
                      [&](auto& held) { return held.first != chain.get() && held.second.chain.expired(); });
    Remembered fresh{chain, policy_->generation, now, now, judge_chain(*chain, now)};
    if (fresh.mapped.reason == Reason::kAdmitted)
        fresh.until = std::min(read_leaf(*chain).until, policy_->authorities->next_change(now));
    return (chains_[chain.get()] = std::move(fresh)).mapped;
}

// The club that a client names must be the one that it is proven to belong to; a name left out is filled in.
Reason Gate::judge_rights(const Caller& caller, const Asked& asked) const {
    const AccessTerms& terms = policy_->terms;
    const auto club = terms.clubs.find(caller.club);
    if (club == terms.clubs.end()) return Reason::kWrongClub;
    if (!asked.tenant.empty() && asked.tenant != club->second) return Reason::kWrongClub;
    const auto request_class = terms.request_classes.find(asked.request_class);
    const std::optional<Right> right = request_class != terms.request_classes.end()
                                           ? std::optional(request_class->second)
                                           : terms.other_request_classes;
    if (!right || !caller.rights.has(*right)) return Reason::kNoRight;
    if (*right == Right::kWriteOwn && !owns(caller, asked.key)) return Reason::kNotOwner;
    return Reason::kAdmitted;
}

Reason Gate::still(const Proof& proof, Tenths now) const {
    if (proof.claims) {
        const Reason reason = judge_claims(*proof.claims, proof.key_print, now, false);
        return reason == Reason::kAdmitted ? judge_rights(proof.claims->caller, proof.asked) : reason;
    }
    if (!proof.chain) return Reason::kNoCredential;
    const Mapped mapped = judge_chain(*proof.chain, now);
    return mapped.reason == Reason::kAdmitted ? judge_rights(mapped.caller, proof.asked) : mapped.reason;
}

Reason Gate::still(const Chain& chain, Tenths now) const { return judge_chain(chain, now).reason; }

void Gate::swap(std::shared_ptr<const Policy> next) {
    const bool resized = next->terms.cached != policy_->terms.cached;
    policy_ = std::move(next);
    ++counts_.swaps;
    if (resized) cache_ = TokenCache(policy_->terms.cached);
    cache_.drop([this](const Claims& claims) { return policy_->ring.find(claims.key) == nullptr; });
}

Tenths Gate::next_change(Tenths after) const {
    const Tenths keys = policy_->ring.next_change(after, policy_->terms.skew);
    return policy_->authorities ? std::min(keys, policy_->authorities->next_change(after)) : keys;
}

} // namespace ivyrill::access
