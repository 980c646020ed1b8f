// Access control in the router: admission of searches, revocation for open searches and connections, and
// scheduling of handshakes. Credentials are evaluated in access/.
#include "routing/router.hpp"

#include <algorithm>

namespace ivyrill::routing {

void Router::enable_access_control(std::shared_ptr<const access::Policy> policy, bool key_is_query, Ticks now,
                                   Ticks wall) {
    clock_ = access::TrustedClock(policy->options.skew, policy->options.settle);
    clock_.observe(now, wall);
    authorizer_.emplace(std::move(policy));
    key_is_query_ = key_is_query;
    schedule_access_change();
}

void Router::limit_handshakes(access::HandshakeLimits limits, Ticks now) { handshakes_.emplace(limits, now); }

std::optional<access::Decision> Router::admit(const Client& client, const SearchReceived& event) {
    if (!authorizer_ || !client.requires_credential) return {};
    const protocol::SearchRequest& request = event.request;
    const access::Credential credential{request.token, request.token_malformed, client.chain};
    const access::AccessRequest access_request{request.request_class, request.tenant,
                                               key_is_query_ ? request.query : request.key};
    access::Decision decision = authorizer_->admit(credential, access_request, access_now());
    if (decision.reason != access::Reason::kAdmitted) {
        ++counts_.not_admitted;
        effects_.push_back(Audit{decision.reason, "refused", decision.caller.club, decision.caller.member,
                                 decision.key, request.request_class, request.id});
    }
    return decision;
}

void Router::refuse(ClientId client, StreamId stream, access::Reason reason) {
    const access::Refusal refusal = access::refusal_of(reason);
    effects_.push_back(RejectClient{client, refusal.status, std::string(refusal.message), draining_,
                                    refusal.challenge, stream});
}

// A search without attempts is refused at once. Otherwise attempts in flight may still answer and answers
// count, but nothing more is sent: neither attempts that wait for a connection nor further ones.
void Router::revoke(SearchId id, access::Reason reason) {
    Search& search = searches_.at(id);
    search.revoked = reason, ++counts_.revoked;
    const auto& caller = search.proof->claims ? search.proof->claims->caller : access::Caller{};
    effects_.push_back(Audit{reason,
                             "barred",
                             caller.club,
                             caller.member,
                             {},
                             search.proof->request.request_class,
                             search.wire_id});
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
    if (!authorizer_) return;
    const Ticks now = access_now();
    for (auto& [id, client] : clients_) {
        if (!client.chain || client.certificate_revoked) continue;
        const access::Reason reason = authorizer_->recheck(*client.chain, now);
        if (reason == access::Reason::kAdmitted) continue;
        client.certificate_revoked = true, ++counts_.certificates_revoked;
        effects_.push_back(Audit{reason, "distrusted", {}, {}, {}, {}, {}});
    }
    std::vector<std::pair<SearchId, access::Reason>> revoked;
    for (const auto& [id, search] : searches_) {
        if (!search.proof || search.revoked != access::Reason::kAdmitted) continue;
        const access::Reason reason = authorizer_->recheck(*search.proof, now);
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
    const Ticks next = authorizer_->next_change(access_now());
    if (next == access::kNever) return;
    const Ticks when = now_ + (next - access_now());
    if (access_timer_ != 0 && access_timer_ <= when) return;
    schedule(access_timer_ = when, AccessTimer{});
}

void Router::on_timer(const AccessTimer&) {
    if (access_timer_ > now_) return; // an earlier timer has been armed meanwhile
    access_timer_ = 0;
    recheck_access();
}

void Router::apply(const PolicyLoaded& event) {
    if (!authorizer_) return;
    authorizer_->replace_policy(event.policy);
    effects_.push_back(Audit{access::Reason::kAdmitted, "swapped", {}, {}, {}, {}, {}});
    recheck_access();
}

// The clock for credentials may have been corrected, so expiry times may have passed already.
void Router::apply(const WallClockRead& event) {
    if (!authorizer_) return;
    const Ticks before = access_now();
    clock_.observe(now_, event.wall);
    if (std::abs(access_now() - before) <= authorizer_->policy().options.skew) return;
    access_timer_ = 0;
    recheck_access();
}

void Router::apply(const HandshakeReady& event) {
    if (handshakes_) handshakes_->request_step(event.client);
}

void Router::run_handshakes() {
    if (!handshakes_) return;
    for (const ClientId client : handshakes_->grant(now_)) effects_.push_back(ContinueHandshake{client});
    const auto next = handshakes_->next_step_time(now_);
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
