#include "control/peer_mesh.hpp"

#include "base/log.hpp"
#include "wire/cbor.hpp"
#include "wire/frame.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace ivyrill::control {

namespace {

constexpr Tenths kFirstPause = 1000, kLongestPause = 10'000; // between tries to connect
constexpr Tenths kConnectPatience = 5000;
constexpr Tenths kForgetAfter = 300'000; // what is no seed and was silent for so long is no longer tried

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
        if (seed != options_.self.address) peer(seed).seed = true;
    tick();
}

PeerMesh::Peer& PeerMesh::peer(const std::string& address) {
    const auto [place, fresh] = peers_.try_emplace(address);
    if (fresh) {
        place->second.node.address = address;
        place->second.first_known = place->second.last_heard = place->second.alive_since = reactor_.now();
        place->second.pause = kFirstPause;
    }
    return place->second;
}

void PeerMesh::add_peer(const model::ControlNode& node) {
    if (node.address != options_.self.address && !node.address.empty()) peer(node.address);
}

void PeerMesh::add_peers(const std::vector<model::ControlNode>& nodes) {
    for (const model::ControlNode& node : nodes) add_peer(node);
}

void PeerMesh::connect(Peer& peer) {
    peer.next_try = reactor_.now() + peer.pause;
    peer.pause = std::min(peer.pause * 2, kLongestPause);
    const std::string address = peer.node.address;
    feed::Link::Callbacks callbacks;
    callbacks.up = [this, address] {
        Peer& here = this->peer(address);
        here.pause = kFirstPause;
        if (here.out) here.out->send(own_hello());
        // Whoever has just started learns at once that this node is about to end, or may vote.
        if (here.out) here.out->send(own_status());
        if (callbacks_.link_up) callbacks_.link_up(address);
        refresh();
    };
    callbacks.received = [this, address](feed::Message) {
        this->peer(address).out->end("spoke on a one-way link");
    };
    callbacks.ended = [this, address](const std::string& reason) { out_ended(address, reason); };
    peer.out = network_.connect(address, 0, std::move(callbacks));
    if (peer.out) peer.out->start();
}

// It has just opened a link, so it can be reached: a connection that was begun while it could not would wait
// for its time to run out.
void PeerMesh::connect_to_caller(Peer& peer) {
    if (peer.out && peer.out->up()) return;
    if (peer.out) peer.out->end("begun before the peer was there");
    connect(peer);
}

void PeerMesh::out_ended(const std::string& address, const std::string&) {
    Peer& here = peer(address);
    free_link(reactor_, std::move(here.out));
    here.next_try = std::max(here.next_try, reactor_.now() + kFirstPause);
}

feed::PeerHello PeerMesh::own_hello() const {
    return {options_.self, options_.incarnation, callbacks_.term ? callbacks_.term() : 0, known()};
}

void PeerMesh::set_member(std::uint64_t member) {
    options_.self.member = member;
    std::vector<std::string> addresses;
    for (const auto& [address, peer] : peers_)
        if (peer.out) addresses.push_back(address);
    for (const std::string& address : addresses)
        if (Peer& here = peer(address); here.out) here.out->end("this node's disk is another one");
}

std::vector<model::ControlNode> PeerMesh::known() const {
    std::vector<model::ControlNode> nodes;
    for (const auto& [address, peer] : peers_)
        if (peer.alive) nodes.push_back(peer.node);
    return nodes;
}

void PeerMesh::accept(const feed::AcceptedLink& connection) {
    const std::uint64_t id = ++count_;
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
    incoming_[id].link = connection(2 * options_.silence, std::move(callbacks));
    incoming_.at(id).link->start();
}

void PeerMesh::received(std::uint64_t id, feed::Message message) {
    const auto found = incoming_.find(id);
    if (found == incoming_.end()) return;
    Incoming& incoming = found->second;
    if (const auto* said = std::get_if<feed::PeerHello>(&message)) return hello(incoming, *said);
    if (incoming.address.empty()) {
        ++rejected_messages_.before_hello;
        return incoming.link->end("spoke before its hello");
    }
    Peer& here = peer(incoming.address);
    if (here.incarnation != incoming.incarnation) {
        ++rejected_messages_.former_process;
        return incoming.link->end("its process was followed by another one");
    }
    here.last_heard = reactor_.now();
    if (const auto* said = std::get_if<feed::PeerStatus>(&message)) status(here, *said);
    callbacks_.received(here.node, std::move(message));
}

void PeerMesh::hello(Incoming& incoming, const feed::PeerHello& message) {
    if (message.node.address == options_.self.address)
        return incoming.link->end("it bears this node's address");
    Peer& here = peer(message.node.address);
    // Links are taken in the order in which they were opened: a hello that was on its way for longer than the
    // one of the next process is an old one.
    if (here.incarnation != message.incarnation && incoming.id < here.hello_link) {
        ++rejected_messages_.former_process;
        return incoming.link->end("its process was followed by another one");
    }
    incoming.address = message.node.address, incoming.incarnation = message.incarnation;
    here.hello_link = std::max(here.hello_link, incoming.id);
    replaced_.erase(message.node.member);
    if (here.node.member != 0 && here.node.member != message.node.member) {
        replaced_[here.node.member] = reactor_.now();
        log_line("peer_disk_replaced", {{"address", message.node.address}});
    }
    if (here.incarnation != message.incarnation) {
        here.ending = here.ready = false, here.sessions.clear();
        // Its end of an older link is gone, whatever this node's end knows.
        if (here.out && here.incarnation != 0) here.out->end("peer started anew");
    }
    here.node = message.node, here.incarnation = message.incarnation;
    here.last_heard = reactor_.now(), here.next_try = std::min(here.next_try, reactor_.now());
    here.pause = kFirstPause;
    add_peers(message.known);
    connect_to_caller(here);
    refresh();
    if (callbacks_.peer_hello) callbacks_.peer_hello(here.node, message.term);
}

void PeerMesh::status(Peer& peer, const feed::PeerStatus& message) {
    peer.sessions = message.sessions;
    if (message.ending != peer.ending || message.ready != peer.ready) {
        peer.ending = message.ending, peer.ready = message.ready;
        if (callbacks_.peers_changed) callbacks_.peers_changed();
    }
    add_peers(message.known);
}

void PeerMesh::refresh() {
    bool changed = false;
    // After a pause of this process itself, what peers sent meanwhile has yet to be read.
    const bool paused = reactor_.overslept() > options_.silence / 4;
    for (auto& [address, peer] : peers_) {
        const bool heard = reactor_.now() - peer.last_heard < options_.silence && peer.node.member != 0;
        const bool alive = heard && peer.out && peer.out->up();
        if (alive == peer.alive || (!alive && paused)) continue;
        peer.alive = alive, peer.alive_since = reactor_.now();
        changed = true;
        log_line(alive ? "peer_up" : "peer_down", {{"address", address}});
    }
    if (changed && callbacks_.peers_changed) callbacks_.peers_changed();
}

void PeerMesh::tick() {
    std::vector<std::string> forgotten;
    for (auto& [address, peer] : peers_) {
        const Tenths silent = reactor_.now() - peer.last_heard;
        // A connection that stopped carrying bytes is given up: a fresh one comes through at once when it
        // can.
        if (peer.out && peer.out->up() && silent > options_.silence * 3 / 2) peer.out->end("peer is silent");
        if (peer.out && !peer.out->up() && reactor_.now() > peer.next_try + kConnectPatience)
            peer.out->end("no connection in time");
        if (!peer.out && reactor_.now() >= peer.next_try) connect(peer);
        if (!peer.seed && silent > kForgetAfter) forgotten.push_back(address);
    }
    for (const std::string& address : forgotten) {
        free_link(reactor_, std::move(peers_.at(address).out));
        peers_.erase(address);
    }
    refresh();
    send_status();
    timer_ = reactor_.call_after(options_.status_interval, [this] { tick(); });
}

feed::PeerStatus PeerMesh::own_status() const {
    feed::PeerStatus message;
    message.known = known(), message.ending = ending_, message.ready = ready_;
    callbacks_.fill_status(message);
    return message;
}

void PeerMesh::send_status() { send_to_all(own_status()); }

void PeerMesh::announce_shutdown() {
    ending_ = true;
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
        if (Peer& here = peer(address); here.out) here.out->send_frame(frame);
}

std::vector<model::ControlNode> PeerMesh::alive() const {
    std::vector<model::ControlNode> nodes;
    for (const auto& [address, peer] : peers_)
        if (peer.alive) nodes.push_back(peer.node);
    return nodes;
}

std::vector<consensus::MemberStatus> PeerMesh::member_statuses() const {
    std::vector<consensus::MemberStatus> candidates;
    const model::ControlNode& self = options_.self;
    candidates.push_back({{{self.member}, self.address, self.zone}, true, ready_, ending_, 0});
    for (const auto& [address, peer] : peers_) {
        if (peer.node.member == 0) continue;
        const consensus::Member member{{peer.node.member}, address, peer.node.zone};
        candidates.push_back({member, peer.alive, peer.ready, peer.ending, peer.alive_since});
    }
    for (const auto& [member, since] : replaced_)
        candidates.push_back({{{member}, "", ""}, false, false, true, since});
    return candidates;
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
