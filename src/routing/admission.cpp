// The reducer's part in access: who may be taken on, what becomes of searches and connections whose right is
// taken back, and whose handshake goes on. What a credential is worth is decided in access/.
#include "routing/router.hpp"

#include <algorithm>

namespace ivyrill::routing {

void Router::enable_access_control(std::shared_ptr<const access::Policy> policy, bool key_is_query,
                                   Tenths now, Tenths wall) {
    clock_ = access::TrustedClock(policy->terms.skew, policy->terms.settle);
    clock_.observe(now, wall);
    gate_.emplace(std::move(policy));
    key_is_query_ = key_is_query;
    await_access_change();
}

void Router::limit_handshakes(access::HandshakeTerms terms, Tenths now) { handshakes_.emplace(terms, now); }

std::optional<access::Decision> Router::admit(const Client& client, const SearchReceived& event) {
    if (!gate_ || !client.guarded) return {};
    const protocol::SearchRequest& request = event.request;
    const access::Credential credential{request.token, request.token_spoilt, client.chain};
    const access::Asked asked{request.request_class, request.tenant,
                              key_is_query_ ? request.query : request.key};
    access::Decision made = gate_->admit(credential, asked, access_now());
    if (made.reason != access::Reason::kAdmitted) {
        ++counts_.not_admitted;
        effects_.push_back(Audit{made.reason, "refused", made.caller.club, made.caller.member, made.key,
                                 request.request_class, request.id});
    }
    return made;
}

void Router::refuse(ClientId client, StreamNo stream, access::Reason why) {
    const access::Refusal told = access::refusal_of(why);
    effects_.push_back(
        RejectClient{client, told.status, std::string(told.words), draining_, told.challenge, stream});
}

// A search that nothing was attempted for is refused at once. Else what is out may answer, and what is in
// counts, but nothing more is sent: not what waits for a connection, and no attempt after it.
void Router::bar(SearchId id, access::Reason why) {
    Search& search = searches_.at(id);
    search.barred = why, ++counts_.revoked;
    const auto& caller = search.proof->claims ? search.proof->claims->caller : access::Caller{};
    effects_.push_back(Audit{
        why, "barred", caller.club, caller.member, {}, search.proof->asked.request_class, search.wire_id});
    bool attempted = false;
    for (const PartId part : search.parts) {
        for (std::uint32_t number = 0; number < parts_.at(part).attempts; ++number) {
            const AttemptKey key{part, AttemptNo{number}};
            attempted = true;
            const auto attempt = attempts_.find(key);
            if (attempt == attempts_.end() || attempt->second.given_up ||
                attempt->second.way != Way::kWaiting)
                continue;
            give_up(key, attempt->second);
            return_later(key, Outcome::kNotSent);
        }
    }
    if (attempted) return tell(SearchRevoked{id});
    tell(SearchAbandoned{id});
    ++counts_.rejected;
    finish(id, {protocol::Verdict::kRejected, false, {}, 0});
}

// After a reload, when a key goes or a list runs out: every search that is open and every connection that
// showed a certificate is judged by what is in force now. All within this turn, so no revocation waits for a
// client.
void Router::judge_all_again() {
    if (!gate_) return;
    const Tenths now = access_now();
    for (auto& [id, client] : clients_) {
        if (!client.chain || client.distrusted) continue;
        const access::Reason reason = gate_->still(*client.chain, now);
        if (reason == access::Reason::kAdmitted) continue;
        client.distrusted = true, ++counts_.certificates_revoked;
        effects_.push_back(Audit{reason, "distrusted", {}, {}, {}, {}, {}});
    }
    std::vector<std::pair<SearchId, access::Reason>> barred;
    for (const auto& [id, search] : searches_) {
        if (!search.proof || search.barred != access::Reason::kAdmitted) continue;
        const access::Reason reason = gate_->still(*search.proof, now);
        if (reason != access::Reason::kAdmitted) barred.emplace_back(id, reason);
    }
    for (const auto& [id, reason] : barred) bar(id, reason);
    for (auto next = clients_.begin(); next != clients_.end();) {
        const auto here = next++;
        if (here->second.distrusted && here->second.searches.empty() && !here->second.leaving)
            close_client(here->first);
    }
    let_in();
    await_access_change();
}

void Router::await_access_change() {
    const Tenths next = gate_->next_change(access_now());
    if (next == access::kEver) return;
    const Tenths when = now_ + (next - access_now());
    if (access_at_ != 0 && access_at_ <= when) return;
    at(access_at_ = when, AccessDue{});
}

void Router::due(const AccessDue&) {
    if (access_at_ > now_) return; // an earlier one was armed meanwhile
    access_at_ = 0;
    judge_all_again();
}

void Router::apply(const PolicyLoaded& event) {
    if (!gate_) return;
    gate_->swap(event.policy);
    effects_.push_back(Audit{access::Reason::kAdmitted, "swapped", {}, {}, {}, {}, {}});
    judge_all_again();
}

// The clock that credentials are judged by may have been set right: what was to come may be over already.
void Router::apply(const WallClockRead& event) {
    if (!gate_) return;
    const Tenths before = access_now();
    clock_.observe(now_, event.wall);
    if (std::abs(access_now() - before) <= gate_->policy().terms.skew) return;
    access_at_ = 0;
    judge_all_again();
}

void Router::apply(const HandshakeReady& event) {
    if (handshakes_) handshakes_->ask(event.client);
}

void Router::let_shake() {
    if (!handshakes_) return;
    for (const ClientId client : handshakes_->grant(now_)) effects_.push_back(ContinueHandshake{client});
    const auto next = handshakes_->next(now_);
    if (next && (shake_at_ == 0 || *next < shake_at_)) at(shake_at_ = *next, ShakeDue{});
}

void Router::due(const ShakeDue&) {
    if (now_ >= shake_at_) shake_at_ = 0;
    let_shake();
}

void Router::apply(const HandshakeCompleted& event) {
    const auto found = clients_.find(event.client);
    if (found == clients_.end()) return;
    handshakes_->end(event.client);
    found->second.chain = event.chain;
}

} // namespace ivyrill::routing
