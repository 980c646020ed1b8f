#include "program/node.hpp"

#include "program/log.hpp"
#include "sessions/http1/session.hpp"
#include "sessions/http2/session.hpp"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <sys/inotify.h>
#include <sys/resource.h>
#include <sys/signalfd.h>
#include <system_error>
#include <unistd.h>

namespace ivyrill::program {

using transport::Stream;
using transport::Task;

namespace {

// Bounds of the rings. Parsers take bytes as they come, so only what is written has to fit whole.
constexpr std::size_t kMostSeals = 8 * 1024; // what TLS adds to an answer
constexpr std::size_t kMostRead = 16 * 1024, kMostAnswer = 128 * 1024, kMostPart = 72 * 1024;
constexpr std::size_t kSpareDescriptors = 24; // standard streams, epoll, signals, listener, discovery, log
// The platform's word: no request is on its way any more so long after the order to stop.
constexpr Tenths kCrossing = kTenthsPerSecond * 7 / 10;
constexpr Tenths kCountsEvery = 10 * kTenthsPerSecond;
constexpr Tenths kStrainSpan = 2 * kTenthsPerSecond;

int open_signals() { return signalfd(-1, &block_signals(), SFD_NONBLOCK | SFD_CLOEXEC); }

std::size_t descriptors(std::int64_t stated) {
    rlimit limit{};
    std::size_t most = static_cast<std::size_t>(std::max<std::int64_t>(stated, 0));
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) most = std::min<std::size_t>(most, limit.rlim_cur);
    if (most < 2 * kSpareDescriptors) throw std::runtime_error("limits.sockets: too few to serve with");
    return most - kSpareDescriptors;
}

} // namespace

const sigset_t& block_signals() {
    static const sigset_t held = [] {
        sigset_t set;
        sigemptyset(&set), sigaddset(&set, SIGTERM), sigaddset(&set, SIGINT), sigaddset(&set, SIGHUP);
        return set;
    }();
    std::signal(SIGPIPE, SIG_IGN);
    sigprocmask(SIG_BLOCK, &held, nullptr);
    return held;
}

const transport::TicketSecret* Tickets::told(const access::TicketKeys::Key* key) {
    if (key == nullptr) return nullptr;
    std::memcpy(told_.name, key->name.data(), sizeof told_.name);
    std::memcpy(told_.seal, key->seal.data(), sizeof told_.seal);
    std::memcpy(told_.mac, key->mac.data(), sizeof told_.mac);
    return &told_;
}

const transport::TicketSecret* Tickets::sealing() {
    if (keys_.wants_key(loop_.now())) {
        const std::string drawn = access::random_bytes(sizeof(access::TicketKeys::Key));
        access::TicketKeys::Key fresh;
        std::memcpy(&fresh, drawn.data(), sizeof fresh);
        keys_.add(fresh, loop_.now());
    }
    return told(keys_.sealing());
}

const transport::TicketSecret* Tickets::opening(const unsigned char* name, bool& renew) {
    const auto [use, key] = keys_.opening(name);
    renew = use == access::TicketKeys::Use::kOpenAndRenew;
    return told(key);
}

Node::Client::Client(routing::ClientId number, transport::Loop& loop, int descriptor,
                     std::unique_ptr<transport::TlsSession> tls, std::unique_ptr<sessions::Session> own)
    : id(number),
      stream(loop, descriptor, kMostRead, tls ? kMostAnswer + kMostSeals : kMostAnswer, std::move(tls)),
      session(std::move(own)) {}

Node::Connection::Connection(routing::ConnectionId number, transport::Loop& loop, int descriptor,
                             std::size_t most_out)
    : id(number), stream(loop, descriptor, Stream::Start::kConnecting, kMostRead, most_out) {}

Node::Node(protocol::StartOrders orders, ReloadConfiguration read_again, const std::string& operator_file)
    : orders_(std::move(orders)), read_again_(std::move(read_again)), operator_file_(operator_file) {
    signals_.emplace(loop_, open_signals());
    listeners_.push_back(std::make_unique<Listener>(loop_, orders_.listen));
    for (const RequestClassConfig& request_class : orders_.terms.opening.request_classes)
        stuck_after_ = std::max(stuck_after_, request_class.deadline);
    router_ = std::make_unique<routing::Router>(orders_.terms, orders_.known, orders_.discovery,
                                                descriptors(orders_.sockets), loop_.now());
    if (operator_file_.empty()) return;
    tickets_.emplace(loop_, Tenths{0});
    operator_settings_ = load_operator_files(operator_file_, nullptr, transport::Loop::wall(), &*tickets_);
    const operators::OperatorSettings& settings = operator_settings_->settings;
    check_names(settings, orders_.terms.request_classes, orders_.terms.tenants);
    tickets_.emplace(loop_, settings.ticket_span);
    audit_.emplace(settings.audit);
    if (settings.membership) {
        rota_ = std::make_unique<CoordinationThread>(settings, operator_settings_->secret, orders_.terms,
                                                     orders_.name, orders_.terms.opening.seed);
        members_.emplace(loop_, dup(rota_->news()));
        protocol::ServerList known = orders_.known;
        known.full = true;
        rota_->told(known);
    }
    if (operator_settings_->policy)
        router_->enable_access_control(operator_settings_->policy, settings.access->query_is_note_key,
                                       loop_.now(), transport::Loop::wall());
    listeners_.front()->guarded = settings.access && settings.access->platform_port_guarded;
    connection_terms_ = settings.connections;
    router_->limit_handshakes(settings.handshakes, loop_.now());
    for (std::size_t i = 0; i < settings.listeners.size(); ++i) {
        listeners_.push_back(std::make_unique<Listener>(loop_, settings.listeners[i].address));
        listeners_.back()->tls = operator_settings_->tls[i],
        listeners_.back()->guarded = settings.listeners[i].guarded;
        listeners_.back()->protocol = settings.listeners[i].protocols.front();
    }
    changes_.emplace(loop_, inotify_init1(IN_NONBLOCK | IN_CLOEXEC));
    for (const std::string& folder : operator_settings_->folders)
        inotify_add_watch(changes_->descriptor(), folder.c_str(), IN_CLOSE_WRITE | IN_MOVED_TO | IN_DELETE);
}

int Node::run() {
    signal_task_ = await_signals(), signal_task_.start();
    discovery_.emplace(loop_);
    discovery_task_ = serve_discovery(), discovery_task_.start();
    if (lifecycle_.phase() == Phase::kStarting) enter(Phase::kServing); // before the first client is heard
    if (changes_) change_task_ = await_changes(), change_task_.start();
    if (rota_) rota_->start(), member_task_ = await_members(), member_task_.start();
    for (auto& listener : listeners_) listener->task = accept_clients(*listener), listener->task.start();
    counts_at_ = loop_.now() + kCountsEvery;
    while (turn(), keep_phase(), lifecycle_.phase() != Phase::kStopped) {
        Tenths until = std::min(counts_at_, stuck_at_);
        if (rota_) until = std::min(until, strain_at_);
        if (timer_ > 0) until = std::min(until, timer_);
        if (lifecycle_.phase() == Phase::kDraining) until = std::min(until, lifecycle_.since() + kCrossing);
        if (accept_more_ && accepting_) until = loop_.now();
        loop_.wait(until);
    }
    tell_counts();
    return 0;
}

// All that one wake-up brought goes through the reducer, oldest first; what its effects bring at once too.
void Node::turn() {
    const bool more = std::exchange(accept_more_, false);
    if (std::exchange(accept_short_, false) || more) accept_all(); // no edge comes for those who wait already
    around_ = {lifecycle_.phase() == Phase::kServing, loop_.now()};
    for (const routing::ConnectionId id :
         std::exchange(writing_, {})) // what was written since is known first
        if (const auto connection = connections_.find(id); connection != connections_.end())
            tell_connection(*connection->second);
    if (loop_.now() >= stuck_at_) drop_stuck();
    if (operator_settings_ && operator_settings_->policy)
        inbox_.push_front(routing::WallClockRead{transport::Loop::wall()});
    do {
        for (; !inbox_.empty(); inbox_.pop_front()) router_->handle(loop_.now(), std::move(inbox_.front()));
        for (const routing::Effect& effect : router_->turn(loop_.now()))
            std::visit([this](const auto& what) { carry_out(what); }, effect);
        write_all_out();
    } while (!inbox_.empty());
    if (loop_.now() >= counts_at_) tell_counts();
    if (rota_ && loop_.now() >= strain_at_) tell_strain();
}

// ---- phases

void Node::enter(Phase phase) {
    if (!lifecycle_.enter(phase, loop_.now())) return;
    around_.ready = phase == Phase::kServing; // also for who is heard before the first turn
    log().info("phase={} searches={} clients={}", Lifecycle::name(phase), router_->open_searches(),
               router_->open_clients());
}

void Node::keep_phase() {
    if (lifecycle_.phase() == Phase::kDraining && loop_.now() >= lifecycle_.since() + kCrossing) {
        loop_.wait(loop_.now()); // what the system has taken for us is ours to answer
        accept_all();
        turn();
        listeners_.clear();
        post(routing::TrafficStopped{});
        enter(Phase::kFinishing);
        turn();
    }
    // To end the process would reset who is still to read its answer: each closes, or its time is over.
    if (lifecycle_.phase() == Phase::kFinishing && clients_.empty()) enter(Phase::kStopped);
}

Task Node::await_signals() {
    transport::Slot& next = signals_->readable;
    for (;;) {
        signalfd_siginfo info;
        while (read(signals_->descriptor(), &info, sizeof info) == sizeof info) {
            if (info.ssi_signo == SIGHUP) {
                read_orders_again();
                read_operator_file();
                continue;
            }
            if (lifecycle_.phase() == Phase::kServing) post(routing::DrainStarted{});
            if (rota_) rota_->leave();
            enter(lifecycle_.phase() == Phase::kStarting ? Phase::kStopped : Phase::kDraining);
        }
        co_await next;
    }
}

// What a running front node takes up of a new configuration is where discovery is; the rest needs a restart.
// A file that cannot be used changes nothing.
void Node::read_orders_again() {
    try {
        if (!read_again_) throw std::runtime_error("no file was named at the start");
        const protocol::StartOrders fresh = read_again_();
        log().info("configuration read again, discovery={}", fresh.discovery);
        post(routing::DiscoveryAddressChanged{fresh.discovery});
    } catch (const std::exception& error) { log_limited("configuration not taken up: {}", error.what()); }
}

// Keys, lists, rights and our own certificates change in service, as one step: what was read is checked
// whole, then everything is swapped; or nothing is, and the log says why. Connections keep the certificate
// they began with.
void Node::read_operator_file() {
    if (operator_file_.empty()) return;
    try {
        LoadedSettings fresh = load_operator_files(operator_file_, operator_settings_->policy.get(),
                                                   transport::Loop::wall(), &*tickets_);
        check_names(fresh.settings, orders_.terms.request_classes, orders_.terms.tenants);
        const auto same = [](auto& a, auto& b) { return a.name == b.name && a.address == b.address; };
        if (!std::ranges::equal(fresh.settings.listeners, operator_settings_->settings.listeners, same) ||
            (fresh.policy == nullptr) != (operator_settings_->policy == nullptr))
            throw std::runtime_error("other listeners, and access on or off, need a restart");
        for (std::size_t i = 1; i < listeners_.size(); ++i) listeners_[i]->tls = fresh.tls[i - 1];
        if (fresh.policy) post(routing::PolicyLoaded{fresh.policy});
        operator_settings_ = std::move(fresh);
    } catch (const std::exception& error) {
        audit_->write({{"what", "kept"}, {"why", error.what()}}, transport::Loop::wall());
        log_limited("the operator's file is not taken up: {}", error.what());
    }
}

Task Node::await_changes() {
    transport::Slot& next = changes_->readable;
    for (;;) {
        alignas(inotify_event) char bytes[4096];
        bool changed = false;
        while (read(changes_->descriptor(), bytes, sizeof bytes) > 0) changed = true;
        if (changed) read_operator_file(); // all that came together is one change
        co_await next;
    }
}

// How many are there is for the module to make something of.
Task Node::await_members() {
    transport::Slot& next = members_->readable;
    for (std::size_t before = 0;;) {
        const std::size_t present = rota_->present();
        if (present != std::exchange(before, present)) post(routing::FrontNodesCounted{present});
        co_await next;
    }
}

// What share of the searches of the last while was rejected: machines go out only where load leaves room.
void Node::tell_strain() {
    const routing::Counts& c = router_->counts();
    const std::uint64_t pushed = c.rejected + c.over_limit;
    const auto fresh = static_cast<double>(c.searches - strain_searches_);
    if (fresh > 0) rota_->strained(static_cast<double>(pushed - strain_pushed_) / fresh);
    strain_searches_ = c.searches, strain_pushed_ = pushed;
    strain_at_ = loop_.now() + kStrainSpan;
}

void Node::tell_counts() {
    const routing::Counts& c = router_->counts();
    counts_at_ = loop_.now() + kCountsEvery;
    rusage used{};
    getrusage(RUSAGE_SELF, &used);
    const auto ms = [](const timeval& at) { return at.tv_sec * 1000 + at.tv_usec / 1000; };
    log().info(
        "counts searches={} delivered={} pushed_back={} scrapped={} lapsed={} over_full={} launches={} "
        "recalls={} late_answers={} links_opened={} links_doubted={} links_renewed={} spoilt={} probes={} "
        "lists={} lists_lost={} open_searches={} "
        "open_launches={} clients={} links={} cpu_ms={} memory_kb={}",
        c.searches, c.delivered, c.rejected, c.failed, c.abandoned, c.over_limit, c.attempts, c.cancellations,
        c.late_answers, c.connections_opened, c.connections_suspected, c.connections_renewed, c.malformed,
        c.probes, c.lists, c.lists_lost, router_->open_searches(), router_->open_attempts(),
        router_->open_clients(), router_->open_connections(), ms(used.ru_utime) + ms(used.ru_stime),
        used.ru_maxrss);
    if (const access::Gate* gate = router_->gate())
        log().info("access admitted={} refused={} verified={} from_cache={} swaps={} barred={} distrusted={} "
                   "generation={} cached={} handshakes={}",
                   gate->counts().admitted, gate->counts().refused, gate->counts().verified,
                   gate->counts().from_cache, gate->counts().swaps, c.revoked, c.certificates_revoked,
                   gate->policy().generation, gate->cached(), router_->open_handshakes());
}

// ---- clients

void Node::accept_all() {
    for (auto& listener : listeners_) accept_all(*listener);
}

void Node::accept_all(Listener& listener) {
    while (accepting_) {
        // Guards discovery and index servers against a crowd that comes all at once: the reducer makes room
        // for so many more, or says that there is none.
        accept_more_ = clients_.size() >= router_->room_for_clients();
        if (accept_more_) return;
        const int descriptor = transport::accept_from(listener.socket.descriptor());
        if (descriptor < 0 && (errno == EINTR || errno == ECONNABORTED)) continue;
        if (descriptor < 0) {
            accept_short_ = errno != EAGAIN && errno != EWOULDBLOCK;
            if (accept_short_) log_limited("accept: {}", errno);
            return;
        }
        const routing::ClientId id{next_client_++};
        try {
            auto tls = listener.tls ? std::make_unique<transport::TlsSession>(listener.tls) : nullptr;
            auto client = std::make_unique<Client>(id, loop_, descriptor, std::move(tls),
                                                   listener.tls ? nullptr : make_session(listener.protocol));
            client->task = serve_client(*client);
            Client& held = *clients_.emplace(id, std::move(client)).first->second;
            post(routing::ClientOpened{id, listener.guarded, listener.tls != nullptr});
            held.task.start();
        } catch (const std::runtime_error& error) {
            log_limited("a client could not be taken on: {}", error.what());
        }
    }
}

Task Node::accept_clients(Listener& listener) {
    for (;;) {
        accept_all(listener);
        transport::Slot& next = accepting_ ? listener.socket.readable : listener.on;
        co_await next;
    }
}

std::unique_ptr<sessions::Session> Node::make_session(const std::string& protocol) const {
    if (protocol == "h2") return std::make_unique<sessions::Http2Session>(around_, connection_terms_);
    return std::make_unique<sessions::Http1Session>(around_);
}

// An exception ends the connection that met it, and no more than that.
Task Node::serve_client(Client& client) {
    transport::Channel& stream = client.stream;
    transport::Slot& changed = stream.changed; // named, as below
    try {
        while (stream.shaking() && !stream.ended()) {
            if (stream.shake_due()) post(routing::HandshakeReady{client.id});
            co_await changed;
        }
        if (!client.session) client.session = make_session(stream.protocol());
        sessions::Session& session = *client.session;
        write_out(client);
        std::size_t taken = 0;
        while (!session.over() && !stream.ended() && !client.shut) {
            if (session.reads() && stream.unread()) {
                taken += stream.feed(session);
                tell_news(client);
                write_out(client);
                if (taken < connection_terms_.read_quantum_bytes) continue;
                changed.wake(); // others have their turn
            } else if (session.midway()) {
                post(routing::RequestStarted{client.id});
            }
            taken = 0;
            if (session.over() || stream.ended() || client.shut) break;
            // Guards against a client that has gone behind more bytes than there is room for.
            if (!session.reads() && stream.hung_up()) {
                post(routing::ClientDisconnected{client.id});
                co_return;
            }
            co_await changed;
            write_out(client);
        }
        // The last word is out: the client closes, and what it may still send is read, lest it be reset.
        for (bool left = false; !stream.ended();) {
            if (stream.unwritten() == 0 && !std::exchange(left, true)) {
                stream.finish();
                post(routing::ClientFinalAnswerSent{client.id});
            }
            stream.discard();
            if (!stream.ended()) co_await changed;
        }
    } catch (const std::exception& error) { log_limited("client: {}", error.what()); }
    post(routing::ClientDisconnected{client.id});
}

void Node::tell_news(Client& client) {
    for (sessions::News& news : client.session->news()) {
        if (auto* search = std::get_if<sessions::SearchCame>(&news))
            post(routing::SearchReceived{client.id, std::move(search->request), client.stream.age(),
                                         search->stream});
        else if (const auto* left = std::get_if<sessions::SearchCancelled>(&news))
            post(routing::SearchCancelled{client.id, left->stream});
        else
            post(routing::OtherRequestAnswered{client.id});
    }
}

// All answers of one round to one client go out together.
void Node::write_all_out() {
    for (const routing::ClientId id : std::exchange(spoken_, {})) {
        Client* client = find_client(id);
        if (client == nullptr) continue;
        write_out(*client);
        client->stream.changed.wake();
    }
}

void Node::write_out(Client& client) {
    const std::string bytes = client.session->take_out(client.stream.room());
    if (!bytes.empty()) client.stream.send(bytes);
}

// An answer that is not read: after the longest time that any client waits it holds no descriptor and no
// memory.
void Node::drop_stuck() {
    for (const auto& [id, client] : clients_) {
        const bool owing = client->stream.unwritten() > 0 || (client->session && client->session->owes() > 0);
        const std::uint64_t moved = client->stream.moved();
        if (owing && moved == client->moved) post(routing::ClientDisconnected{id});
        client->moved = moved;
    }
    stuck_at_ = loop_.now() + stuck_after_;
}

Node::Client* Node::find_client(routing::ClientId id) {
    const auto found = clients_.find(id);
    return found == clients_.end() || !found->second->session ? nullptr : found->second.get();
}

void Node::carry_out(const routing::AnswerClient& effect) {
    Client* client = find_client(effect.client);
    if (client == nullptr) return;
    client->session->answer(effect.stream, effect.answer, effect.close);
    spoken_.insert(effect.client);
}

void Node::carry_out(const routing::RejectClient& effect) {
    Client* client = find_client(effect.client);
    if (client == nullptr) return;
    client->session->reject(effect.stream, effect.status, effect.message, effect.challenge, effect.close);
    spoken_.insert(effect.client);
}

void Node::carry_out(const routing::DrainClient& effect) {
    Client* client = find_client(effect.client);
    if (client == nullptr) return;
    client->session->drain();
    spoken_.insert(effect.client);
}

void Node::carry_out(const routing::ContinueHandshake& effect) {
    const auto found = clients_.find(effect.client);
    if (found == clients_.end()) return;
    transport::Channel& channel = found->second->stream;
    const bool shaking = channel.shaking();
    if (shaking) channel.shake();
    if (shaking && !channel.shaking()) {
        std::shared_ptr<const access::Chain> chain;
        if (const auto shown = channel.peer_chain())
            chain = std::make_shared<const access::Chain>(access::Chain{*shown});
        post(routing::HandshakeCompleted{effect.client, std::move(chain)});
    }
    channel.changed.wake();
}

void Node::carry_out(const routing::Audit& effect) {
    if (audit_) audit_->write(effect, transport::Loop::wall());
}

void Node::carry_out(const routing::CloseClient& effect) { clients_.erase(effect.client); }

// Who has sent something that nobody has read yet is heard first: the reducer learns of it before it asks
// again.
void Node::carry_out(const routing::HalfCloseClient& effect) {
    Client* client = find_client(effect.client);
    if (client == nullptr) return post(routing::ClientDisconnected{effect.client});
    client->shut = !client->stream.waiting_unread();
    client->stream.changed.wake();
}

void Node::carry_out(const routing::AcceptClients& effect) {
    accepting_ = effect.on;
    if (!accepting_) return;
    for (auto& listener : listeners_) listener->on.wake();
}

// ---- index servers

Task Node::serve_connection(Connection& connection) {
    Stream& stream = connection.stream;
    try {
        for (;;) {
            tell_connection(connection);
            while (stream.unread() && !connection.parser.broken() && !connection.over) {
                stream.feed(connection.parser);
                if (connection.parser.complete()) handle_frame(connection, connection.parser.take());
            }
            if (stream.ended() || connection.parser.broken() || connection.over) break;
            if (connection.parser.midway()) post(routing::FrameStarted{connection.id});
            co_await stream.changed;
        }
        tell_connection(connection);
        if (connection.parser.broken()) {
            log_limited("index server: {}", "what it sent is no frame");
            post(routing::MalformedDataReceived{connection.id, {}});
        }
    } catch (const std::exception& error) { log_limited("index server: {}", error.what()); }
    end_connection(connection);
}

// From here on nothing is written to it: what the reducer has not been told of as written never is.
void Node::end_connection(Connection& connection) {
    connection.stream.abandon();
    tell_connection(connection);
    post(routing::ConnectionClosed{connection.id});
}

void Node::tell_connection(Connection& connection) {
    if (connection.stream.up() && !std::exchange(connection.told_up, true))
        post(routing::ConnectionEstablished{connection.id});
    if (connection.stream.written() == connection.told) return;
    connection.told = connection.stream.written();
    if (connection.stream.unwritten() > 0) writing_.insert(connection.id);
    post(routing::ConnectionBytesWritten{connection.id, connection.told});
}

void Node::handle_frame(Connection& connection, const protocol::Frame& frame) {
    try {
        if (frame.letter == 'R')
            return post(routing::PartAnswered{connection.id, protocol::read_part_answer(frame.rest),
                                              connection.stream.age()});
        if (frame.letter == 'M')
            return post(routing::LoadReceived{connection.id, protocol::read_load_answer(frame.rest)});
        if (frame.letter != 'F') throw protocol::ProtocolError(std::string("frame ") + frame.letter);
        log_limited("index server: our frame was of no use to it: {}", protocol::quoted(frame.rest));
    } catch (const protocol::ProtocolError& error) {
        log_limited("index server: {}", error.what());
        post(routing::MalformedDataReceived{connection.id, std::string(protocol::part_named(frame.rest))});
    }
    connection.over = true;
}

void Node::carry_out(const routing::OpenConnection& effect) {
    const int descriptor = transport::connect_to(effect.address);
    if (descriptor < 0) return post(routing::ConnectionClosed{effect.connection});
    try {
        auto connection = std::make_unique<Connection>(effect.connection, loop_, descriptor,
                                                       kMostPart * orders_.terms.batch);
        connection->task = serve_connection(*connection);
        connections_.emplace(effect.connection, std::move(connection)).first->second->task.start();
    } catch (const std::system_error& error) {
        log_limited("no connection: {}", error.what());
        post(routing::ConnectionClosed{effect.connection});
    }
}

void Node::carry_out(const routing::WriteConnection& effect) {
    const auto found = connections_.find(effect.connection);
    if (found == connections_.end()) return;
    if (!found->second->stream.send(effect.bytes)) return end_connection(*found->second);
    if (found->second->stream.unwritten() > 0) writing_.insert(effect.connection);
    tell_connection(*found->second);
}

void Node::carry_out(const routing::CloseConnection& effect) { connections_.erase(effect.connection); }

// ---- discovery

Task Node::serve_discovery() {
    for (;;) {
        transport::Slot& asked = discovery_->asked; // named: GCC 12 keeps no reference that comes from a call
        while (!discovery_->ask) co_await asked;
        const routing::DiscoveryCallId id = discovery_->ask->call;
        const std::string request = protocol::list_request(discovery_->ask->address, discovery_->ask->after,
                                                           discovery_->ask->wait_ms, discovery_->ask->whole);
        std::optional<protocol::HttpMessage> answer;
        // A kept connection may have been closed between calls: such a call goes once more, on a new one.
        for (bool again = true; again && !answer;) {
            again = discovery_->stream != nullptr;
            if (!again) {
                const int descriptor = transport::connect_to(discovery_->ask->address);
                if (descriptor < 0) break;
                discovery_->stream = std::make_unique<Stream>(loop_, descriptor, Stream::Start::kConnecting,
                                                              kMostRead, kMostRead);
            }
            Stream& stream = *discovery_->stream;
            protocol::HttpParser parser(protocol::HttpParser::Side::kResponses);
            stream.send(request);
            for (bool sent = false;;) {
                while (stream.unread() && !parser.complete() && parser.broken() == 0) stream.feed(parser);
                if (stream.up() && !std::exchange(sent, true)) post(routing::DiscoveryConnected{id});
                if (stream.ended()) parser.end();
                if (parser.complete() || parser.broken() != 0 || stream.ended()) break;
                co_await stream.changed;
            }
            if (parser.complete()) answer = parser.take();
            again = again && !answer && !parser.begun();
            if (!answer || answer->close) discovery_->stream.reset();
        }
        discovery_->ask.reset();
        routing::Event news = routing::ServerListFailed{id};
        if (answer && answer->status == 200) {
            try {
                protocol::ServerList list = protocol::read_server_list(answer->body);
                if (!list.servers.empty())
                    log().info("list version={} full={} entries={}", list.version, list.full,
                               list.servers.size());
                if (rota_) rota_->told(list);
                news = routing::ServerListReceived{id, std::move(list)};
            } catch (const protocol::ProtocolError& error) { log_limited("discovery: {}", error.what()); }
        }
        post(std::move(news));
    }
}

void Node::carry_out(const routing::QueryDiscovery& effect) {
    discovery_->ask = effect;
    discovery_->asked.wake();
}

void Node::carry_out(const routing::CancelDiscoveryCall& effect) {
    log_limited("discovery: its connection is closed: {}", effect.reason);
    discovery_task_ = {};
    discovery_.emplace(loop_);
    discovery_task_ = serve_discovery(), discovery_task_.start();
}

void Node::carry_out(const routing::ArmTimer& effect) { timer_ = effect.at; }

} // namespace ivyrill::program
