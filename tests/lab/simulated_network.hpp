// Simulates machines in virtual time that run the programs' own code: each process has a reactor driven by
// the simulation, links to others over a simulated network, and a simulated disk. The network delays
// messages, cuts one or both directions, and, between control nodes, loses, duplicates and reorders messages.
// Machines are killed, lose power, freeze and continue. A run is determined by its seed.
#pragma once
#include "base/pcg.hpp"
#include "control/state_file.hpp"
#include "feed/link.hpp"
#include "transport/reactor.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <tuple>
#include <vector>

namespace ivyrill::lab {

// Number of a machine, from 0; its address is 10.0.0.(number + 1).
using MachineNumber = int;

struct MessageFaults { // probabilities per message between control nodes
    double lost = 0, doubled = 0, late = 0;
};

// The state that a disk holds under one kind; see control::StateFile.
struct StoredValue {
    std::optional<std::string> durable, one_before;
    std::optional<std::string> writing; // not yet durable
    bool is_corrupt = false;            // the newest file is unreadable
};

struct SimulatedDisk {
    std::map<std::string, StoredValue> values;
    Ticks stalled_until = 0, full_until = 0;
    Ticks sync = 10;
};

class SimulatedNetwork {
  public:
    explicit SimulatedNetwork(std::uint64_t seed);
    ~SimulatedNetwork();
    SimulatedNetwork(const SimulatedNetwork&) = delete;
    SimulatedNetwork& operator=(const SimulatedNetwork&) = delete;

    Ticks now() const { return now_; }
    Pcg& random() { return random_; }
    bool chance(double share) { return random_.unit() < share; }
    Ticks between(Ticks least, Ticks most);
    int any(int count) { return static_cast<int>(random_.next() % static_cast<std::uint32_t>(count)); }

    void schedule(Ticks at, std::function<void()> act);
    void run_for(Ticks span);
    bool run_until(const std::function<bool()>& holds, Ticks limit); // returns whether the condition was met

    MachineNumber add_machine();
    static std::string ip_of(MachineNumber machine);
    // `open` starts the process on a new reactor; `close` destroys what it created before the reactor ends.
    void start(MachineNumber machine, const std::function<void(transport::Reactor&)>& open,
               std::function<void()> close);
    void kill(MachineNumber machine); // keeps the disk's contents
    void power_off(MachineNumber machine);
    void freeze(MachineNumber machine, Ticks until);
    bool is_up(MachineNumber machine) const;
    bool is_frozen(MachineNumber machine) const;
    int incarnation(MachineNumber machine) const;
    transport::Reactor& reactor(MachineNumber machine); // of its process, which must be running
    // Runs in the process of a machine as an event; delayed while the machine is frozen, and dropped if this
    // process has ended by then.
    void run_on(MachineNumber machine, std::function<void()> act);

    void cut(MachineNumber from, MachineNumber to, bool is_cut = true); // one way; cuts are counted
    bool reaches(MachineNumber from, MachineNumber to) const;
    void set_message_faults(const MessageFaults& faults) { faults_ = faults; }
    Ticks& most_delay() { return most_delay_; }
    // Holds back the messages that a test selects, until they are released.
    std::function<bool(MachineNumber from, MachineNumber to, const feed::Message&)> held_back;
    void release();
    // Called with each message of a link just before delivery.
    std::function<void(MachineNumber from, MachineNumber to, const feed::Message&)> watched;

    SimulatedDisk& disk(MachineNumber machine);
    const SimulatedDisk& disk(MachineNumber machine) const;
    std::unique_ptr<control::StateFile> open_file(MachineNumber machine, const std::string& kind);
    feed::LinkNetwork& links(MachineNumber machine);

  private:
    class MachineLinks;
    class SimulatedLink;
    class SimulatedListener;
    class SimulatedFile;
    struct Connection;
    struct Machine;
    struct Event {
        Ticks at = 0;
        std::uint64_t order = 0;
        std::function<void()> act;
        bool operator<(const Event& other) const {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };
    enum class PacketKind : std::uint8_t { kOpen, kOpened, kMessage, kClosed };
    struct Packet {
        PacketKind kind = PacketKind::kMessage;
        std::shared_ptr<const feed::Message> message;
    };

    Machine& at(MachineNumber machine) { return *machines_[static_cast<std::size_t>(machine)]; }
    const Machine& at(MachineNumber machine) const { return *machines_[static_cast<std::size_t>(machine)]; }
    bool step(Ticks until);
    void end_process(MachineNumber machine, bool notifies_peers);
    void turn(MachineNumber machine, const std::function<void()>& act);
    void plan_wake(MachineNumber machine);
    std::optional<MachineNumber> machine_at(const std::string& address) const;
    Ticks delay();
    // Sent on a connection by one of its sides (0: the one that opened it) to the other.
    void send(const std::shared_ptr<Connection>& connection, int side, Packet packet);
    void travel(const std::shared_ptr<Connection>& connection, int side, Packet packet, Ticks at,
                bool in_order);
    void arrive(const std::shared_ptr<Connection>& connection, int side, const Packet& packet);
    void hold(const std::shared_ptr<Connection>& connection, int side, const Packet& packet);
    void send_again(const std::shared_ptr<Connection>& connection, int side);
    void receive(const std::shared_ptr<Connection>& connection, int side, const Packet& packet);
    void reset(const std::shared_ptr<Connection>& connection, int side);
    void open_at(const std::shared_ptr<Connection>& connection);
    void deliver_message(const std::shared_ptr<Connection>& connection, int side, const Packet& packet);
    bool is_peer_connection(const Connection& connection) const;

    Pcg random_;
    Ticks now_ = 0;
    std::uint64_t order_ = 0;
    std::priority_queue<Event> events_;
    std::vector<std::unique_ptr<Machine>> machines_;
    std::map<std::pair<MachineNumber, MachineNumber>, int> cut_;
    MessageFaults faults_;
    Ticks most_delay_ = 15;
    std::vector<std::function<void()>> held_;
};

} // namespace ivyrill::lab
