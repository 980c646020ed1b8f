// Access control in the router: admission of searches, revocation for open searches and connections, and
// scheduling of handshakes. Credentials are evaluated in access/.
#include "routing/router.hpp"

#include <algorithm>

namespace ivyrill::routing {

void Router::enable_access_control(std::shared_ptr<const access::Policy> policy, bool key_is_query,
                                   Tenths now, Tenths wall) {
    clock_ = access::TrustedClock(policy->terms.skew, policy->terms.settle);
    clock_.observe(now, wall);
    gate_.emplace(std::move(policy));
    key_is_query_ = key_is_query;
    schedule_access_change();
}

void Router::limit_handshakes(access::HandshakeTerms terms, Tenths now) { handshakes_.emplace(terms, now); }

std::optional<access::Decision> Router::admit(const Client& client, const SearchReceived& event) {
    if (!gate_ || !client.requires_credential) return {};
    const protocol::SearchRequest& request = event.request;
    const access::Credential credential{request.token, request.token_malformed, client.chain};
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

// A search without attempts is refused at once. Otherwise attempts in flight may still answer and answers
// count, but nothing more is sent: neither attempts that wait for a connection nor further ones.
void Router::revoke(SearchId id, access::Reason why) {
    Search& search = searches_.at(id);
    search.revoked = why, ++counts_.revoked;
    const auto& caller = search.proof->claims ? search.proof->claims->caller : access::Caller{};
    effects_.push_back(Audit{
        why, "barred", caller.club, caller.member, {}, search.proof->asked.request_class, search.wire_id});
    bool attempted = false;
    for (const PartId part : search.parts) {
        for (std::uint32_t number = 0; number < parts_.at(part).attempts; ++number) {
            const AttemptKey key{part, AttemptNo{number}};
            attempted = true;
            const auto attempt = attempts_.find(key);
            if (attempt == attempts_.end() || attempt->second.withdrawn ||
                attempt->second.send_state != SendState::kWaiting)
                continue;
            withdraw(key, attempt->second);
            end_attempt_later(key, Outcome::kNotSent);
        }
    }
    if (attempted) return notify(SearchRevoked{id});
    notify(SearchAbandoned{id});
    ++counts_.rejected;
    finish(id, {protocol::Verdict::kRejected, false, {}, 0});
}

// After a reload, or when a key or revocation list expires: checks every open search and every connection
// with a certificate against the current policy. All in this turn, so that no revocation waits for a client.
void Router::recheck_access() {
    if (!gate_) return;
    const Tenths now = access_now();
    for (auto& [id, client] : clients_) {
        if (!client.chain || client.certificate_revoked) continue;
        const access::Reason reason = gate_->still(*client.chain, now);
        if (reason == access::Reason::kAdmitted) continue;
        client.certificate_revoked = true, ++counts_.certificates_revoked;
        effects_.push_back(Audit{reason, "distrusted", {}, {}, {}, {}, {}});
    }
    std::vector<std::pair<SearchId, access::Reason>> revoked;
    for (const auto& [id, search] : searches_) {
        if (!search.proof || search.revoked != access::Reason::kAdmitted) continue;
        const access::Reason reason = gate_->still(*search.proof, now);
        if (reason != access::Reason::kAdmitted) revoked.emplace_back(id, reason);
    }
    for (const auto& [id, reason] : revoked) revoke(id, reason);
    for (auto next = clients_.begin(); next != clients_.end();) {
        const auto here = next++;
        if (here->second.certificate_revoked && here->second.searches.empty() && !here->second.closing)
            close_client(here->first);
    }
    resume_accepting();
    schedule_access_change();
}

void Router::schedule_access_change() {
    const Tenths next = gate_->next_change(access_now());
    if (next == access::kEver) return;
    const Tenths when = now_ + (next - access_now());
    if (access_timer_ != 0 && access_timer_ <= when) return;
    schedule(access_timer_ = when, AccessTimer{});
}

void Router::on_timer(const AccessTimer&) {
    if (access_timer_ > now_) return; // an earlier timer has been armed meanwhile
    access_timer_ = 0;
    recheck_access();
}

void Router::apply(const PolicyLoaded& event) {
    if (!gate_) return;
    gate_->swap(event.policy);
    effects_.push_back(Audit{access::Reason::kAdmitted, "swapped", {}, {}, {}, {}, {}});
    recheck_access();
}

// The clock for credentials may have been corrected, so expiry times may have passed already.
void Router::apply(const WallClockRead& event) {
    if (!gate_) return;
    const Tenths before = access_now();
    clock_.observe(now_, event.wall);
    if (std::abs(access_now() - before) <= gate_->policy().terms.skew) return;
    access_timer_ = 0;
    recheck_access();
}

void Router::apply(const HandshakeReady& event) {
    if (handshakes_) handshakes_->ask(event.client);
}

void Router::run_handshakes() {
    if (!handshakes_) return;
    for (const ClientId client : handshakes_->grant(now_)) effects_.push_back(ContinueHandshake{client});
    const auto next = handshakes_->next(now_);
    if (next && (handshake_timer_ == 0 || *next < handshake_timer_))
        schedule(handshake_timer_ = *next, HandshakeTimer{});
}

void Router::on_timer(const HandshakeTimer&) {
    if (now_ >= handshake_timer_) handshake_timer_ = 0;
    run_handshakes();
}

void Router::apply(const HandshakeCompleted& event) {
    const auto found = clients_.find(event.client);
    if (found == clients_.end()) return;
    handshakes_->end(event.client);
    found->second.chain = event.chain;
}

} // namespace ivyrill::routing
