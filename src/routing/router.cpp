#include "routing/router.hpp"

#include "limits/connection_budget.hpp"

#include <algorithm>

namespace ivyrill::routing {

namespace {

// The platform's word: a connection on which no request is open may be closed after this; who sends nothing
// that can be used is owed an error or a close within half as long again.
constexpr Tenths kWordSpan = 2 * kTenthsPerSecond;

} // namespace

Router::Router(protocol::NodeTerms terms, const protocol::ServerList& known, std::string discovery,
               std::size_t descriptors, Tenths now)
    : terms_(std::move(terms)), scheduler_(make_search_scheduler(terms_.opening)), descriptors_(descriptors),
      now_(now), discovery_(std::move(discovery)) {
    take_list(known, ListKind::kSaved);
}

void Router::handle(Tenths now, Event event) {
    now_ = std::max(now_, now);
    std::visit([this](const auto& what) { apply(what); }, event);
}

std::vector<Effect> Router::turn(Tenths now) {
    now_ = std::max(now_, now);
    let_shake();
    while (!alarms_.empty() && alarms_.begin()->first <= now_) {
        const Alarm alarm = std::move(alarms_.begin()->second);
        alarms_.erase(alarms_.begin());
        std::visit([this](const auto& what) { due(what); }, alarm);
    }
    if (std::exchange(decision_due_, false)) {
        scheduler_->decide(now_, *this);
        send_calls();
    }
    const Tenths next = alarms_.empty() ? 0 : alarms_.begin()->first;
    if (next != armed_) effects_.push_back(ArmTimer{armed_ = next});
    return std::exchange(effects_, {});
}

// ---- clients and searches

void Router::apply(const ClientOpened& event) {
    Client& client = clients_[event.client];
    client.idle_since = now_, client.guarded = event.guarded;
    if (draining_) effects_.push_back(DrainClient{event.client});
    if (event.sealed && handshakes_)
        if (const auto gone = handshakes_->begin(event.client)) close_client(*gone);
    await_word(event.client, client);
    make_room(event.client);
}

// Who connects and says nothing, or half of something, holds a descriptor for so long and no longer.
void Router::await_word(ClientId id, Client& client) {
    client.word_by = now_ + kWordSpan;
    at(client.word_by, WordDue{id});
}

void Router::due(const WordDue& what) {
    const auto found = clients_.find(what.client);
    if (found == clients_.end() || now_ < found->second.word_by || !found->second.searches.empty()) return;
    if (found->second.leaving)
        close_client(what.client);
    else if (found->second.midway)
        effects_.push_back(RejectClient{what.client, 408, "the request did not come in time", true});
    else if (!found->second.asked)
        shut_client(what.client);
}

void Router::apply(const RequestStarted& event) {
    const auto found = clients_.find(event.client);
    if (found == clients_.end() || !found->second.searches.empty() ||
        std::exchange(found->second.midway, true))
        return;
    if (found->second.asked) await_word(event.client, found->second); // else its time runs since it came
}

void Router::apply(const OtherRequestAnswered& event) {
    const auto found = clients_.find(event.client);
    if (found == clients_.end()) return;
    found->second.midway = false;
    if (std::exchange(found->second.leaving, false)) shut_client(event.client);
}

void Router::apply(const ClientFinalAnswerSent& event) {
    const auto found = clients_.find(event.client);
    if (found == clients_.end() || !found->second.searches.empty() ||
        std::exchange(found->second.leaving, true))
        return;
    await_word(event.client, found->second);
}

void Router::close_client(ClientId id) {
    if (handshakes_) handshakes_->end(id);
    clients_.erase(id);
    effects_.push_back(CloseClient{id});
}

// A close over bytes that we have not read resets the connection, and an answer that is still on its way goes
// with it. So who is to go is told, and read on for a while; whether it has asked for something meanwhile is
// looked at first.
void Router::shut_client(ClientId id) {
    if (handshakes_ && handshakes_->open(id)) return close_client(id); // nothing has been said yet
    Client& client = clients_.at(id);
    if (std::exchange(client.leaving, true)) return;
    effects_.push_back(HalfCloseClient{id});
    await_word(id, client);
}

// At the limit of descriptors those go first that have never asked for a search, the oldest of them, then
// those idle for longest; where none is, nobody new is let in until one is. Clients may hold a third of the
// descriptors for their requests and do not close what they have done with: while more than half of that
// third have asked, idle ones go, lest nobody can come with a new request.
void Router::make_room(std::optional<ClientId> newest) {
    const std::size_t most = most_clients(), most_asked = descriptors_ / 3 / 2;
    if (clients_.size() <= std::min(most, most_asked)) return;
    using Rank = std::pair<bool, Tenths>;
    std::optional<std::pair<Rank, ClientId>> first, kept;
    std::optional<std::pair<Tenths, ClientId>> shut; // for the longest time
    std::size_t asked = 0, shut_ones = 0;
    for (const auto& [id, client] : clients_) {
        if (client.leaving) {
            const std::pair mine{client.word_by, id};
            ++shut_ones;
            if (!shut || mine < *shut) shut = mine;
            continue;
        }
        asked += client.asked;
        if (!client.searches.empty() || id == newest) continue;
        const std::pair mine{Rank{client.asked, client.idle_since}, id};
        if (!first || mine < *first) first = mine;
        if (client.asked && (!kept || mine < *kept)) kept = mine;
    }
    if (clients_.size() - shut_ones > most) {
        if (first)
            shut_client(first->second), ++shut_ones;
        else if (std::exchange(accepting_, false))
            effects_.push_back(AcceptClients{false});
    } else if (kept && asked > most_asked) {
        shut_client(kept->second), ++shut_ones;
    }
    if (shut && shut_ones > most_shut()) close_client(shut->second);
}

void Router::apply(const ClientDisconnected& event) {
    const auto found = clients_.find(event.client);
    if (found == clients_.end()) return;
    const auto searches = std::move(found->second.searches);
    close_client(event.client);
    for (const auto& [stream, search] : searches) lapse(search);
    let_in();
}

void Router::let_in() {
    if (!accepting_ && !quiet_) accepting_ = true, effects_.push_back(AcceptClients{true});
}

void Router::apply(const SearchReceived& event) {
    const auto found = clients_.find(event.client);
    if (found == clients_.end() || found->second.searches.contains(event.stream)) return;
    const protocol::SearchRequest& request = event.request;
    found->second.midway = false, found->second.idle_since = now_;
    if (std::exchange(found->second.leaving, false)) found->second.last = true; // it had asked before
    const auto reject = [&](int status, const char* why) {
        effects_.push_back(RejectClient{event.client, status, why, closes(found->second), {}, event.stream});
    };
    const auto decision = admit(found->second, event);
    if (decision && decision->reason != access::Reason::kAdmitted)
        return refuse(event.client, event.stream, decision->reason);
    const auto request_class = std::ranges::find(terms_.request_classes, request.request_class);
    if (request_class == terms_.request_classes.end()) return reject(404, "no such product");
    if (std::ranges::any_of(request.targets, [&](auto& t) { return t.shard >= terms_.shards; }))
        return reject(400, "no such partition");
    if (open_ids_.contains(request.id)) return reject(409, "this id is being searched for already");
    ++counts_.searches;
    const Tenths left = tenths_to_use(request.left_us) - event.age;
    const bool full = terms_.most_open > 0 &&
                      searches_.size() + parts_.size() >= static_cast<std::size_t>(terms_.most_open);
    if (full || left <= 0 || over_share(event.client, found->second)) {
        ++counts_.over_limit, ++counts_.rejected;
        effects_.push_back(AnswerClient{
            event.client, {protocol::Verdict::kRejected, false, {}, 0}, closes(found->second), event.stream});
        return;
    }
    const SearchId id{next_id_++};
    const JobNo job{id.value};
    const auto tenant = std::ranges::find(terms_.tenants, decision ? decision->tenant : request.tenant);
    const TenantNo payer{
        tenant == terms_.tenants.end() ? -1 : static_cast<std::int32_t>(tenant - terms_.tenants.begin())};
    const RequestClassNo number{static_cast<std::int32_t>(request_class - terms_.request_classes.begin())};
    Search& search = searches_[id];
    search.client = event.client, search.stream = event.stream, search.wire_id = request.id,
    search.query = request.query;
    if (decision) search.proof = decision->proof;
    found->second.searches[event.stream] = id, found->second.asked = true;
    open_ids_.insert(request.id);
    tell(SearchAccepted{id, job, number, payer, left, request.repeat});
    for (const protocol::Target& target : request.targets) {
        const PartId part{next_id_++};
        search.parts.push_back(part);
        parts_[part] = {id, ShardNo{target.shard}, request.id + "." + std::to_string(target.shard), 0, {}};
        tell(PartAdded{part, job, ShardNo{target.shard}, target.share});
    }
    at(now_ + left, SearchDue{id});
}

// The module ends each search ahead of its expiry; should it ever not, the client is not left without a word.
void Router::due(const SearchDue& what) {
    if (searches_.contains(what.search)) lapse(what.search);
}

void Router::lapse(SearchId id) {
    tell(SearchAbandoned{id});
    ++counts_.abandoned;
    finish(id, {});
}

bool Router::finish(SearchId id, protocol::FinalAnswer answer) {
    const auto found = searches_.find(id);
    if (found == searches_.end()) return false;
    Search& search = found->second;
    for (const PartId part : search.parts) {
        take_back(part);
        Part& held = parts_.at(part);
        if (answer.verdict == protocol::Verdict::kDelivered && held.value)
            answer.results.push_back({held.shard.value, std::move(*held.value)});
        parts_.erase(part);
    }
    if (const auto client = clients_.find(search.client); client != clients_.end()) {
        client->second.searches.erase(search.stream);
        client->second.idle_since = now_;
        const bool close = closes(client->second);
        if (search.barred != access::Reason::kAdmitted && answer.verdict == protocol::Verdict::kRejected) {
            const access::Refusal told = access::refusal_of(search.barred); // nothing has run, nor will it
            effects_.push_back(RejectClient{search.client, told.status, std::string(told.words), close,
                                            told.challenge, search.stream});
        } else {
            effects_.push_back(AnswerClient{search.client, std::move(answer), close, search.stream});
        }
        let_in();
        make_room({});
    }
    open_ids_.erase(search.wire_id);
    searches_.erase(found);
    return true;
}

void Router::answer(SearchId search, bool whole) {
    counts_.delivered += finish(search, {protocol::Verdict::kDelivered, whole, {}, 0});
}

void Router::reject(SearchId search, Tenths retry_after) {
    counts_.rejected += finish(search, {protocol::Verdict::kRejected, false, {}, retry_after});
}

void Router::fail(SearchId search) { counts_.failed += finish(search, {}); }

void Router::apply(const FrontNodesCounted& event) { tell(FrontNodeCount{static_cast<int>(event.present)}); }

void Router::apply(const DrainStarted&) {
    draining_ = true;
    for (const auto& [id, client] : clients_) effects_.push_back(DrainClient{id});
}

// The client takes one search back and keeps the others: what is out for it is called off, and it is owed
// nothing.
void Router::apply(const SearchCancelled& event) {
    const auto found = clients_.find(event.client);
    if (found == clients_.end()) return;
    const auto search = found->second.searches.find(event.stream);
    if (search != found->second.searches.end()) lapse(search->second);
}

// One connection may carry many searches: beside others that search it may hold no more than its share of
// what the front node holds. The first of a connection is never held back here.
bool Router::over_share(ClientId id, const Client& client) const {
    if (client.searches.empty() || terms_.most_open <= 0) return false;
    const auto others = std::ranges::count_if(
        clients_, [id](auto& held) { return held.first != id && !held.second.searches.empty(); });
    std::size_t held = client.searches.size();
    for (const auto& [stream, search] : client.searches) held += searches_.at(search).parts.size();
    return held >= limits::fair_share_of_searches(static_cast<std::size_t>(terms_.most_open),
                                                  static_cast<std::size_t>(others));
}

void Router::apply(const TrafficStopped&) {
    quiet_ = draining_ = true, accepting_ = false;
    effects_.push_back(AcceptClients{false});
    for (auto next = clients_.begin(); next != clients_.end();) {
        const auto here = next++;
        if (here->second.searches.empty()) shut_client(here->first);
    }
}

// ---- attempts

void Router::attempt(PartId part, ServerId server, Tenths time_out, Tenths send_within) {
    const auto found = parts_.find(part);
    if (found == parts_.end()) return;
    Part& held = found->second;
    const Search& search = searches_.at(held.search);
    const AttemptKey key{part, AttemptNo{held.attempts++}};
    attempts_[key] = {server,           {},   held.wire_id,    search.query,
                      held.shard.value, now_, now_ + time_out, now_ + send_within,
                      Way::kWaiting,    false};
    ++counts_.attempts;
    const auto at_server = servers_.find(server);
    const bool allowed = at_server != servers_.end() && at_server->second.listed == ListedState::kLive &&
                         terms_.opening.holds(at_server->second.cell, held.shard) && time_out > 0 &&
                         key.second.value < static_cast<std::uint32_t>(terms_.opening.max_attempts);
    if (!allowed) return return_later(key, Outcome::kNotSent);
    at(now_ + time_out, AttemptDue{key});
    if (send_within < time_out) at(now_ + send_within, AttemptDue{key});
    fresh_[server].push_back(key);
}

// What one turn sends to one server travels together, as far as a call may hold.
void Router::send_calls() {
    for (auto& [server, keys] : std::exchange(fresh_, {})) {
        std::erase_if(keys, [this](auto& key) { return attempts_.at(key).given_up; });
        for (std::size_t begin = 0; begin < keys.size(); begin += static_cast<std::size_t>(terms_.batch)) {
            const auto first = keys.begin() + static_cast<std::ptrdiff_t>(begin);
            const auto size = std::min<std::size_t>(terms_.batch, keys.size() - begin);
            put_on_connection(server, Call(first, first + static_cast<std::ptrdiff_t>(size)));
        }
    }
}

void Router::put_on_connection(ServerId server, Call call) {
    const auto id = connection_for(server, call);
    if (!id) {
        for (const AttemptKey& key : call) return_later(key, Outcome::kNotSent); // no room of ours
        return;
    }
    Connection& connection = connections_.at(*id);
    connection.parts += static_cast<int>(call.size());
    for (const AttemptKey& key : call) attempts_.at(key).connection = *id;
    connection.waiting.push_back(std::move(call));
    hand_over(*id);
}

void Router::return_later(const AttemptKey& key, Outcome outcome) {
    at(now_ + 1, AttemptReturn{key, outcome});
}

void Router::due(const AttemptReturn& what) { return_attempt(what.attempt, what.outcome); }

// The one place where an attempt ends: the module hears of each exactly once.
void Router::return_attempt(const AttemptKey& key, Outcome outcome, const LoadReport& report, Tenths age) {
    const auto found = attempts_.find(key);
    if (found == attempts_.end()) return;
    const Attempt attempt = std::move(found->second);
    attempts_.erase(found);
    if (const auto at_connection = connections_.find(attempt.connection);
        at_connection != connections_.end() && !attempt.given_up) {
        --at_connection->second.parts;
        at_connection->second.out.erase(attempt.wire_id);
    }
    rest(attempt.connection);
    const Tenths took = std::max<Tenths>(0, now_ - age - attempt.made_at);
    tell(AttemptEnded{key.first, key.second, attempt.server, outcome, took, report});
}

void Router::forget_waiting(Connection& connection, const AttemptKey& key) {
    for (auto call = connection.waiting.begin(); call != connection.waiting.end(); ++call) {
        if (std::erase(*call, key) == 0) continue;
        if (call->empty()) connection.waiting.erase(call);
        return;
    }
}

// Takes an attempt off its connection: unsent, it vanishes; else the server is told, and its late answer is
// kept from being taken for that of a later attempt of the same part.
void Router::give_up(const AttemptKey& key, Attempt& attempt) {
    attempt.given_up = true;
    const auto found = connections_.find(attempt.connection);
    if (found == connections_.end()) return;
    Connection& connection = found->second;
    --connection.parts;
    if (attempt.way == Way::kWaiting) {
        forget_waiting(connection, key);
    } else {
        connection.out.erase(attempt.wire_id);
        connection.given_up[attempt.wire_id] = attempt.until;
        std::string bytes = protocol::give_up_frame(attempt.wire_id);
        connection.handed += bytes.size(), connection.used = now_;
        effects_.push_back(WriteConnection{attempt.connection, std::move(bytes)});
        // A client that leaves early, or an answer that is complete, calls off what was not overdue.
        if (parts_.contains(key.first) || now_ >= attempt.made_at + terms_.opening.connect_timeout)
            doubt(attempt.connection, attempt);
        await_ring(attempt.connection, connection);
    }
    rest(attempt.connection);
}

// Its search has ended: what has not been sent for it never is, whoever forgets to call it off.
void Router::take_back(PartId part) {
    for (auto next = attempts_.lower_bound({part, AttemptNo{0}});
         next != attempts_.end() && next->first.first == part; ++next) {
        if (next->second.given_up) continue;
        if (next->second.way == Way::kHanded)
            await_ring(next->second.connection, connections_.at(next->second.connection));
        if (next->second.way != Way::kWaiting) continue;
        give_up(next->first, next->second);
        return_later(next->first, Outcome::kNotSent);
    }
}

void Router::cancel_attempt(PartId part, AttemptNo number) {
    const AttemptKey key{part, number};
    const auto found = attempts_.find(key);
    if (found == attempts_.end() || found->second.given_up) return;
    counts_.cancellations += parts_.contains(part); // for a search that goes on
    give_up(key, found->second);
    return_recalled(key);
}

// A copy that replaces it must not reach its server before our word reaches the other.
void Router::return_recalled(const AttemptKey& key) {
    at(now_ + terms_.opening.decision_interval, AttemptReturn{key, Outcome::kCancelled});
}

void Router::due(const AttemptDue& what) {
    const auto found = attempts_.find(what.attempt);
    if (found == attempts_.end() || found->second.given_up) return;
    const bool unsent = found->second.way == Way::kWaiting, over = now_ >= found->second.until;
    if (found->second.way == Way::kHanded)
        return close_connection(found->second.connection); // see await_ring
    if (!over && !unsent) return;                          // its time to be sent is over, and it was
    give_up(what.attempt, found->second);
    const Outcome lost = over ? Outcome::kConnectTimeout : Outcome::kNotSent;
    return_attempt(what.attempt, unsent ? lost : Outcome::kTimedOut);
}

void Router::apply(const PartAnswered& event) {
    const auto at_connection = connections_.find(event.connection);
    if (at_connection == connections_.end()) return;
    Connection& connection = at_connection->second;
    hear_from(connection);
    const auto found = connection.out.find(event.answer.id);
    if (found == connection.out.end()) {
        ++counts_.late_answers;
        const bool late = connection.given_up.erase(event.answer.id) > 0,
                   again = event.answer.id == connection.last;
        if (late) connection.last = event.answer.id;
        if (!late && !again) apply(MalformedDataReceived{event.connection, {}}); // nobody asked for it here
        return;
    }
    connection.last = event.answer.id;
    const AttemptKey key = found->second;
    const auto part = parts_.find(key.first);
    if (part != parts_.end() && event.answer.outcome == Outcome::kAnswered)
        part->second.value = event.answer.value;
    return_attempt(key, event.answer.outcome, event.answer.report, event.age);
}

// ---- connections to index servers

bool Router::idle(const Connection& connection) {
    return connection.parts == 0 && std::ranges::all_of(connection.probes, &ProbeOut::over);
}

// What its server may count there. At the limit of a connection nothing more is read, our word that a part is
// given up neither: the part would be out twice once it goes elsewhere, and a sound server looks silent. So
// one place stays free (most_carried). A server may work on at what was given up without a word, and that
// counts there too: it keeps its place until it is answered, or for as long as an answer is waited for.
int Router::carried(const Connection& connection) const {
    return connection.parts + static_cast<int>(connection.given_up.size());
}

// We close before the index server does: what is written to a connection that it closes is lost.
Tenths Router::idle_limit() const {
    return std::max(terms_.idle_span / 2, terms_.idle_span - 2 * terms_.opening.connect_timeout);
}

std::optional<ConnectionId> Router::connection_for(ServerId server, const Call& call) {
    std::optional<ConnectionId> best, crowded;
    int least = 0;
    std::vector<ConnectionId> stale;
    for (const ConnectionId id : servers_.at(server).connections) {
        Connection& connection = connections_.at(id);
        if (connection.retired || connection.midway > 0) continue;
        if (idle(connection) && terms_.idle_span > 0 && now_ >= connection.used + idle_limit()) {
            stale.push_back(id);
            continue;
        }
        std::erase_if(connection.given_up, [this](auto& late) { return late.second + idle_limit() < now_; });
        const bool known = std::ranges::any_of(call, [&](auto& key) {
            const std::string& wire_id = attempts_.at(key).wire_id;
            return connection.given_up.contains(wire_id) || connection.out.contains(wire_id);
        });
        if (known) continue; // an answer there could be that of the earlier attempt
        const int then = carried(connection) + static_cast<int>(call.size());
        if (then <= terms_.calls_a_connection && (!crowded || then < least)) crowded = id, least = then;
        if (then > most_carried()) continue;
        const auto rank = [](const Connection& held) { return held.up ? (held.doubted ? 1 : 2) : 0; };
        if (!best || rank(connection) > rank(connections_.at(*best))) best = id;
    }
    for (const ConnectionId id : stale) close_connection(id);
    if (best) return best;
    const auto fresh = open_connection(server);
    return fresh ? fresh : crowded;
}

bool Router::sound_connection(const Server& server, bool up) const {
    return std::ranges::any_of(server.connections, [this, up](ConnectionId id) {
        const Connection& connection = connections_.at(id);
        return !connection.retired && !connection.doubted && (connection.up || !up);
    });
}

// Two attempts in a row were given up and nothing has come over their connection since the first was made:
// it may lead nowhere while its server is well. One alone may be a slow part: among many front nodes each
// connection carries one at a time, and a second connection for each slow part would cost its server more
// than the part. Another one is opened beside it and takes what follows once it is up; until then nothing
// changes, so that a server that cannot be reached is not found out with an attempt.
void Router::doubt(ConnectionId id, const Attempt& attempt) {
    Connection& connection = connections_.at(id);
    if (attempt.way != Way::kSent || connection.heard >= attempt.made_at || connection.retired ||
        connection.doubted)
        return;
    if (!std::exchange(connection.unanswered, true)) return;
    connection.doubted = true;
    ++counts_.connections_suspected;
    const Server& server = servers_.at(connection.server);
    if (server.listed == ListedState::kLive && !sound_connection(server, false))
        open_connection(connection.server);
}

void Router::hear_from(Connection& connection) {
    connection.used = connection.heard = now_;
    connection.midway = 0, connection.unanswered = connection.doubted = false;
}

std::optional<ConnectionId> Router::open_connection(ServerId server) {
    if (connections_.size() >= most_connections()) {
        const auto spare = std::ranges::find_if(connections_, [](auto& held) { return idle(held.second); });
        if (spare == connections_.end()) return {};
        close_connection(spare->first);
    }
    const ConnectionId id{next_connection_++};
    connections_[id].server = server;
    connections_[id].used = now_;
    servers_.at(server).connections.insert(id);
    ++counts_.connections_opened;
    effects_.push_back(OpenConnection{id, servers_.at(server).address});
    at(now_ + terms_.opening.connect_timeout, ConnectDue{id});
    return id;
}

void Router::apply(const ConnectionEstablished& event) {
    const auto found = connections_.find(event.connection);
    if (found == connections_.end()) return;
    found->second.up = true, found->second.used = now_;
    hand_over(event.connection);
}

// One frame at a time is in the ring: until its first byte has gone, what waits behind can be taken back.
void Router::hand_over(ConnectionId id) {
    Connection& connection = connections_.at(id);
    while (connection.up && connection.in_ring.empty() && !connection.waiting.empty()) {
        Call call = std::move(connection.waiting.front());
        connection.waiting.pop_front();
        std::string bytes;
        const bool probe = call.empty();
        // Guards against a connection that comes up together with the end of an attempt's time: its timer
        // is looked at only after what has happened.
        std::erase_if(call, [&](auto& key) {
            Attempt& attempt = attempts_.at(key);
            if (now_ < std::min(attempt.until, attempt.send_by)) return false;
            attempt.given_up = true, --connection.parts;
            return_later(key, Outcome::kNotSent);
            return true;
        });
        if (call.empty() && !probe) continue;
        if (probe) {
            bytes = protocol::load_probe_frame();
        } else {
            std::vector<protocol::PartCall> parts;
            for (const AttemptKey& key : call) {
                Attempt& attempt = attempts_.at(key);
                attempt.way = Way::kHanded;
                connection.out[attempt.wire_id] = key;
                const Tenths left = attempt.until - now_;
                parts.push_back(
                    {attempt.wire_id, attempt.shard, std::max<Tenths>(1, left / 10), attempt.query});
            }
            bytes = protocol::call_frame(parts);
        }
        connection.handed += bytes.size(), connection.used = now_;
        connection.in_ring.push_back({connection.handed, call});
        effects_.push_back(WriteConnection{id, std::move(bytes)});
    }
}

// What is in the ring goes out at once, or the connection takes nothing. Guards against a frame that leaves
// long after it should not any more, when a server that stood still reads on: past its time or its window,
// for a client that has gone, to a server that drains. It cannot be taken out of the ring, so its connection
// ends, and as its last byte has not gone it never ran.
void Router::await_ring(ConnectionId id, const Connection& connection) {
    if (!connection.in_ring.empty())
        at(now_ + std::max<Tenths>(1, terms_.opening.decision_interval), RingDue{id});
}

void Router::due(const RingDue& what) {
    const auto found = connections_.find(what.connection);
    if (found == connections_.end()) return;
    const Connection& connection = found->second;
    const bool unwanted = connection.retired || servers_.at(connection.server).listed != ListedState::kLive;
    const bool stuck = std::ranges::any_of(connection.in_ring, [&](const Handed& frame) {
        return std::ranges::any_of(frame.call, [&](const AttemptKey& key) {
            const auto attempt = attempts_.find(key);
            return unwanted || attempt == attempts_.end() || attempt->second.given_up ||
                   !parts_.contains(key.first);
        });
    });
    if (stuck) close_connection(what.connection);
}

void Router::apply(const ConnectionBytesWritten& event) {
    const auto found = connections_.find(event.connection);
    if (found == connections_.end()) return;
    Connection& connection = found->second;
    while (!connection.in_ring.empty() && connection.in_ring.front().end <= event.total) {
        for (const AttemptKey& key : connection.in_ring.front().call)
            if (const auto attempt = attempts_.find(key); attempt != attempts_.end())
                attempt->second.way = Way::kSent;
        connection.in_ring.pop_front();
    }
    hand_over(event.connection);
}

void Router::apply(const ConnectionClosed& event) {
    if (connections_.contains(event.connection)) close_connection(event.connection);
}

// Whatever is on the connection ends: what was wholly with the system may have run, the rest has not, so that
// what was handed over in this very turn must not be written any more. Where the connection is spoilt, it is
// we who call off what is out.
void Router::close_connection(ConnectionId id, bool spoilt) {
    const auto found = connections_.find(id);
    const Connection connection = std::move(found->second);
    connections_.erase(found);
    servers_.at(connection.server).connections.erase(id);
    std::erase_if(effects_, [id](auto& effect) {
        const auto* write = std::get_if<WriteConnection>(&effect);
        return write != nullptr && write->connection == id;
    });
    effects_.push_back(CloseConnection{id});
    // Neither ran; only that a connection never came up says something of its server.
    const bool overdue = now_ >= connection.used + terms_.opening.connect_timeout; // used when it was opened
    const Outcome unsent = connection.up ? Outcome::kNotSent
                           : overdue     ? Outcome::kConnectTimeout
                                         : Outcome::kConnectionRefused;
    for (const Call& call : connection.waiting)
        for (const AttemptKey& key : call) return_attempt(key, unsent);
    for (const auto& [wire_id, key] : connection.out) {
        Attempt& attempt = attempts_.at(key);
        if (attempt.way == Way::kSent && spoilt)
            attempt.given_up = true, return_recalled(key);
        else
            return_attempt(key, attempt.way == Way::kSent ? Outcome::kConnectionLost : unsent);
    }
    for (const ProbeOut& probe : connection.probes)
        if (!probe.over) tell(ProbeEnded{connection.server, false, now_ - probe.made_at, {}});
}

// What came there cannot be read, or is not what was asked for: the attempt that it answered has failed and
// may have run, and no further answer can be told from what follows. The others out there are called off by
// closing the connection. That says nothing of their server, which has answered: it is no broken one. Where
// no attempt is named, the one that has been out for longest is taken for the one answered.
void Router::apply(const MalformedDataReceived& event) {
    const auto found = connections_.find(event.connection);
    if (found == connections_.end()) return;
    ++counts_.malformed;
    std::optional<AttemptKey> answered;
    for (const auto& [wire_id, key] : found->second.out) {
        const Attempt& attempt = attempts_.at(key);
        if (attempt.way != Way::kSent) continue;
        const bool named = wire_id == event.part;
        if (named || !answered || attempt.made_at < attempts_.at(*answered).made_at) answered = key;
        if (named) break;
    }
    if (answered) return_attempt(*answered, Outcome::kError);
    if (connections_.contains(event.connection)) close_connection(event.connection, true);
}

// A frame that has begun comes at once or not at all. Until it is whole its connection takes nothing new.
void Router::apply(const FrameStarted& event) {
    const auto found = connections_.find(event.connection);
    if (found == connections_.end() || found->second.midway > 0) return;
    found->second.midway = now_;
    at(now_ + terms_.opening.connect_timeout, MidwayDue{event.connection});
}

void Router::due(const MidwayDue& what) {
    const auto found = connections_.find(what.connection);
    if (found == connections_.end() || found->second.midway == 0) return;
    if (now_ >= found->second.midway + terms_.opening.connect_timeout)
        apply(MalformedDataReceived{what.connection, {}});
}

void Router::due(const ConnectDue& what) {
    const auto found = connections_.find(what.connection);
    if (found != connections_.end() && !found->second.up) close_connection(what.connection);
}

// After something on it has ended: a connection with nothing left is closed when it has been idle for long
// enough, or at once where nothing new may go there.
void Router::rest(ConnectionId id) {
    const auto found = connections_.find(id);
    if (found == connections_.end() || !idle(found->second)) return;
    Connection& connection = found->second;
    // A connection full of what was given up takes nothing more: its end frees its server of it.
    if (connection.retired || carried(connection) >= most_carried() ||
        (connection.doubted && sound_connection(servers_.at(connection.server), true)))
        return close_connection(id);
    if (terms_.idle_span == 0 || std::exchange(connection.idle_armed, true)) return;
    at(connection.used + idle_limit(), IdleDue{id});
}

void Router::due(const IdleDue& what) {
    const auto found = connections_.find(what.connection);
    if (found == connections_.end()) return;
    found->second.idle_armed = false;
    if (!idle(found->second)) return;
    if (now_ >= found->second.used + idle_limit()) return close_connection(what.connection);
    rest(what.connection);
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
        rest(id);
    }
}

// ---- probes

void Router::probe(ServerId server) {
    const auto id = connection_for(server, {});
    ++counts_.probes;
    if (!id) return at(now_ + 1, ProbeReturn{server});
    Connection& connection = connections_.at(*id);
    connection.probes.push_back({next_probe_++, now_, false});
    at(now_ + terms_.opening.connect_timeout, ProbeDue{*id, connection.probes.back().serial});
    connection.waiting.push_back({});
    hand_over(*id);
}

void Router::due(const ProbeReturn& what) { tell(ProbeEnded{what.server, false, 1, {}}); }

// A connection that leaves a probe without an answer may lead nowhere any more: nothing new goes there, and
// the next probe tries a new one.
void Router::due(const ProbeDue& what) {
    const auto found = connections_.find(what.connection);
    if (found == connections_.end()) return;
    Connection& connection = found->second;
    const auto probe = std::ranges::find(connection.probes, what.serial, &ProbeOut::serial);
    if (probe == connection.probes.end() || probe->over) return;
    probe->over = true;
    tell(ProbeEnded{connection.server, false, now_ - probe->made_at, {}});
    connection.retired = true;
    rest(what.connection);
}

void Router::apply(const LoadReceived& event) {
    const auto found = connections_.find(event.connection);
    if (found == connections_.end() || found->second.probes.empty()) return;
    Connection& connection = found->second;
    hear_from(connection);
    const ProbeOut probe = connection.probes.front();
    connection.probes.pop_front();
    if (!probe.over)
        tell(ProbeEnded{connection.server, event.answer.passed, now_ - probe.made_at, event.answer.report});
    rest(event.connection);
}

// ---- the list of index servers

ServerId Router::server_of(const std::string& name) {
    const auto [place, fresh] =
        server_ids_.try_emplace(name, ServerId{static_cast<std::uint32_t>(server_ids_.size())});
    if (fresh) servers_.try_emplace(place->second);
    return place->second;
}

std::int32_t Router::number_of(std::vector<std::string>& names, const std::string& name) {
    const auto found = std::ranges::find(names, name);
    if (found != names.end()) return static_cast<std::int32_t>(found - names.begin());
    names.push_back(name);
    return static_cast<std::int32_t>(names.size() - 1);
}

// What still waits for a connection to a server that drains or is gone has not left and does not leave.
void Router::pull_waiting(Server& server) {
    const auto connections = server.connections;
    for (const ConnectionId id : connections) {
        await_ring(id, connections_.at(id));
        std::vector<AttemptKey> keys;
        for (const Call& call : connections_.at(id).waiting)
            keys.insert(keys.end(), call.begin(), call.end());
        for (const AttemptKey& key : keys) {
            Attempt& attempt = attempts_.at(key);
            give_up(key, attempt);
            return_later(key, Outcome::kNotSent);
        }
    }
}

void Router::take_list(const protocol::ServerList& list, ListKind kind) {
    version_ = list.version;
    ServerListUpdate news{kind, {}};
    std::set<ServerId> named;
    for (const protocol::ServerEntry& row : list.servers) {
        const ServerId id = server_of(row.id);
        Server& server = servers_.at(id);
        named.insert(id);
        const std::string address = row.address.empty() ? server.address : row.address;
        const CellNo cell{row.cell};
        if (address != server.address || cell != server.cell) { // there may be another server by now
            pull_waiting(server);
            retire_connections(server);
        }
        server.address = address;
        server.listed = row.listed, server.cell = cell;
        ListEntry entry;
        entry.server = id;
        entry.zone = ZoneNo{number_of(terms_.zones, row.zone)};
        entry.kind = KindNo{number_of(terms_.kinds, row.kind)};
        entry.cell = cell;
        entry.listed = row.listed, entry.weight = row.weight;
        entry.started = std::max<Tenths>(0, row.started_ms) * (kTenthsPerSecond / 1000);
        news.entries.push_back(entry);
    }
    for (auto& [id, server] : servers_) {
        if (kind != ListKind::kChanges && !named.contains(id)) server.listed = ListedState::kGone;
        if (server.listed == ListedState::kLive) continue;
        pull_waiting(server);
        if (server.listed == ListedState::kGone) retire_connections(server);
    }
    tell(news);
}

void Router::subscribe() {
    if (!ask_) watch_on();
}

// One call after another, so that a watch never ends of itself. Its wait is half of the time after which
// news counts as told, whatever became of the call; an answer is overdue a fifth of that wait later, and so
// is a connection: what is left of the time is for a call or two that replace it.
void Router::watch_on() {
    ask_ = DiscoveryCallId{next_ask_++}, ask_sent_ = false;
    const Tenths wait = std::min(terms_.ask_span, terms_.opening.list_propagation) / 2;
    effects_.push_back(QueryDiscovery{*ask_, discovery_, version_, wait / 10, whole_wanted_});
    at(now_ + wait / 5, AskDue{*ask_, false});
    at(now_ + wait + wait / 5, AskDue{*ask_});
}

void Router::apply(const DiscoveryConnected& event) { ask_sent_ = ask_sent_ || ask_ == event.ask; }

void Router::apply(const ServerListReceived& event) {
    if (ask_ != event.ask) return;
    ++counts_.lists;
    const bool behind = !event.list.full && event.list.version < version_; // it has started anew
    if (!behind) take_list(event.list, event.list.full ? ListKind::kWhole : ListKind::kChanges);
    whole_wanted_ = behind;
    watch_on();
}

void Router::apply(const ServerListFailed& event) {
    if (ask_ != event.ask) return;
    ask_.reset();
    ++counts_.lists_lost;
    tell(ServerListUpdate{ListKind::kLost, {}});
}

void Router::due(const AskDue& what) {
    if (ask_ != what.ask || (!what.sent && ask_sent_)) return;
    effects_.push_back(CancelDiscoveryCall{"no answer in time"});
    apply(ServerListFailed{what.ask});
}

// Discovery has moved: the old one's word counts no more, and the new one, whose versions need not follow on,
// is asked for the whole list at once.
void Router::apply(const DiscoveryAddressChanged& event) {
    if (event.address == discovery_) return;
    discovery_ = event.address, whole_wanted_ = true;
    effects_.push_back(CancelDiscoveryCall{"it has moved to " + discovery_});
    watch_on();
}

void Router::schedule_wakeup(Tenths in) { at(now_ + std::max<Tenths>(1, in), Wake{}); }
void Router::due(const Wake&) { decision_due_ = true; }

} // namespace ivyrill::routing
