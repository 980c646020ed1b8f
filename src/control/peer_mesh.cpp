#include "control/peer_mesh.hpp"

#include "base/log.hpp"
#include "wire/cbor.hpp"
#include "wire/frame.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace ivyrill::control {

namespace {

constexpr Ticks kMinRetryDelay = 1000, kMaxRetryDelay = 10'000; // between connection attempts
constexpr Ticks kConnectTimeout = 5000;
constexpr Ticks kForgetAfter = 300'000; // 30 s; then a silent peer is removed, unless it is a seed

void free_link(transport::Reactor& reactor, std::unique_ptr<feed::Link> link) {
    if (!link) return;
    auto held = std::make_shared<std::unique_ptr<feed::Link>>(std::move(link));
    reactor.free_later([held] { held->reset(); });
}

} // namespace

PeerMesh::PeerMesh(transport::Reactor& reactor, feed::LinkNetwork& network, Options options,
                   Callbacks callbacks)
    : reactor_(reactor), network_(network), options_(std::move(options)), callbacks_(std::move(callbacks)) {}

PeerMesh::~PeerMesh() { reactor_.cancel(timer_); }

void PeerMesh::start() {
    for (const std::string& seed : options_.seeds)
        if (seed != options_.self.address) find_or_add_peer(seed).seed = true;
    tick();
}

PeerMesh::Peer& PeerMesh::find_or_add_peer(const std::string& address) {
    const auto [entry, inserted] = peers_.try_emplace(address);
    if (inserted) {
        entry->second.node.address = address;
        entry->second.first_known = entry->second.last_heard = entry->second.alive_since = reactor_.now();
        entry->second.retry_delay = kMinRetryDelay;
    }
    return entry->second;
}

void PeerMesh::add_peer(const model::ControlNode& node) {
    if (node.address != options_.self.address && !node.address.empty()) find_or_add_peer(node.address);
}

void PeerMesh::add_peers(const std::vector<model::ControlNode>& nodes) {
    for (const model::ControlNode& node : nodes) add_peer(node);
}

void PeerMesh::connect(Peer& peer) {
    peer.next_attempt = reactor_.now() + peer.retry_delay;
    peer.retry_delay = std::min(peer.retry_delay * 2, kMaxRetryDelay);
    const std::string address = peer.node.address;
    feed::Link::Callbacks callbacks;
    callbacks.up = [this, address] {
        Peer& connected = this->find_or_add_peer(address);
        connected.retry_delay = kMinRetryDelay;
        if (connected.out) connected.out->send(own_hello());
        // A peer that has just started learns at once whether this node is shutting down or may vote.
        if (connected.out) connected.out->send(own_status());
        if (callbacks_.link_up) callbacks_.link_up(address);
        update_liveness();
    };
    callbacks.received = [this, address](feed::Message) {
        this->find_or_add_peer(address).out->end("received a message on a one-way link");
    };
    callbacks.ended = [this, address](const std::string& reason) { outgoing_ended(address, reason); };
    peer.out = network_.connect(address, 0, std::move(callbacks));
    if (peer.out) peer.out->start();
}

// The peer has just opened a link, so it is reachable: an attempt that was started while it was not would
// only run into its timeout.
void PeerMesh::connect_back(Peer& peer) {
    if (peer.out && peer.out->up()) return;
    if (peer.out) peer.out->end("connection attempt predates the peer's start");
    connect(peer);
}

void PeerMesh::outgoing_ended(const std::string& address, const std::string&) {
    Peer& peer = find_or_add_peer(address);
    free_link(reactor_, std::move(peer.out));
    peer.next_attempt = std::max(peer.next_attempt, reactor_.now() + kMinRetryDelay);
}

feed::PeerHello PeerMesh::own_hello() const {
    return {options_.self, options_.incarnation, callbacks_.term ? callbacks_.term() : 0, alive_peers()};
}

void PeerMesh::set_member(std::uint64_t member) {
    options_.self.member = member;
    std::vector<std::string> addresses;
    for (const auto& [address, peer] : peers_)
        if (peer.out) addresses.push_back(address);
    for (const std::string& address : addresses)
        if (Peer& peer = find_or_add_peer(address); peer.out) peer.out->end("this node has a new member id");
}

std::vector<model::ControlNode> PeerMesh::alive_peers() const {
    std::vector<model::ControlNode> nodes;
    for (const auto& [address, peer] : peers_)
        if (peer.alive) nodes.push_back(peer.node);
    return nodes;
}

void PeerMesh::accept(const feed::AcceptedLink& connection) {
    const std::uint64_t id = ++last_link_id_;
    feed::Link::Callbacks callbacks;
    callbacks.received = [this, id](feed::Message message) { received(id, std::move(message)); };
    callbacks.unreadable = [this](const Error& error) {
        ++(error.kind == ErrorKind::kOtherVersion ? rejected_messages_.other_version
                                                  : rejected_messages_.unreadable);
    };
    callbacks.ended = [this, id](const std::string&) {
        const auto found = incoming_.find(id);
        if (found == incoming_.end()) return;
        free_link(reactor_, std::move(found->second.link));
        incoming_.erase(found);
    };
    incoming_[id].id = id;
    incoming_[id].link = connection(2 * options_.peer_timeout, std::move(callbacks));
    incoming_.at(id).link->start();
}

void PeerMesh::received(std::uint64_t id, feed::Message message) {
    const auto found = incoming_.find(id);
    if (found == incoming_.end()) return;
    Incoming& incoming = found->second;
    if (const auto* hello = std::get_if<feed::PeerHello>(&message)) return handle_hello(incoming, *hello);
    if (incoming.address.empty()) {
        ++rejected_messages_.before_hello;
        return incoming.link->end("message before the hello");
    }
    Peer& sender = find_or_add_peer(incoming.address);
    if (sender.incarnation != incoming.incarnation) {
        ++rejected_messages_.former_process;
        return incoming.link->end("the sending process was replaced by another one");
    }
    sender.last_heard = reactor_.now();
    if (const auto* status = std::get_if<feed::PeerStatus>(&message)) handle_status(sender, *status);
    callbacks_.received(sender.node, std::move(message));
}

void PeerMesh::handle_hello(Incoming& incoming, const feed::PeerHello& message) {
    if (message.node.address == options_.self.address)
        return incoming.link->end("the peer claims this node's address");
    Peer& sender = find_or_add_peer(message.node.address);
    // Links are accepted in the order in which they were opened, so a hello that arrives over an older link
    // than that of another process is outdated.
    if (sender.incarnation != message.incarnation && incoming.id < sender.hello_link) {
        ++rejected_messages_.former_process;
        return incoming.link->end("the sending process was replaced by another one");
    }
    incoming.address = message.node.address, incoming.incarnation = message.incarnation;
    sender.hello_link = std::max(sender.hello_link, incoming.id);
    replaced_members_.erase(message.node.member);
    if (sender.node.member != 0 && sender.node.member != message.node.member) {
        replaced_members_[sender.node.member] = reactor_.now();
        log_line("peer_disk_replaced", {{"address", message.node.address}});
    }
    if (sender.incarnation != message.incarnation) {
        sender.ending = sender.ready = false, sender.sessions.clear();
        // The peer's side of the former link is gone, even if this side has not noticed yet.
        if (sender.out && sender.incarnation != 0) sender.out->end("the peer has restarted");
    }
    sender.node = message.node, sender.incarnation = message.incarnation;
    sender.last_heard = reactor_.now(), sender.next_attempt = std::min(sender.next_attempt, reactor_.now());
    sender.retry_delay = kMinRetryDelay;
    add_peers(message.known);
    connect_back(sender);
    update_liveness();
    if (callbacks_.peer_hello) callbacks_.peer_hello(sender.node, message.term);
}

void PeerMesh::handle_status(Peer& peer, const feed::PeerStatus& message) {
    peer.sessions = message.sessions;
    if (message.ending != peer.ending || message.ready != peer.ready) {
        peer.ending = message.ending, peer.ready = message.ready;
        if (callbacks_.peers_changed) callbacks_.peers_changed();
    }
    add_peers(message.known);
}

void PeerMesh::update_liveness() {
    bool changed = false;
    // After a suspension of this process, messages that arrived meanwhile have yet to be read.
    const bool was_suspended = reactor_.stalled_for() > options_.peer_timeout / 4;
    for (auto& [address, peer] : peers_) {
        const bool recently_heard =
            reactor_.now() - peer.last_heard < options_.peer_timeout && peer.node.member != 0;
        const bool alive = recently_heard && peer.out && peer.out->up();
        if (alive == peer.alive || (!alive && was_suspended)) continue;
        peer.alive = alive, peer.alive_since = reactor_.now();
        changed = true;
        log_line(alive ? "peer_up" : "peer_down", {{"address", address}});
    }
    if (changed && callbacks_.peers_changed) callbacks_.peers_changed();
}

void PeerMesh::tick() {
    std::vector<std::string> removed;
    for (auto& [address, peer] : peers_) {
        const Ticks silence = reactor_.now() - peer.last_heard;
        // A connection that stopped carrying data is closed: a new one succeeds as soon as the peer is
        // reachable, while the old one may stay stuck.
        if (peer.out && peer.out->up() && silence > options_.peer_timeout * 3 / 2)
            peer.out->end("peer is silent");
        if (peer.out && !peer.out->up() && reactor_.now() > peer.next_attempt + kConnectTimeout)
            peer.out->end("connect timeout");
        if (!peer.out && reactor_.now() >= peer.next_attempt) connect(peer);
        if (!peer.seed && silence > kForgetAfter) removed.push_back(address);
    }
    for (const std::string& address : removed) {
        free_link(reactor_, std::move(peers_.at(address).out));
        peers_.erase(address);
    }
    update_liveness();
    send_status();
    timer_ = reactor_.call_after(options_.status_interval, [this] { tick(); });
}

feed::PeerStatus PeerMesh::own_status() const {
    feed::PeerStatus message;
    message.known = alive_peers(), message.ending = shutting_down_, message.ready = ready_;
    callbacks_.fill_status(message);
    return message;
}

void PeerMesh::send_status() { send_to_all(own_status()); }

void PeerMesh::announce_shutdown() {
    shutting_down_ = true;
    send_status();
}

void PeerMesh::set_ready(bool ready) {
    if (std::exchange(ready_, ready) == ready) return;
    send_status();
}

bool PeerMesh::send(const std::string& address, const feed::Message& message) {
    const auto found = peers_.find(address);
    return found != peers_.end() && found->second.out && found->second.out->up() &&
           found->second.out->send(message);
}

bool PeerMesh::send_to_member(std::uint64_t member, const feed::Message& message) {
    const auto address = address_of(member);
    return address && send(*address, message);
}

void PeerMesh::send_to_all(const feed::Message& message) {
    const std::string frame = wire::frame(wire::to_bytes(message));
    std::vector<std::string> addresses;
    for (const auto& [address, peer] : peers_)
        if (peer.out && peer.out->up()) addresses.push_back(address);
    for (const std::string& address : addresses)
        if (Peer& peer = find_or_add_peer(address); peer.out) peer.out->send_frame(frame);
}

std::vector<model::ControlNode> PeerMesh::alive() const {
    std::vector<model::ControlNode> nodes;
    for (const auto& [address, peer] : peers_)
        if (peer.alive) nodes.push_back(peer.node);
    return nodes;
}

std::vector<consensus::MemberStatus> PeerMesh::member_statuses() const {
    std::vector<consensus::MemberStatus> statuses;
    const model::ControlNode& self = options_.self;
    statuses.push_back({{{self.member}, self.address, self.zone}, true, ready_, shutting_down_, 0});
    for (const auto& [address, peer] : peers_) {
        if (peer.node.member == 0) continue;
        const consensus::Member member{{peer.node.member}, address, peer.node.zone};
        statuses.push_back({member, peer.alive, peer.ready, peer.ending, peer.alive_since});
    }
    for (const auto& [member, since] : replaced_members_)
        statuses.push_back({{{member}, "", ""}, false, false, true, since});
    return statuses;
}

std::vector<model::EdgeNode> PeerMesh::sessions() const {
    std::vector<model::EdgeNode> nodes;
    for (const auto& [address, peer] : peers_)
        if (peer.alive) nodes.insert(nodes.end(), peer.sessions.begin(), peer.sessions.end());
    return nodes;
}

std::optional<std::string> PeerMesh::address_of(std::uint64_t member) const {
    for (const auto& [address, peer] : peers_)
        if (peer.node.member == member) return address;
    return std::nullopt;
}

} // namespace ivyrill::control
