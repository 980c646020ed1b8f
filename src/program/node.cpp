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

// Sizes of the ring buffers. Parsers consume bytes as they arrive, so only a whole write must fit.
constexpr std::size_t kMaxTlsOverhead = 8 * 1024; // added to an answer by TLS records
constexpr std::size_t kReadBuffer = 16 * 1024, kAnswerBuffer = 128 * 1024, kRequestBufferPerPart = 72 * 1024;
constexpr std::size_t kSpareDescriptors = 24; // standard streams, epoll, signals, listener, discovery and log
// Guaranteed by the platform: no request arrives later than this after the stop signal.
constexpr Ticks kDrainDelay = kTicksPerSecond * 7 / 10;
constexpr Ticks kCountsInterval = 10 * kTicksPerSecond;
constexpr Ticks kShareReportInterval = 2 * kTicksPerSecond;

int open_signals() { return signalfd(-1, &block_signals(), SFD_NONBLOCK | SFD_CLOEXEC); }

std::size_t descriptors(std::int64_t stated) {
    rlimit limit{};
    std::size_t most = static_cast<std::size_t>(std::max<std::int64_t>(stated, 0));
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) most = std::min<std::size_t>(most, limit.rlim_cur);
    if (most < 2 * kSpareDescriptors) throw std::runtime_error("limits.sockets: too few descriptors");
    return most - kSpareDescriptors;
}

} // namespace

const sigset_t& block_signals() {
    static const sigset_t blocked = [] {
        sigset_t set;
        sigemptyset(&set), sigaddset(&set, SIGTERM), sigaddset(&set, SIGINT), sigaddset(&set, SIGHUP);
        return set;
    }();
    std::signal(SIGPIPE, SIG_IGN);
    sigprocmask(SIG_BLOCK, &blocked, nullptr);
    return blocked;
}

const transport::TicketSecret* TicketKeyStore::secret_of(const access::TicketKeys::Key* key) {
    if (key == nullptr) return nullptr;
    std::memcpy(secret_.name, key->name.data(), sizeof secret_.name);
    std::memcpy(secret_.cipher_key, key->cipher_key.data(), sizeof secret_.cipher_key);
    std::memcpy(secret_.mac_key, key->mac_key.data(), sizeof secret_.mac_key);
    return &secret_;
}

const transport::TicketSecret* TicketKeyStore::encryption_key() {
    if (keys_.wants_key(loop_.now())) {
        const std::string random = access::random_bytes(sizeof(access::TicketKeys::Key));
        access::TicketKeys::Key key;
        std::memcpy(&key, random.data(), sizeof key);
        keys_.add(key, loop_.now());
    }
    return secret_of(keys_.encryption_key());
}

const transport::TicketSecret* TicketKeyStore::decryption_key(const unsigned char* name, bool& renew) {
    const auto [use, key] = keys_.decryption_key(name);
    renew = use == access::TicketKeys::Use::kDecryptAndRenew;
    return secret_of(key);
}

Node::Client::Client(routing::ClientId number, transport::Loop& loop, int descriptor,
                     std::unique_ptr<transport::TlsSession> tls, std::unique_ptr<sessions::Session> own)
    : id(number), stream(loop, descriptor, kReadBuffer, tls ? kAnswerBuffer + kMaxTlsOverhead : kAnswerBuffer,
                         std::move(tls)),
      session(std::move(own)) {}

Node::Connection::Connection(routing::ConnectionId number, transport::Loop& loop, int descriptor,
                             std::size_t output_buffer)
    : id(number), stream(loop, descriptor, Stream::Start::kConnecting, kReadBuffer, output_buffer) {}

Node::Node(protocol::StartConfig configuration, ReloadConfiguration reload, const std::string& operator_file)
    : configuration_(std::move(configuration)), reload_(std::move(reload)), operator_file_(operator_file) {
    signals_.emplace(loop_, open_signals());
    listeners_.push_back(std::make_unique<Listener>(loop_, configuration_.listen));
    for (const RequestClassConfig& request_class : configuration_.front_node_config.scheduler.request_classes)
        stall_timeout_ = std::max(stall_timeout_, request_class.deadline);
    router_ = std::make_unique<routing::Router>(configuration_.front_node_config, configuration_.known,
                                                configuration_.discovery, descriptors(configuration_.sockets),
                                                loop_.now());
    if (operator_file_.empty()) return;
    tickets_.emplace(loop_, Ticks{0});
    operator_settings_ = load_operator_files(operator_file_, nullptr, transport::Loop::wall(), &*tickets_);
    const operators::OperatorSettings& settings = operator_settings_->settings;
    check_names(settings, configuration_.front_node_config.request_classes,
                configuration_.front_node_config.tenants);
    tickets_.emplace(loop_, settings.ticket_lifetime);
    audit_.emplace(settings.audit);
    if (settings.membership) {
        coordination_ = std::make_unique<CoordinationThread>(
            settings, operator_settings_->secret, configuration_.front_node_config, configuration_.name,
            configuration_.front_node_config.scheduler.seed);
        member_count_source_.emplace(loop_, dup(coordination_->member_count_descriptor()));
        protocol::ServerList known = configuration_.known;
        known.full = true;
        coordination_->update_servers(known);
    }
    if (operator_settings_->policy)
        router_->enable_access_control(operator_settings_->policy, settings.access->query_is_note_key,
                                       loop_.now(), transport::Loop::wall());
    listeners_.front()->guarded = settings.access && settings.access->platform_port_guarded;
    connection_limits_ = settings.connections;
    router_->limit_handshakes(settings.handshakes, loop_.now());
    for (std::size_t i = 0; i < settings.listeners.size(); ++i) {
        listeners_.push_back(std::make_unique<Listener>(loop_, settings.listeners[i].address));
        listeners_.back()->tls = operator_settings_->tls[i],
        listeners_.back()->guarded = settings.listeners[i].guarded;
        listeners_.back()->protocol = settings.listeners[i].protocols.front();
    }
    file_watch_.emplace(loop_, inotify_init1(IN_NONBLOCK | IN_CLOEXEC));
    for (const std::string& folder : operator_settings_->folders)
        inotify_add_watch(file_watch_->descriptor(), folder.c_str(),
                          IN_CLOSE_WRITE | IN_MOVED_TO | IN_DELETE);
}

int Node::run() {
    signal_task_ = handle_signals(), signal_task_.start();
    discovery_.emplace(loop_);
    discovery_task_ = serve_discovery(), discovery_task_.start();
    if (lifecycle_.phase() == Phase::kStarting) enter(Phase::kServing); // before the first client is read
    if (file_watch_) file_watch_task_ = watch_operator_files(), file_watch_task_.start();
    if (coordination_) coordination_->start(), member_task_ = watch_members(), member_task_.start();
    for (auto& listener : listeners_) listener->task = accept_clients(*listener), listener->task.start();
    next_counts_at_ = loop_.now() + kCountsInterval;
    while (turn(), advance_phase(), lifecycle_.phase() != Phase::kStopped) {
        Ticks deadline = std::min(next_counts_at_, next_stall_check_at_);
        if (coordination_) deadline = std::min(deadline, next_share_report_at_);
        if (timer_at_ > 0) deadline = std::min(deadline, timer_at_);
        if (lifecycle_.phase() == Phase::kDraining)
            deadline = std::min(deadline, lifecycle_.since() + kDrainDelay);
        if (accept_pending_ && accepting_) deadline = loop_.now();
        loop_.wait(deadline);
    }
    log_counts();
    return 0;
}

// Passes all events of one wake-up to the router, oldest first, including those that its effects cause at
// once.
void Node::turn() {
    const bool pending = std::exchange(accept_pending_, false);
    if (std::exchange(accept_failed_, false) || pending)
        accept_all(); // epoll reports no new edge for waiting clients
    session_context_ = {lifecycle_.phase() == Phase::kServing, loop_.now()};
    for (const routing::ConnectionId id :
         std::exchange(connections_with_output_, {})) // reports written bytes before any event
        if (const auto connection = connections_.find(id); connection != connections_.end())
            report_connection(*connection->second);
    if (loop_.now() >= next_stall_check_at_) drop_stalled_clients();
    if (operator_settings_ && operator_settings_->policy)
        inbox_.push_front(routing::WallClockRead{transport::Loop::wall()});
    do {
        for (; !inbox_.empty(); inbox_.pop_front()) router_->handle(loop_.now(), std::move(inbox_.front()));
        for (const routing::Effect& effect : router_->turn(loop_.now()))
            std::visit([this](const auto& each) { execute(each); }, effect);
        flush_all();
    } while (!inbox_.empty());
    if (loop_.now() >= next_counts_at_) log_counts();
    if (coordination_ && loop_.now() >= next_share_report_at_) report_rejected_share();
}

// ---- phases

void Node::enter(Phase phase) {
    if (!lifecycle_.enter(phase, loop_.now())) return;
    session_context_.ready = phase == Phase::kServing; // also for clients read before the first turn
    log().info("phase={} searches={} clients={}", Lifecycle::name(phase), router_->open_searches(),
               router_->open_clients());
}

void Node::advance_phase() {
    if (lifecycle_.phase() == Phase::kDraining && loop_.now() >= lifecycle_.since() + kDrainDelay) {
        loop_.wait(loop_.now()); // connections in the accept queue must be answered
        accept_all();
        turn();
        listeners_.clear();
        post(routing::TrafficStopped{});
        enter(Phase::kFinishing);
        turn();
    }
    // Ending the process earlier would reset clients that still read their answer: waits until each has
    // closed or timed out.
    if (lifecycle_.phase() == Phase::kFinishing && clients_.empty()) enter(Phase::kStopped);
}

Task Node::handle_signals() {
    transport::Slot& readable = signals_->readable;
    for (;;) {
        signalfd_siginfo info;
        while (read(signals_->descriptor(), &info, sizeof info) == sizeof info) {
            if (info.ssi_signo == SIGHUP) {
                reload_configuration();
                reload_operator_file();
                continue;
            }
            if (lifecycle_.phase() == Phase::kServing) post(routing::DrainStarted{});
            if (coordination_) coordination_->leave();
            enter(lifecycle_.phase() == Phase::kStarting ? Phase::kStopped : Phase::kDraining);
        }
        co_await readable;
    }
}

// A running front node only applies a new address of discovery; other changes need a restart. An invalid file
// changes nothing.
void Node::reload_configuration() {
    try {
        if (!reload_) throw std::runtime_error("there is no configuration file to read again");
        const protocol::StartConfig loaded = reload_();
        log().info("configuration read again, discovery={}", loaded.discovery);
        post(routing::DiscoveryAddressChanged{loaded.discovery});
    } catch (const std::exception& error) { log_limited("configuration not applied: {}", error.what()); }
}

// Keys, revocations, rights and certificates change without a restart, atomically: either all files are valid
// and everything is replaced, or nothing is and the log gives the reason. Open connections keep their
// certificate.
void Node::reload_operator_file() {
    if (operator_file_.empty()) return;
    try {
        LoadedSettings loaded = load_operator_files(operator_file_, operator_settings_->policy.get(),
                                                    transport::Loop::wall(), &*tickets_);
        check_names(loaded.settings, configuration_.front_node_config.request_classes,
                    configuration_.front_node_config.tenants);
        const auto same = [](auto& a, auto& b) { return a.name == b.name && a.address == b.address; };
        if (!std::ranges::equal(loaded.settings.listeners, operator_settings_->settings.listeners, same) ||
            (loaded.policy == nullptr) != (operator_settings_->policy == nullptr))
            throw std::runtime_error("changing the listeners, or access control on or off, needs a restart");
        for (std::size_t i = 1; i < listeners_.size(); ++i) listeners_[i]->tls = loaded.tls[i - 1];
        if (loaded.policy) post(routing::PolicyLoaded{loaded.policy});
        operator_settings_ = std::move(loaded);
    } catch (const std::exception& error) {
        audit_->write({{"what", "kept"}, {"why", error.what()}}, transport::Loop::wall());
        log_limited("operator's file not applied: {}", error.what());
    }
}

Task Node::watch_operator_files() {
    transport::Slot& readable = file_watch_->readable;
    for (;;) {
        alignas(inotify_event) char bytes[4096];
        bool changed = false;
        while (read(file_watch_->descriptor(), bytes, sizeof bytes) > 0) changed = true;
        if (changed) reload_operator_file(); // changes that arrive together cause one reload
        co_await readable;
    }
}

// Reports the number of present members to the router, which passes it to the search scheduler.
Task Node::watch_members() {
    transport::Slot& readable = member_count_source_->readable;
    for (std::size_t before = 0;;) {
        const std::size_t present = coordination_->member_count();
        if (present != std::exchange(before, present)) post(routing::FrontNodesCounted{present});
        co_await readable;
    }
}

// Reports the share of searches rejected in the last interval: maintenance waits while the fleet is
// overloaded.
void Node::report_rejected_share() {
    const routing::Counts& counts = router_->counts();
    const std::uint64_t rejections = counts.rejected + counts.over_limit;
    const auto searches = static_cast<double>(counts.searches - reported_searches_);
    if (searches > 0)
        coordination_->set_rejected_search_share(static_cast<double>(rejections - reported_rejections_) /
                                                 searches);
    reported_searches_ = counts.searches, reported_rejections_ = rejections;
    next_share_report_at_ = loop_.now() + kShareReportInterval;
}

void Node::log_counts() {
    const routing::Counts& c = router_->counts();
    next_counts_at_ = loop_.now() + kCountsInterval;
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
    if (const access::Authorizer* authorizer = router_->authorizer())
        log().info("access admitted={} refused={} verified={} from_cache={} swaps={} barred={} distrusted={} "
                   "generation={} cached={} handshakes={}",
                   authorizer->counts().admitted, authorizer->counts().refused, authorizer->counts().verified,
                   authorizer->counts().from_cache, authorizer->counts().policy_replacements, c.revoked,
                   c.certificates_revoked, authorizer->policy().generation, authorizer->cached_tokens(),
                   router_->open_handshakes());
}

// ---- clients

void Node::accept_all() {
    for (auto& listener : listeners_) accept_all(*listener);
}

void Node::accept_all(Listener& listener) {
    while (accepting_) {
        // Protects discovery and index servers against a burst of clients: the router says how many more fit.
        accept_pending_ = clients_.size() >= router_->room_for_clients();
        if (accept_pending_) return;
        const int descriptor = transport::accept_from(listener.socket.descriptor());
        if (descriptor < 0 && (errno == EINTR || errno == ECONNABORTED)) continue;
        if (descriptor < 0) {
            accept_failed_ = errno != EAGAIN && errno != EWOULDBLOCK;
            if (accept_failed_) log_limited("accept: {}", errno);
            return;
        }
        const routing::ClientId id{next_client_++};
        try {
            auto tls = listener.tls ? std::make_unique<transport::TlsSession>(listener.tls) : nullptr;
            auto client = std::make_unique<Client>(id, loop_, descriptor, std::move(tls),
                                                   listener.tls ? nullptr : make_session(listener.protocol));
            client->task = serve_client(*client);
            Client& accepted = *clients_.emplace(id, std::move(client)).first->second;
            post(routing::ClientOpened{id, listener.guarded, listener.tls != nullptr});
            accepted.task.start();
        } catch (const std::runtime_error& error) { log_limited("client not accepted: {}", error.what()); }
    }
}

Task Node::accept_clients(Listener& listener) {
    for (;;) {
        accept_all(listener);
        transport::Slot& next = accepting_ ? listener.socket.readable : listener.accepting;
        co_await next;
    }
}

std::unique_ptr<sessions::Session> Node::make_session(const std::string& protocol) const {
    if (protocol == "h2")
        return std::make_unique<sessions::Http2Session>(session_context_, connection_limits_);
    return std::make_unique<sessions::Http1Session>(session_context_);
}

// An exception ends only this client's connection.
Task Node::serve_client(Client& client) {
    transport::Channel& stream = client.stream;
    transport::Slot& changed = stream.changed; // a named reference, see serve_discovery
    try {
        while (stream.handshaking() && !stream.ended()) {
            if (stream.handshake_due()) post(routing::HandshakeReady{client.id});
            co_await changed;
        }
        if (!client.session) client.session = make_session(stream.protocol());
        sessions::Session& session = *client.session;
        flush(client);
        std::size_t bytes_read = 0;
        while (!session.closed() && !stream.ended() && !client.closing) {
            if (session.wants_input() && stream.unread()) {
                bytes_read += stream.feed(session);
                post_session_events(client);
                flush(client);
                if (bytes_read < connection_limits_.read_quantum_bytes) continue;
                changed.wake(); // yields to other clients
            } else if (session.has_partial_request()) {
                post(routing::RequestStarted{client.id});
            }
            bytes_read = 0;
            if (session.closed() || stream.ended() || client.closing) break;
            // The client has closed with more unread bytes than the buffer holds: its end would never be
            // read.
            if (!session.wants_input() && stream.hung_up()) {
                post(routing::ClientDisconnected{client.id});
                co_return;
            }
            co_await changed;
            flush(client);
        }
        // The last answer is sent: waits for the client to close and discards what it still sends, as closing
        // with unread bytes would reset the connection.
        for (bool finished = false; !stream.ended();) {
            if (stream.unwritten() == 0 && !std::exchange(finished, true)) {
                stream.finish();
                post(routing::ClientFinalAnswerSent{client.id});
            }
            stream.discard();
            if (!stream.ended()) co_await changed;
        }
    } catch (const std::exception& error) { log_limited("client: {}", error.what()); }
    post(routing::ClientDisconnected{client.id});
}

void Node::post_session_events(Client& client) {
    for (sessions::SessionEvent& event : client.session->take_events()) {
        if (auto* search = std::get_if<sessions::SearchRequested>(&event))
            post(routing::SearchReceived{client.id, std::move(search->request),
                                         client.stream.last_receive_age(), search->stream});
        else if (const auto* left = std::get_if<sessions::SearchCancelled>(&event))
            post(routing::SearchCancelled{client.id, left->stream});
        else
            post(routing::OtherRequestAnswered{client.id});
    }
}

// All answers of one turn to a client are written together.
void Node::flush_all() {
    for (const routing::ClientId id : std::exchange(clients_with_output_, {})) {
        Client* client = find_client(id);
        if (client == nullptr) continue;
        flush(*client);
        client->stream.changed.wake();
    }
}

void Node::flush(Client& client) {
    const std::string bytes = client.session->take_output(client.stream.room());
    if (!bytes.empty()) client.stream.send(bytes);
}

// Closes clients that have not read their answer for the longest client deadline, to free descriptors and
// memory.
void Node::drop_stalled_clients() {
    for (const auto& [id, client] : clients_) {
        const bool has_output = client->stream.unwritten() > 0 ||
                                (client->session && client->session->pending_answer_bytes() > 0);
        const std::uint64_t moved = client->stream.transferred_bytes();
        if (has_output && moved == client->bytes_transferred) post(routing::ClientDisconnected{id});
        client->bytes_transferred = moved;
    }
    next_stall_check_at_ = loop_.now() + stall_timeout_;
}

Node::Client* Node::find_client(routing::ClientId id) {
    const auto found = clients_.find(id);
    return found == clients_.end() || !found->second->session ? nullptr : found->second.get();
}

void Node::execute(const routing::AnswerClient& effect) {
    Client* client = find_client(effect.client);
    if (client == nullptr) return;
    client->session->answer(effect.stream, effect.answer, effect.close);
    clients_with_output_.insert(effect.client);
}

void Node::execute(const routing::RejectClient& effect) {
    Client* client = find_client(effect.client);
    if (client == nullptr) return;
    client->session->reject(effect.stream, effect.status, effect.message, effect.challenge, effect.close);
    clients_with_output_.insert(effect.client);
}

void Node::execute(const routing::DrainClient& effect) {
    Client* client = find_client(effect.client);
    if (client == nullptr) return;
    client->session->drain();
    clients_with_output_.insert(effect.client);
}

void Node::execute(const routing::ContinueHandshake& effect) {
    const auto found = clients_.find(effect.client);
    if (found == clients_.end()) return;
    transport::Channel& channel = found->second->stream;
    const bool handshaking = channel.handshaking();
    if (handshaking) channel.advance_handshake();
    if (handshaking && !channel.handshaking()) {
        std::shared_ptr<const access::Chain> chain;
        if (const auto peer_chain = channel.peer_chain())
            chain = std::make_shared<const access::Chain>(access::Chain{*peer_chain});
        post(routing::HandshakeCompleted{effect.client, std::move(chain)});
    }
    channel.changed.wake();
}

void Node::execute(const routing::Audit& effect) {
    if (audit_) audit_->write(effect, transport::Loop::wall());
}

void Node::execute(const routing::CloseClient& effect) { clients_.erase(effect.client); }

// A client with unread bytes is read first, so that the router learns of them before it decides again.
void Node::execute(const routing::HalfCloseClient& effect) {
    Client* client = find_client(effect.client);
    if (client == nullptr) return post(routing::ClientDisconnected{effect.client});
    client->closing = !client->stream.has_unread_input();
    client->stream.changed.wake();
}

void Node::execute(const routing::AcceptClients& effect) {
    accepting_ = effect.on;
    if (!accepting_) return;
    for (auto& listener : listeners_) listener->accepting.wake();
}

// ---- index servers

Task Node::serve_connection(Connection& connection) {
    Stream& stream = connection.stream;
    try {
        for (;;) {
            report_connection(connection);
            while (stream.unread() && !connection.parser.broken() && !connection.closing) {
                stream.feed(connection.parser);
                if (connection.parser.complete()) handle_frame(connection, connection.parser.take());
            }
            if (stream.ended() || connection.parser.broken() || connection.closing) break;
            if (connection.parser.midway()) post(routing::FrameStarted{connection.id});
            co_await stream.changed;
        }
        report_connection(connection);
        if (connection.parser.broken()) {
            log_limited("index server: {}", "malformed frame");
            post(routing::MalformedDataReceived{connection.id, {}});
        }
    } catch (const std::exception& error) { log_limited("index server: {}", error.what()); }
    abandon_connection(connection);
}

// Nothing more is written: bytes that were not reported as written to the router never will be.
void Node::abandon_connection(Connection& connection) {
    connection.stream.abandon();
    report_connection(connection);
    post(routing::ConnectionClosed{connection.id});
}

void Node::report_connection(Connection& connection) {
    if (connection.stream.established() && !std::exchange(connection.established_reported, true))
        post(routing::ConnectionEstablished{connection.id});
    if (connection.stream.written() == connection.reported_bytes) return;
    connection.reported_bytes = connection.stream.written();
    if (connection.stream.unwritten() > 0) connections_with_output_.insert(connection.id);
    post(routing::ConnectionBytesWritten{connection.id, connection.reported_bytes});
}

void Node::handle_frame(Connection& connection, const protocol::Frame& frame) {
    try {
        if (frame.type == 'R')
            return post(routing::PartAnswered{connection.id, protocol::read_part_response(frame.payload),
                                              connection.stream.last_receive_age()});
        if (frame.type == 'M')
            return post(routing::LoadReceived{connection.id, protocol::read_load_response(frame.payload)});
        if (frame.type != 'F') throw protocol::ProtocolError(std::string("frame ") + frame.type);
        log_limited("index server: it rejected a frame: {}", protocol::quoted(frame.payload));
    } catch (const protocol::ProtocolError& error) {
        log_limited("index server: {}", error.what());
        post(routing::MalformedDataReceived{connection.id,
                                            std::string(protocol::read_part_id(frame.payload))});
    }
    connection.closing = true;
}

void Node::execute(const routing::OpenConnection& effect) {
    const int descriptor = transport::connect_to(effect.address);
    if (descriptor < 0) return post(routing::ConnectionClosed{effect.connection});
    try {
        auto connection = std::make_unique<Connection>(
            effect.connection, loop_, descriptor,
            kRequestBufferPerPart * configuration_.front_node_config.max_parts_per_call);
        connection->task = serve_connection(*connection);
        connections_.emplace(effect.connection, std::move(connection)).first->second->task.start();
    } catch (const std::system_error& error) {
        log_limited("connection failed: {}", error.what());
        post(routing::ConnectionClosed{effect.connection});
    }
}

void Node::execute(const routing::WriteConnection& effect) {
    const auto found = connections_.find(effect.connection);
    if (found == connections_.end()) return;
    if (!found->second->stream.send(effect.bytes)) return abandon_connection(*found->second);
    if (found->second->stream.unwritten() > 0) connections_with_output_.insert(effect.connection);
    report_connection(*found->second);
}

void Node::execute(const routing::CloseConnection& effect) { connections_.erase(effect.connection); }

// ---- discovery

Task Node::serve_discovery() {
    for (;;) {
        transport::Slot& query_set =
            discovery_
                ->query_set; // named, as GCC 12 does not keep a reference returned by a call across co_await
        while (!discovery_->query) co_await query_set;
        const routing::DiscoveryCallId id = discovery_->query->call;
        const std::string request =
            protocol::list_request(discovery_->query->address, discovery_->query->after,
                                   discovery_->query->wait_ms, discovery_->query->whole);
        std::optional<protocol::HttpMessage> answer;
        // A kept-alive connection may have been closed between calls: repeats the call once on a new one.
        for (bool again = true; again && !answer;) {
            again = discovery_->stream != nullptr;
            if (!again) {
                const int descriptor = transport::connect_to(discovery_->query->address);
                if (descriptor < 0) break;
                discovery_->stream = std::make_unique<Stream>(loop_, descriptor, Stream::Start::kConnecting,
                                                              kReadBuffer, kReadBuffer);
            }
            Stream& stream = *discovery_->stream;
            protocol::HttpParser parser(protocol::HttpParser::Side::kResponses);
            stream.send(request);
            for (bool sent = false;;) {
                while (stream.unread() && !parser.complete() && parser.broken() == 0) stream.feed(parser);
                if (stream.established() && !std::exchange(sent, true)) post(routing::DiscoveryConnected{id});
                if (stream.ended()) parser.end();
                if (parser.complete() || parser.broken() != 0 || stream.ended()) break;
                co_await stream.changed;
            }
            if (parser.complete()) answer = parser.take();
            again = again && !answer && !parser.begun();
            if (!answer || answer->close) discovery_->stream.reset();
        }
        discovery_->query.reset();
        routing::Event news = routing::ServerListFailed{id};
        if (answer && answer->status == 200) {
            try {
                protocol::ServerList list = protocol::read_server_list(answer->body);
                if (!list.servers.empty())
                    log().info("list version={} full={} entries={}", list.version, list.full,
                               list.servers.size());
                if (coordination_) coordination_->update_servers(list);
                news = routing::ServerListReceived{id, std::move(list)};
            } catch (const protocol::ProtocolError& error) { log_limited("discovery: {}", error.what()); }
        }
        post(std::move(news));
    }
}

void Node::execute(const routing::QueryDiscovery& effect) {
    discovery_->query = effect;
    discovery_->query_set.wake();
}

void Node::execute(const routing::CancelDiscoveryCall& effect) {
    log_limited("discovery: connection closed: {}", effect.reason);
    discovery_task_ = {};
    discovery_.emplace(loop_);
    discovery_task_ = serve_discovery(), discovery_task_.start();
}

void Node::execute(const routing::ArmTimer& effect) { timer_at_ = effect.at; }

} // namespace ivyrill::program
