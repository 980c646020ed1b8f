// The links between control nodes: discovery of peers, their liveness, and messages to them. Every node sends
// only over links that it opened and receives only over links that peers opened; a peer is alive only if both
// directions work.
#pragma once
#include "consensus/replica.hpp"
#include "feed/link.hpp"
#include "feed/messages.hpp"
#include "transport/reactor.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ivyrill::control {

class PeerMesh {
  public:
    struct Options {
        model::ControlNode self;
        std::uint64_t incarnation = 0;
        std::vector<std::string> seeds; // addresses of peers
        Ticks status_interval = 2500;
        Ticks peer_timeout = 10'000; // a peer not heard from for this long is not alive
    };
    struct Callbacks {
        std::function<void(const model::ControlNode&, feed::Message)> received;
        std::function<void()> peers_changed;                // a peer has become alive or is no longer alive
        std::function<void(feed::PeerStatus&)> fill_status; // adds this node's data to its status
        std::function<std::uint64_t()> term;                // sent with each hello
        std::function<void(const model::ControlNode&, std::uint64_t term)>
            peer_hello; // a peer's hello has arrived
        // This node's link to the peer is up. Messages sent over an earlier link may be lost.
        std::function<void(const std::string& address)> link_up;
    };
    PeerMesh(transport::Reactor& reactor, feed::LinkNetwork& network, Options options, Callbacks callbacks);
    ~PeerMesh();

    void start();
    void accept(const feed::AcceptedLink& connection); // a link that a peer has opened
    void set_member(std::uint64_t member); // changes this node's member id; reconnects to all peers
    bool send(const std::string& address, const feed::Message& message); // returns false if the link is down
    bool send_to_member(std::uint64_t member, const feed::Message& message);
    void send_to_all(const feed::Message& message);
    void add_peer(const model::ControlNode& node); // known from elsewhere, e.g. from the list of voters
    void announce_shutdown();                      // sends a status at once
    void set_ready(bool ready); // whether this node may become a voter; sends a status at once if changed

    std::vector<model::ControlNode> alive() const;                // without this node
    std::vector<consensus::MemberStatus> member_statuses() const; // includes this node
    std::vector<model::EdgeNode> sessions() const;                // of live peers, as reported by them
    std::optional<std::string> address_of(std::uint64_t member) const;
    struct RejectedMessages {            // messages that caused the link to be closed, by cause
        std::uint64_t unreadable = 0;    // invalid frame or message
        std::uint64_t other_version = 0; // of the protocol
        std::uint64_t before_hello = 0;
        std::uint64_t former_process = 0; // of a process that was replaced by another at its address
    };
    const RejectedMessages& rejected_messages() const { return rejected_messages_; }

  private:
    struct Peer {
        model::ControlNode node; // member is 0 while unknown
        std::uint64_t incarnation = 0;
        std::unique_ptr<feed::Link> out;
        Ticks last_heard = 0, next_attempt = 0, first_known = 0, alive_since = 0;
        bool alive = false, ending = false, ready = false, seed = false;
        std::vector<model::EdgeNode> sessions;
        Ticks retry_delay = 0;
        std::uint64_t hello_link = 0; // the newest incoming link over which its hello came
    };
    struct Incoming {
        std::unique_ptr<feed::Link> link;
        std::uint64_t id = 0;          // increases with each accepted link
        std::string address;           // empty until its hello
        std::uint64_t incarnation = 0; // of the process that sent the hello
    };
    Peer& find_or_add_peer(const std::string& address);
    void connect(Peer& peer);
    void connect_back(Peer& peer);
    void outgoing_ended(const std::string& address, const std::string& reason);
    void received(std::uint64_t id, feed::Message message);
    void handle_hello(Incoming& incoming, const feed::PeerHello& message);
    void handle_status(Peer& peer, const feed::PeerStatus& message);
    void add_peers(const std::vector<model::ControlNode>& nodes);
    void tick();
    void send_status();
    void update_liveness();
    feed::PeerHello own_hello() const;
    feed::PeerStatus own_status() const;
    std::vector<model::ControlNode> alive_peers() const;

    transport::Reactor& reactor_;
    feed::LinkNetwork& network_;
    Options options_;
    Callbacks callbacks_;
    std::map<std::string, Peer> peers_; // by address
    std::map<std::uint64_t, Incoming> incoming_;
    std::map<std::uint64_t, Ticks>
        replaced_members_; // members whose address another member uses now, and since when
    std::uint64_t last_link_id_ = 0;
    RejectedMessages rejected_messages_;
    bool shutting_down_ = false, ready_ = false;
    transport::Reactor::TimerId timer_{};
};

} // namespace ivyrill::control
