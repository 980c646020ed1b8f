#include "routing/router.hpp"

#include "limits/connection_budget.hpp"

#include <algorithm>

namespace ivyrill::routing {

namespace {

// By the platform's contract a connection without an open request may be closed after this time; a client
// that sends nothing usable must get an error or a close within 1.5 times as long.
constexpr Ticks kClientTimeout = 2 * kTicksPerSecond;

} // namespace

Router::Router(protocol::FrontNodeConfig config, const protocol::ServerList& known, std::string discovery,
               std::size_t descriptors, Ticks now)
    : config_(std::move(config)), scheduler_(make_search_scheduler(config_.scheduler)),
      descriptors_(descriptors), now_(now), discovery_(std::move(discovery)) {
    apply_list(known, ServerListKind::kPersisted);
}

void Router::handle(Ticks now, Event event) {
    now_ = std::max(now_, now);
    std::visit([this](const auto& what) { apply(what); }, event);
}

std::vector<Effect> Router::turn(Ticks now) {
    now_ = std::max(now_, now);
    run_handshakes();
    while (!timers_.empty() && timers_.begin()->first <= now_) {
        const Timer timer = std::move(timers_.begin()->second);
        timers_.erase(timers_.begin());
        std::visit([this](const auto& what) { on_timer(what); }, timer);
    }
    if (std::exchange(decision_due_, false)) {
        scheduler_->decide(now_, *this);
        send_calls();
    }
    const Ticks next = timers_.empty() ? 0 : timers_.begin()->first;
    if (next != armed_) effects_.push_back(ArmTimer{armed_ = next});
    return std::exchange(effects_, {});
}

// ---- clients and searches

void Router::apply(const ClientOpened& event) {
    Client& client = clients_[event.client];
    client.idle_since = now_, client.requires_credential = event.requires_credential;
    if (draining_) effects_.push_back(DrainClient{event.client});
    if (event.tls && handshakes_)
        if (const auto evicted = handshakes_->begin(event.client)) close_client(*evicted);
    start_client_timeout(event.client, client);
    evict_clients(event.client);
}

// Bounds the time for which a client without a complete request may hold a descriptor.
void Router::start_client_timeout(ClientId id, Client& client) {
    client.deadline = now_ + kClientTimeout;
    schedule(client.deadline, ClientTimeout{id});
}

void Router::on_timer(const ClientTimeout& what) {
    const auto found = clients_.find(what.client);
    if (found == clients_.end() || now_ < found->second.deadline || !found->second.searches.empty()) return;
    if (found->second.closing)
        close_client(what.client);
    else if (found->second.request_started)
        effects_.push_back(RejectClient{what.client, 408, "incomplete request timed out", true});
    else if (!found->second.has_searched)
        half_close_client(what.client);
}

void Router::apply(const RequestStarted& event) {
    const auto found = clients_.find(event.client);
    if (found == clients_.end() || !found->second.searches.empty() ||
        std::exchange(found->second.request_started, true))
        return;
    if (found->second.has_searched)
        start_client_timeout(event.client, found->second); // otherwise its time runs from the connect
}

void Router::apply(const OtherRequestAnswered& event) {
    const auto found = clients_.find(event.client);
    if (found == clients_.end()) return;
    found->second.request_started = false;
    if (std::exchange(found->second.closing, false)) half_close_client(event.client);
}

void Router::apply(const ClientFinalAnswerSent& event) {
    const auto found = clients_.find(event.client);
    if (found == clients_.end() || !found->second.searches.empty() ||
        std::exchange(found->second.closing, true))
        return;
    start_client_timeout(event.client, found->second);
}

void Router::close_client(ClientId id) {
    if (handshakes_) handshakes_->end(id);
    clients_.erase(id);
    effects_.push_back(CloseClient{id});
}

// Closing a socket with unread input resets the connection, which would lose an answer that is still on its
// way. So the connection is half-closed and read for a while; a request that arrives in that time is still
// answered.
void Router::half_close_client(ClientId id) {
    if (handshakes_ && handshakes_->open(id)) return close_client(id); // nothing has been sent yet
    Client& client = clients_.at(id);
    if (std::exchange(client.closing, true)) return;
    effects_.push_back(HalfCloseClient{id});
    start_client_timeout(id, client);
}

// At the descriptor limit evicts clients without a search first, the oldest of them, then those idle for
// longest; if there is none, stops accepting until there is. By contract clients may hold a third of the
// descriptors for their requests and need not close connections after use: while clients that have searched
// hold more than half of that third, idle ones are evicted so that new clients can connect.
void Router::evict_clients(std::optional<ClientId> newest) {
    const std::size_t most = max_clients(), max_searched = descriptors_ / 3 / 2;
    if (clients_.size() <= std::min(most, max_searched)) return;
    using Rank = std::pair<bool, Ticks>;
    std::optional<std::pair<Rank, ClientId>> candidate, idle_searcher;
    std::optional<std::pair<Ticks, ClientId>> oldest_half_closed;
    std::size_t searched = 0, half_closed = 0;
    for (const auto& [id, client] : clients_) {
        if (client.closing) {
            const std::pair rank{client.deadline, id};
            ++half_closed;
            if (!oldest_half_closed || rank < *oldest_half_closed) oldest_half_closed = rank;
            continue;
        }
        searched += client.has_searched;
        if (!client.searches.empty() || id == newest) continue;
        const std::pair rank{Rank{client.has_searched, client.idle_since}, id};
        if (!candidate || rank < *candidate) candidate = rank;
        if (client.has_searched && (!idle_searcher || rank < *idle_searcher)) idle_searcher = rank;
    }
    if (clients_.size() - half_closed > most) {
        if (candidate)
            half_close_client(candidate->second), ++half_closed;
        else if (std::exchange(accepting_, false))
            effects_.push_back(AcceptClients{false});
    } else if (idle_searcher && searched > max_searched) {
        half_close_client(idle_searcher->second), ++half_closed;
    }
    if (oldest_half_closed && half_closed > max_half_closed()) close_client(oldest_half_closed->second);
}

void Router::apply(const ClientDisconnected& event) {
    const auto found = clients_.find(event.client);
    if (found == clients_.end()) return;
    const auto searches = std::move(found->second.searches);
    close_client(event.client);
    for (const auto& [stream, search] : searches) abandon(search);
    resume_accepting();
}

void Router::resume_accepting() {
    if (!accepting_ && !stopped_) accepting_ = true, effects_.push_back(AcceptClients{true});
}

void Router::apply(const SearchReceived& event) {
    const auto found = clients_.find(event.client);
    if (found == clients_.end() || found->second.searches.contains(event.stream)) return;
    const protocol::SearchRequest& request = event.request;
    found->second.request_started = false, found->second.idle_since = now_;
    if (std::exchange(found->second.closing, false))
        found->second.close_after_answer = true; // its request crossed the half-close
    const auto reject = [&](int status, const char* reason) {
        effects_.push_back(
            RejectClient{event.client, status, reason, closes(found->second), {}, event.stream});
    };
    const auto decision = admit(found->second, event);
    if (decision && decision->reason != access::Reason::kAdmitted)
        return refuse(event.client, event.stream, decision->reason);
    const auto request_class = std::ranges::find(config_.request_classes, request.request_class);
    if (request_class == config_.request_classes.end()) return reject(404, "unknown product");
    if (std::ranges::any_of(request.targets, [&](auto& t) { return t.shard >= config_.shards; }))
        return reject(400, "unknown partition");
    if (open_ids_.contains(request.id)) return reject(409, "a search with this id is already open");
    ++counts_.searches;
    const Ticks left = ticks_rounded_down(request.timeout_us) - event.age;
    const bool full = config_.max_concurrent_searches_and_parts > 0 &&
                      searches_.size() + parts_.size() >=
                          static_cast<std::size_t>(config_.max_concurrent_searches_and_parts);
    if (full || left <= 0 || over_fair_share(event.client, found->second)) {
        ++counts_.over_limit, ++counts_.rejected;
        effects_.push_back(AnswerClient{
            event.client, {protocol::Verdict::kRejected, false, {}, 0}, closes(found->second), event.stream});
        return;
    }
    const SearchId id{next_id_++};
    const JobNo job{id.value};
    const auto tenant = std::ranges::find(config_.tenants, decision ? decision->tenant : request.tenant);
    const TenantNo tenant_no{
        tenant == config_.tenants.end() ? -1 : static_cast<std::int32_t>(tenant - config_.tenants.begin())};
    const RequestClassNo number{static_cast<std::int32_t>(request_class - config_.request_classes.begin())};
    Search& search = searches_[id];
    search.client = event.client, search.stream = event.stream, search.wire_id = request.id,
    search.query = request.query;
    if (decision) search.proof = decision->proof;
    found->second.searches[event.stream] = id, found->second.has_searched = true;
    open_ids_.insert(request.id);
    notify(SearchAccepted{id, job, number, tenant_no, left, request.repeat});
    for (const protocol::Target& target : request.targets) {
        const PartId part{next_id_++};
        search.parts.push_back(part);
        parts_[part] = {id, ShardNo{target.shard}, request.id + "." + std::to_string(target.shard), 0, {}};
        notify(PartAdded{part, job, ShardNo{target.shard}, target.share});
    }
    schedule(now_ + left, SearchTimeout{id});
}

// The scheduler ends each search before it expires. This is the fallback that answers the client in any case.
void Router::on_timer(const SearchTimeout& what) {
    if (searches_.contains(what.search)) abandon(what.search);
}

void Router::abandon(SearchId id) {
    notify(SearchAbandoned{id});
    ++counts_.abandoned;
    finish(id, {});
}

bool Router::finish(SearchId id, protocol::FinalAnswer answer) {
    const auto found = searches_.find(id);
    if (found == searches_.end()) return false;
    Search& search = found->second;
    for (const PartId part : search.parts) {
        withdraw_unsent(part);
        Part& state = parts_.at(part);
        if (answer.verdict == protocol::Verdict::kDelivered && state.value)
            answer.results.push_back({state.shard.value, std::move(*state.value)});
        parts_.erase(part);
    }
    if (const auto client = clients_.find(search.client); client != clients_.end()) {
        client->second.searches.erase(search.stream);
        client->second.idle_since = now_;
        const bool close = closes(client->second);
        if (search.revoked != access::Reason::kAdmitted && answer.verdict == protocol::Verdict::kRejected) {
            const access::Refusal refusal = access::refusal_of(search.revoked); // nothing has run or will run
            effects_.push_back(RejectClient{search.client, refusal.status, std::string(refusal.message),
                                            close, refusal.challenge, search.stream});
        } else {
            effects_.push_back(AnswerClient{search.client, std::move(answer), close, search.stream});
        }
        resume_accepting();
        evict_clients({});
    }
    open_ids_.erase(search.wire_id);
    searches_.erase(found);
    return true;
}

void Router::answer(SearchId search, bool whole) {
    counts_.delivered += finish(search, {protocol::Verdict::kDelivered, whole, {}, 0});
}

void Router::reject(SearchId search, Ticks retry_after) {
    counts_.rejected += finish(search, {protocol::Verdict::kRejected, false, {}, retry_after});
}

void Router::fail(SearchId search) { counts_.failed += finish(search, {}); }

void Router::apply(const FrontNodesCounted& event) {
    notify(FrontNodeCount{static_cast<int>(event.present)});
}

void Router::apply(const DrainStarted&) {
    draining_ = true;
    for (const auto& [id, client] : clients_) effects_.push_back(DrainClient{id});
}

// The client cancels one search and keeps its connection: its attempts are withdrawn, and no answer is due.
void Router::apply(const SearchCancelled& event) {
    const auto found = clients_.find(event.client);
    if (found == clients_.end()) return;
    const auto search = found->second.searches.find(event.stream);
    if (search != found->second.searches.end()) abandon(search->second);
}

// A connection with many searches may hold only its fair share of the front node's capacity while others
// search too. The first search of a connection always passes.
bool Router::over_fair_share(ClientId id, const Client& client) const {
    if (client.searches.empty() || config_.max_concurrent_searches_and_parts <= 0) return false;
    const auto others = std::ranges::count_if(
        clients_, [id](auto& held) { return held.first != id && !held.second.searches.empty(); });
    std::size_t held = client.searches.size();
    for (const auto& [stream, search] : client.searches) held += searches_.at(search).parts.size();
    return held >=
           limits::fair_share_of_searches(static_cast<std::size_t>(config_.max_concurrent_searches_and_parts),
                                          static_cast<std::size_t>(others));
}

void Router::apply(const TrafficStopped&) {
    stopped_ = draining_ = true, accepting_ = false;
    effects_.push_back(AcceptClients{false});
    for (auto next = clients_.begin(); next != clients_.end();) {
        const auto here = next++;
        if (here->second.searches.empty()) half_close_client(here->first);
    }
}

// ---- attempts

void Router::attempt(PartId part, ServerId server, Ticks time_out, Ticks send_within) {
    const auto found = parts_.find(part);
    if (found == parts_.end()) return;
    Part& state = found->second;
    const Search& search = searches_.at(state.search);
    const AttemptKey key{part, AttemptNo{state.attempts++}};
    attempts_[key] = {server,
                      {},
                      state.wire_id,
                      search.query,
                      state.shard.value,
                      now_,
                      now_ + time_out,
                      now_ + send_within,
                      SendState::kWaiting,
                      false};
    ++counts_.attempts;
    const auto at_server = servers_.find(server);
    const bool allowed = at_server != servers_.end() && at_server->second.listed == ListedState::kLive &&
                         config_.scheduler.holds(at_server->second.cell, state.shard) && time_out > 0 &&
                         key.second.value < static_cast<std::uint32_t>(config_.scheduler.max_attempts);
    if (!allowed) return end_attempt_later(key, Outcome::kNotSent);
    schedule(now_ + time_out, AttemptTimeout{key});
    if (send_within < time_out) schedule(now_ + send_within, AttemptTimeout{key});
    new_attempts_[server].push_back(key);
}

// Batches a turn's attempts for one server into calls of at most `batch` parts.
void Router::send_calls() {
    for (auto& [server, keys] : std::exchange(new_attempts_, {})) {
        std::erase_if(keys, [this](auto& key) { return attempts_.at(key).withdrawn; });
        for (std::size_t begin = 0; begin < keys.size();
             begin += static_cast<std::size_t>(config_.max_parts_per_call)) {
            const auto first = keys.begin() + static_cast<std::ptrdiff_t>(begin);
            const auto size = std::min<std::size_t>(config_.max_parts_per_call, keys.size() - begin);
            enqueue_call(server, Call(first, first + static_cast<std::ptrdiff_t>(size)));
        }
    }
}

void Router::enqueue_call(ServerId server, Call call) {
    const auto id = connection_for(server, call);
    if (!id) {
        for (const AttemptKey& key : call) end_attempt_later(key, Outcome::kNotSent); // no free connection
        return;
    }
    Connection& connection = connections_.at(*id);
    connection.parts += static_cast<int>(call.size());
    for (const AttemptKey& key : call) attempts_.at(key).connection = *id;
    connection.waiting.push_back(std::move(call));
    write_calls(*id);
}

void Router::end_attempt_later(const AttemptKey& key, Outcome outcome) {
    schedule(now_ + 1, DeferredAttemptEnd{key, outcome});
}

void Router::on_timer(const DeferredAttemptEnd& what) { end_attempt(what.attempt, what.outcome); }

// The only place where an attempt ends: the scheduler gets exactly one end for each.
void Router::end_attempt(const AttemptKey& key, Outcome outcome, const LoadReport& report, Ticks age) {
    const auto found = attempts_.find(key);
    if (found == attempts_.end()) return;
    const Attempt attempt = std::move(found->second);
    attempts_.erase(found);
    if (const auto at_connection = connections_.find(attempt.connection);
        at_connection != connections_.end() && !attempt.withdrawn) {
        --at_connection->second.parts;
        at_connection->second.in_flight.erase(attempt.wire_id);
    }
    check_idle(attempt.connection);
    const Ticks took = std::max<Ticks>(0, now_ - age - attempt.created_at);
    notify(AttemptEnded{key.first, key.second, attempt.server, outcome, took, report});
}

void Router::remove_waiting(Connection& connection, const AttemptKey& key) {
    for (auto call = connection.waiting.begin(); call != connection.waiting.end(); ++call) {
        if (std::erase(*call, key) == 0) continue;
        if (call->empty()) connection.waiting.erase(call);
        return;
    }
}

// Takes an attempt off its connection. An unsent one is dropped; otherwise the server is told to cancel it,
// and its wire id is kept so that a late answer is not taken for that of a later attempt of the same part.
void Router::withdraw(const AttemptKey& key, Attempt& attempt) {
    attempt.withdrawn = true;
    const auto found = connections_.find(attempt.connection);
    if (found == connections_.end()) return;
    Connection& connection = found->second;
    --connection.parts;
    if (attempt.send_state == SendState::kWaiting) {
        remove_waiting(connection, key);
    } else {
        connection.in_flight.erase(attempt.wire_id);
        connection.withdrawn[attempt.wire_id] = attempt.expires_at;
        std::string bytes = protocol::cancel_frame(attempt.wire_id);
        connection.bytes_queued += bytes.size(), connection.last_used = now_;
        effects_.push_back(WriteConnection{attempt.connection, std::move(bytes)});
        // An early disconnect or a complete answer withdraws attempts that were not overdue.
        if (parts_.contains(key.first) || now_ >= attempt.created_at + config_.scheduler.connect_timeout)
            suspect_connection(attempt.connection, attempt);
        arm_send_timeout(attempt.connection, connection);
    }
    check_idle(attempt.connection);
}

// Its search has ended: withdraws unsent attempts, even if the scheduler does not cancel them.
void Router::withdraw_unsent(PartId part) {
    for (auto next = attempts_.lower_bound({part, AttemptNo{0}});
         next != attempts_.end() && next->first.first == part; ++next) {
        if (next->second.withdrawn) continue;
        if (next->second.send_state == SendState::kWriting)
            arm_send_timeout(next->second.connection, connections_.at(next->second.connection));
        if (next->second.send_state != SendState::kWaiting) continue;
        withdraw(next->first, next->second);
        end_attempt_later(next->first, Outcome::kNotSent);
    }
}

void Router::cancel_attempt(PartId part, AttemptNo number) {
    const AttemptKey key{part, number};
    const auto found = attempts_.find(key);
    if (found == attempts_.end() || found->second.withdrawn) return;
    counts_.cancellations += parts_.contains(part); // only of searches that go on
    withdraw(key, found->second);
    end_cancelled_attempt(key);
}

// Delayed so that a replacement does not reach its server before the cancellation reaches this one.
void Router::end_cancelled_attempt(const AttemptKey& key) {
    schedule(now_ + config_.scheduler.decision_interval, DeferredAttemptEnd{key, Outcome::kCancelled});
}

void Router::on_timer(const AttemptTimeout& what) {
    const auto found = attempts_.find(what.attempt);
    if (found == attempts_.end() || found->second.withdrawn) return;
    const bool unsent = found->second.send_state == SendState::kWaiting,
               over = now_ >= found->second.expires_at;
    if (found->second.send_state == SendState::kWriting)
        return close_connection(found->second.connection); // see arm_send_timeout
    if (!over && !unsent) return;                          // `send_by` has passed, but it was sent in time
    withdraw(what.attempt, found->second);
    const Outcome lost = over ? Outcome::kConnectTimeout : Outcome::kNotSent;
    end_attempt(what.attempt, unsent ? lost : Outcome::kTimedOut);
}

void Router::apply(const PartAnswered& event) {
    const auto at_connection = connections_.find(event.connection);
    if (at_connection == connections_.end()) return;
    Connection& connection = at_connection->second;
    record_activity(connection);
    const auto found = connection.in_flight.find(event.answer.id);
    if (found == connection.in_flight.end()) {
        ++counts_.late_answers;
        const bool late = connection.withdrawn.erase(event.answer.id) > 0,
                   again = event.answer.id == connection.last_answered;
        if (late) connection.last_answered = event.answer.id;
        if (!late && !again) apply(MalformedDataReceived{event.connection, {}}); // an unsolicited answer
        return;
    }
    connection.last_answered = event.answer.id;
    const AttemptKey key = found->second;
    const auto part = parts_.find(key.first);
    if (part != parts_.end() && event.answer.outcome == Outcome::kAnswered)
        part->second.value = event.answer.value;
    end_attempt(key, event.answer.outcome, event.answer.report, event.age);
}

// ---- connections to index servers

bool Router::idle(const Connection& connection) {
    return connection.parts == 0 && std::ranges::all_of(connection.probes, &PendingProbe::timed_out);
}

// Parts that the server may count on this connection. At its limit the server reads nothing more, not even a
// cancellation: the part would run twice once it is sent elsewhere, and a healthy server would look silent.
// So one slot stays free (max_occupied_slots). A server may keep working on a withdrawn part, so the part
// keeps its slot until it is answered or no answer is expected any more.
int Router::occupied_slots(const Connection& connection) const {
    return connection.parts + static_cast<int>(connection.withdrawn.size());
}

// Closes before the index server does: a request written to a connection that it is closing is lost.
Ticks Router::idle_limit() const {
    return std::max(config_.idle_timeout / 2, config_.idle_timeout - 2 * config_.scheduler.connect_timeout);
}

std::optional<ConnectionId> Router::connection_for(ServerId server, const Call& call) {
    std::optional<ConnectionId> best, fallback;
    int least = 0;
    std::vector<ConnectionId> stale;
    for (const ConnectionId id : servers_.at(server).connections) {
        Connection& connection = connections_.at(id);
        if (connection.retired || connection.frame_started_at > 0) continue;
        if (idle(connection) && config_.idle_timeout > 0 && now_ >= connection.last_used + idle_limit()) {
            stale.push_back(id);
            continue;
        }
        std::erase_if(connection.withdrawn, [this](auto& late) { return late.second + idle_limit() < now_; });
        const bool known = std::ranges::any_of(call, [&](auto& key) {
            const std::string& wire_id = attempts_.at(key).wire_id;
            return connection.withdrawn.contains(wire_id) || connection.in_flight.contains(wire_id);
        });
        if (known) continue; // an answer there could belong to the earlier attempt
        const int then = occupied_slots(connection) + static_cast<int>(call.size());
        if (then <= config_.max_calls_per_connection && (!fallback || then < least))
            fallback = id, least = then;
        if (then > max_occupied_slots()) continue;
        const auto rank = [](const Connection& held) { return held.up ? (held.suspect ? 1 : 2) : 0; };
        if (!best || rank(connection) > rank(connections_.at(*best))) best = id;
    }
    for (const ConnectionId id : stale) close_connection(id);
    if (best) return best;
    const auto opened = open_connection(server);
    return opened ? opened : fallback;
}

bool Router::has_healthy_connection(const Server& server, bool up) const {
    return std::ranges::any_of(server.connections, [this, up](ConnectionId id) {
        const Connection& connection = connections_.at(id);
        return !connection.retired && !connection.suspect && (connection.up || !up);
    });
}

// Suspects a connection, not its server, after two withdrawn attempts in a row with nothing received since
// the first. One alone may be a slow part: with many front nodes each connection carries one part at a time,
// and a second connection per slow part would cost its server more than the part. A second connection is
// opened and preferred once it is established; until then nothing changes, so that an unreachable server does
// not cost an attempt.
void Router::suspect_connection(ConnectionId id, const Attempt& attempt) {
    Connection& connection = connections_.at(id);
    if (attempt.send_state != SendState::kSent || connection.last_received >= attempt.created_at ||
        connection.retired || connection.suspect)
        return;
    if (!std::exchange(connection.unanswered, true)) return;
    connection.suspect = true;
    ++counts_.connections_suspected;
    const Server& server = servers_.at(connection.server);
    if (server.listed == ListedState::kLive && !has_healthy_connection(server, false))
        open_connection(connection.server);
}

void Router::record_activity(Connection& connection) {
    connection.last_used = connection.last_received = now_;
    connection.frame_started_at = 0, connection.unanswered = connection.suspect = false;
}

std::optional<ConnectionId> Router::open_connection(ServerId server) {
    if (connections_.size() >= max_connections()) {
        const auto spare = std::ranges::find_if(connections_, [](auto& held) { return idle(held.second); });
        if (spare == connections_.end()) return {};
        close_connection(spare->first);
    }
    const ConnectionId id{next_connection_++};
    connections_[id].server = server;
    connections_[id].last_used = now_;
    servers_.at(server).connections.insert(id);
    ++counts_.connections_opened;
    effects_.push_back(OpenConnection{id, servers_.at(server).address});
    schedule(now_ + config_.scheduler.connect_timeout, ConnectTimeout{id});
    return id;
}

void Router::apply(const ConnectionEstablished& event) {
    const auto found = connections_.find(event.connection);
    if (found == connections_.end()) return;
    found->second.up = true, found->second.last_used = now_;
    write_calls(event.connection);
}

// Only one frame is in the write queue at a time, so that the calls behind it can still be withdrawn.
void Router::write_calls(ConnectionId id) {
    Connection& connection = connections_.at(id);
    while (connection.up && connection.write_queue.empty() && !connection.waiting.empty()) {
        Call call = std::move(connection.waiting.front());
        connection.waiting.pop_front();
        std::string bytes;
        const bool probe = call.empty();
        // The connection may be established in the same turn in which the attempt expires: events are handled
        // before timers.
        std::erase_if(call, [&](auto& key) {
            Attempt& attempt = attempts_.at(key);
            if (now_ < std::min(attempt.expires_at, attempt.send_by)) return false;
            attempt.withdrawn = true, --connection.parts;
            end_attempt_later(key, Outcome::kNotSent);
            return true;
        });
        if (call.empty() && !probe) continue;
        if (probe) {
            bytes = protocol::load_probe_frame();
        } else {
            std::vector<protocol::PartRequest> parts;
            for (const AttemptKey& key : call) {
                Attempt& attempt = attempts_.at(key);
                attempt.send_state = SendState::kWriting;
                connection.in_flight[attempt.wire_id] = key;
                const Ticks left = attempt.expires_at - now_;
                parts.push_back(
                    {attempt.wire_id, attempt.shard, std::max<Ticks>(1, left / 10), attempt.query});
            }
            bytes = protocol::part_request_frame(parts);
        }
        connection.bytes_queued += bytes.size(), connection.last_used = now_;
        connection.write_queue.push_back({connection.bytes_queued, call});
        effects_.push_back(WriteConnection{id, std::move(bytes)});
    }
}

// A queued frame is written at once unless the peer does not read. Guards against a frame that is sent long
// after it became obsolete, when a stalled server reads again: expired, past its deduplication window, for a
// client that has gone, or to a draining server. It cannot be removed from the write queue, so its connection
// is closed; without its last byte it never ran.
void Router::arm_send_timeout(ConnectionId id, const Connection& connection) {
    if (!connection.write_queue.empty())
        schedule(now_ + std::max<Ticks>(1, config_.scheduler.decision_interval), SendTimeout{id});
}

void Router::on_timer(const SendTimeout& what) {
    const auto found = connections_.find(what.connection);
    if (found == connections_.end()) return;
    const Connection& connection = found->second;
    const bool unwanted = connection.retired || servers_.at(connection.server).listed != ListedState::kLive;
    const bool stuck = std::ranges::any_of(connection.write_queue, [&](const QueuedFrame& frame) {
        return std::ranges::any_of(frame.call, [&](const AttemptKey& key) {
            const auto attempt = attempts_.find(key);
            return unwanted || attempt == attempts_.end() || attempt->second.withdrawn ||
                   !parts_.contains(key.first);
        });
    });
    if (stuck) close_connection(what.connection);
}

void Router::apply(const ConnectionBytesWritten& event) {
    const auto found = connections_.find(event.connection);
    if (found == connections_.end()) return;
    Connection& connection = found->second;
    while (!connection.write_queue.empty() && connection.write_queue.front().end <= event.total) {
        for (const AttemptKey& key : connection.write_queue.front().call)
            if (const auto attempt = attempts_.find(key); attempt != attempts_.end())
                attempt->second.send_state = SendState::kSent;
        connection.write_queue.pop_front();
    }
    write_calls(event.connection);
}

void Router::apply(const ConnectionClosed& event) {
    if (connections_.contains(event.connection)) close_connection(event.connection);
}

// Ends all attempts on the connection: a completely written one may have run, the others have not, so writes
// of this turn are dropped. After malformed data, attempts in flight count as cancelled.
void Router::close_connection(ConnectionId id, bool malformed) {
    const auto found = connections_.find(id);
    const Connection connection = std::move(found->second);
    connections_.erase(found);
    servers_.at(connection.server).connections.erase(id);
    std::erase_if(effects_, [id](auto& effect) {
        const auto* write = std::get_if<WriteConnection>(&effect);
        return write != nullptr && write->connection == id;
    });
    effects_.push_back(CloseConnection{id});
    // Neither has run; only a failed connect says something about the server.
    const bool overdue =
        now_ >= connection.last_used + config_.scheduler.connect_timeout; // last_used: when it was opened
    const Outcome unsent = connection.up ? Outcome::kNotSent
                           : overdue     ? Outcome::kConnectTimeout
                                         : Outcome::kConnectionRefused;
    for (const Call& call : connection.waiting)
        for (const AttemptKey& key : call) end_attempt(key, unsent);
    for (const auto& [wire_id, key] : connection.in_flight) {
        Attempt& attempt = attempts_.at(key);
        if (attempt.send_state == SendState::kSent && malformed)
            attempt.withdrawn = true, end_cancelled_attempt(key);
        else
            end_attempt(key, attempt.send_state == SendState::kSent ? Outcome::kConnectionLost : unsent);
    }
    for (const PendingProbe& probe : connection.probes)
        if (!probe.timed_out) notify(ProbeEnded{connection.server, false, now_ - probe.created_at, {}});
}

// Malformed or unsolicited data: the attempt that it answers has failed and may have run, and what follows on
// the connection cannot be parsed. The other attempts in flight are cancelled by closing the connection. The
// server has answered, so it is not treated as failed. If the data names no attempt, the oldest in flight is
// taken as the answered one.
void Router::apply(const MalformedDataReceived& event) {
    const auto found = connections_.find(event.connection);
    if (found == connections_.end()) return;
    ++counts_.malformed;
    std::optional<AttemptKey> answered;
    for (const auto& [wire_id, key] : found->second.in_flight) {
        const Attempt& attempt = attempts_.at(key);
        if (attempt.send_state != SendState::kSent) continue;
        const bool named = wire_id == event.part;
        if (named || !answered || attempt.created_at < attempts_.at(*answered).created_at) answered = key;
        if (named) break;
    }
    if (answered) end_attempt(*answered, Outcome::kError);
    if (connections_.contains(event.connection)) close_connection(event.connection, true);
}

// A started frame must be completed within the connect timeout. Until then its connection gets no new calls.
void Router::apply(const FrameStarted& event) {
    const auto found = connections_.find(event.connection);
    if (found == connections_.end() || found->second.frame_started_at > 0) return;
    found->second.frame_started_at = now_;
    schedule(now_ + config_.scheduler.connect_timeout, FrameTimeout{event.connection});
}

void Router::on_timer(const FrameTimeout& what) {
    const auto found = connections_.find(what.connection);
    if (found == connections_.end() || found->second.frame_started_at == 0) return;
    if (now_ >= found->second.frame_started_at + config_.scheduler.connect_timeout)
        apply(MalformedDataReceived{what.connection, {}});
}

void Router::on_timer(const ConnectTimeout& what) {
    const auto found = connections_.find(what.connection);
    if (found != connections_.end() && !found->second.up) close_connection(what.connection);
}

// Called when something on the connection has ended: closes an idle connection at the idle limit, or at once
// if it may get no new calls.
void Router::check_idle(ConnectionId id) {
    const auto found = connections_.find(id);
    if (found == connections_.end() || !idle(found->second)) return;
    Connection& connection = found->second;
    // A connection full of withdrawn parts gets no new calls; closing it lets the server drop them.
    if (connection.retired || occupied_slots(connection) >= max_occupied_slots() ||
        (connection.suspect && has_healthy_connection(servers_.at(connection.server), true)))
        return close_connection(id);
    if (config_.idle_timeout == 0 || std::exchange(connection.idle_armed, true)) return;
    schedule(connection.last_used + idle_limit(), IdleTimeout{id});
}

void Router::on_timer(const IdleTimeout& what) {
    const auto found = connections_.find(what.connection);
    if (found == connections_.end()) return;
    found->second.idle_armed = false;
    if (!idle(found->second)) return;
    if (now_ >= found->second.last_used + idle_limit()) return close_connection(what.connection);
    check_idle(what.connection);
}

void Router::close_idle_connections(ServerId server) {
    const auto connections = servers_.at(server).connections;
    for (const ConnectionId id : connections)
        if (idle(connections_.at(id))) ++counts_.connections_renewed, close_connection(id);
}

void Router::retire_connections(Server& server) {
    const auto connections = server.connections;
    for (const ConnectionId id : connections) {
        connections_.at(id).retired = true;
        check_idle(id);
    }
}

// ---- probes

void Router::probe(ServerId server) {
    const auto id = connection_for(server, {});
    ++counts_.probes;
    if (!id) return schedule(now_ + 1, DeferredProbeEnd{server});
    Connection& connection = connections_.at(*id);
    connection.probes.push_back({next_probe_++, now_, false});
    schedule(now_ + config_.scheduler.connect_timeout, ProbeTimeout{*id, connection.probes.back().serial});
    connection.waiting.push_back({});
    write_calls(*id);
}

void Router::on_timer(const DeferredProbeEnd& what) { notify(ProbeEnded{what.server, false, 1, {}}); }

// A connection with an unanswered probe may be dead: it gets no new calls, and the next probe opens a new
// one.
void Router::on_timer(const ProbeTimeout& what) {
    const auto found = connections_.find(what.connection);
    if (found == connections_.end()) return;
    Connection& connection = found->second;
    const auto probe = std::ranges::find(connection.probes, what.serial, &PendingProbe::serial);
    if (probe == connection.probes.end() || probe->timed_out) return;
    probe->timed_out = true;
    notify(ProbeEnded{connection.server, false, now_ - probe->created_at, {}});
    connection.retired = true;
    check_idle(what.connection);
}

void Router::apply(const LoadReceived& event) {
    const auto found = connections_.find(event.connection);
    if (found == connections_.end() || found->second.probes.empty()) return;
    Connection& connection = found->second;
    record_activity(connection);
    const PendingProbe probe = connection.probes.front();
    connection.probes.pop_front();
    if (!probe.timed_out)
        notify(
            ProbeEnded{connection.server, event.answer.passed, now_ - probe.created_at, event.answer.report});
    check_idle(event.connection);
}

// ---- the list of index servers

ServerId Router::server_id(const std::string& name) {
    const auto [place, is_new] =
        server_ids_.try_emplace(name, ServerId{static_cast<std::uint32_t>(server_ids_.size())});
    if (is_new) servers_.try_emplace(place->second);
    return place->second;
}

std::int32_t Router::index_of(std::vector<std::string>& names, const std::string& name) {
    const auto found = std::ranges::find(names, name);
    if (found != names.end()) return static_cast<std::int32_t>(found - names.begin());
    names.push_back(name);
    return static_cast<std::int32_t>(names.size() - 1);
}

// Withdraws attempts that wait for a connection to a draining or removed server.
void Router::withdraw_waiting(Server& server) {
    const auto connections = server.connections;
    for (const ConnectionId id : connections) {
        arm_send_timeout(id, connections_.at(id));
        std::vector<AttemptKey> keys;
        for (const Call& call : connections_.at(id).waiting)
            keys.insert(keys.end(), call.begin(), call.end());
        for (const AttemptKey& key : keys) {
            Attempt& attempt = attempts_.at(key);
            withdraw(key, attempt);
            end_attempt_later(key, Outcome::kNotSent);
        }
    }
}

void Router::apply_list(const protocol::ServerList& list, ServerListKind kind) {
    version_ = list.version;
    ServerListUpdate update{kind, {}};
    std::set<ServerId> named;
    for (const protocol::ServerEntry& row : list.servers) {
        const ServerId id = server_id(row.id);
        Server& server = servers_.at(id);
        named.insert(id);
        const std::string address = row.address.empty() ? server.address : row.address;
        const CellNo cell{row.cell};
        if (address != server.address || cell != server.cell) { // another server may have the old address
            withdraw_waiting(server);
            retire_connections(server);
        }
        server.address = address;
        server.listed = row.listed, server.cell = cell;
        ListEntry entry;
        entry.server = id;
        entry.zone = ZoneNo{index_of(config_.zones, row.zone)};
        entry.kind = KindNo{index_of(config_.server_kinds, row.kind)};
        entry.cell = cell;
        entry.listed = row.listed, entry.weight = row.weight;
        entry.started = std::max<Ticks>(0, row.started_ms) * (kTicksPerSecond / 1000);
        update.entries.push_back(entry);
    }
    for (auto& [id, server] : servers_) {
        if (kind != ServerListKind::kDelta && !named.contains(id)) server.listed = ListedState::kGone;
        if (server.listed == ListedState::kLive) continue;
        withdraw_waiting(server);
        if (server.listed == ListedState::kGone) retire_connections(server);
    }
    notify(update);
}

void Router::subscribe() {
    if (!discovery_call_) query_discovery();
}

// Long polling, one call after another. A call waits for half of the time after which a change counts as
// known; an answer is overdue a fifth of that wait later, as is a connect. The rest of the time allows one or
// two more calls.
void Router::query_discovery() {
    discovery_call_ = DiscoveryCallId{next_call_++}, discovery_connected_ = false;
    const Ticks wait = std::min(config_.watch_timeout, config_.scheduler.list_propagation) / 2;
    effects_.push_back(QueryDiscovery{*discovery_call_, discovery_, version_, wait / 10, full_list_wanted_});
    schedule(now_ + wait / 5, DiscoveryTimeout{*discovery_call_, false});
    schedule(now_ + wait + wait / 5, DiscoveryTimeout{*discovery_call_});
}

void Router::apply(const DiscoveryConnected& event) {
    discovery_connected_ = discovery_connected_ || discovery_call_ == event.call;
}

void Router::apply(const ServerListReceived& event) {
    if (discovery_call_ != event.call) return;
    ++counts_.lists;
    const bool behind = !event.list.full && event.list.version < version_; // discovery has restarted
    if (!behind) apply_list(event.list, event.list.full ? ServerListKind::kFull : ServerListKind::kDelta);
    full_list_wanted_ = behind;
    query_discovery();
}

void Router::apply(const ServerListFailed& event) {
    if (discovery_call_ != event.call) return;
    discovery_call_.reset();
    ++counts_.lists_lost;
    notify(ServerListUpdate{ServerListKind::kQueryFailed, {}});
}

void Router::on_timer(const DiscoveryTimeout& what) {
    if (discovery_call_ != what.call || (!what.sent && discovery_connected_)) return;
    effects_.push_back(CancelDiscoveryCall{"no answer in time"});
    apply(ServerListFailed{what.call});
}

// Discovery has moved: answers from the old address are ignored, and the new one is queried for the whole
// list at once, as its versions are independent.
void Router::apply(const DiscoveryAddressChanged& event) {
    if (event.address == discovery_) return;
    discovery_ = event.address, full_list_wanted_ = true;
    effects_.push_back(CancelDiscoveryCall{"discovery has moved to " + discovery_});
    query_discovery();
}

void Router::schedule_wakeup(Ticks in) { schedule(now_ + std::max<Ticks>(1, in), Wakeup{}); }
void Router::on_timer(const Wakeup&) { decision_due_ = true; }

} // namespace ivyrill::routing
