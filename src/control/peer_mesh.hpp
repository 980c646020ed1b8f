// The links between control nodes: who they are, which of them are there, and messages to each. Every node
// sends over the links that it opened and hears over those that others opened, so a link that works one way
// only counts as none.
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
        Tenths status_interval = 2500;
        Tenths silence = 10'000; // after which a peer counts as not alive
    };
    struct Callbacks {
        std::function<void(const model::ControlNode&, feed::Message)> received;
        std::function<void()> peers_changed;                // one is alive that was not, or the reverse
        std::function<void(feed::PeerStatus&)> fill_status; // what this node tells its peers
        std::function<std::uint64_t()> term;                // told with each hello
        std::function<void(const model::ControlNode&, std::uint64_t term)>
            peer_hello; // a peer has said hello
        // This node's link to the peer is up: what went over a former one may be lost.
        std::function<void(const std::string& address)> link_up;
    };
    PeerMesh(transport::Reactor& reactor, feed::LinkNetwork& network, Options options, Callbacks callbacks);
    ~PeerMesh();

    void start();
    void accept(const feed::AcceptedLink& connection); // that a peer has opened
    void set_member(std::uint64_t member);             // this node's disk is another one: told to all anew
    bool send(const std::string& address, const feed::Message& message); // false where no link stands
    bool send_to_member(std::uint64_t member, const feed::Message& message);
    void send_to_all(const feed::Message& message);
    void add_peer(const model::ControlNode& node); // from elsewhere, e.g. the list of voters
    void announce_shutdown();                      // told with the next status, which goes at once
    void set_ready(bool ready);                    // likewise: whether it may become a voter

    std::vector<model::ControlNode> alive() const;                // without this node
    std::vector<consensus::MemberStatus> member_statuses() const; // with this node
    std::vector<model::EdgeNode> sessions() const;                // of peers that are alive, as they told
    std::optional<std::string> address_of(std::uint64_t member) const;
    struct RejectedMessages {            // messages that ended the link they came over, by cause
        std::uint64_t unreadable = 0;    // no frame, or no message
        std::uint64_t other_version = 0; // of the protocol
        std::uint64_t before_hello = 0;
        std::uint64_t former_process = 0; // of a process that another one has followed at its address
    };
    const RejectedMessages& rejected_messages() const { return rejected_messages_; }

  private:
    struct Peer {
        model::ControlNode node; // member 0 while unknown
        std::uint64_t incarnation = 0;
        std::unique_ptr<feed::Link> out;
        Tenths last_heard = 0, next_try = 0, first_known = 0, alive_since = 0;
        bool alive = false, ending = false, ready = false, seed = false;
        std::vector<model::EdgeNode> sessions;
        Tenths pause = 0;
        std::uint64_t hello_link = 0; // the newest incoming link over which it said hello
    };
    struct Incoming {
        std::unique_ptr<feed::Link> link;
        std::uint64_t id = 0;          // rises with each link that is taken
        std::string address;           // empty until it has said hello
        std::uint64_t incarnation = 0; // of the process that said it
    };
    Peer& peer(const std::string& address);
    void connect(Peer& peer);
    void connect_to_caller(Peer& peer);
    void out_ended(const std::string& address, const std::string& reason);
    void received(std::uint64_t id, feed::Message message);
    void hello(Incoming& incoming, const feed::PeerHello& message);
    void status(Peer& peer, const feed::PeerStatus& message);
    void add_peers(const std::vector<model::ControlNode>& nodes);
    void tick();
    void send_status();
    void refresh();
    feed::PeerHello own_hello() const;
    feed::PeerStatus own_status() const;
    std::vector<model::ControlNode> known() const;

    transport::Reactor& reactor_;
    feed::LinkNetwork& network_;
    Options options_;
    Callbacks callbacks_;
    std::map<std::string, Peer> peers_; // by address
    std::map<std::uint64_t, Incoming> incoming_;
    std::map<std::uint64_t, Tenths> replaced_; // disks whose address another disk holds now
    std::uint64_t count_ = 0;
    RejectedMessages rejected_messages_;
    bool ending_ = false, ready_ = false;
    transport::Reactor::TimerId timer_{};
};

} // namespace ivyrill::control
