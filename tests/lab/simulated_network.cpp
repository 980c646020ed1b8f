#include "lab/simulated_network.hpp"

#include "wire/cbor.hpp"
#include "wire/frame.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace ivyrill::lab {

namespace {

constexpr Ticks kStart = 1'000'000'000; // far from 0, like real clocks
constexpr Ticks kLeastDelay = 5;
constexpr Ticks kMostLate = 3000;
constexpr Ticks kResendInterval = 500; // of messages delayed by a cut
const std::string kPeerPort = ":7300"; // of links between control nodes

feed::Message message_of(const std::string& frame) {
    wire::FrameReader reader;
    reader.feed(frame);
    return std::move(wire::from_bytes<feed::Message>(reader.take()).value());
}

} // namespace

struct SimulatedNetwork::Connection {
    std::array<MachineNumber, 2> machines{};
    std::array<int, 2> incarnations{};
    std::array<SimulatedLink*, 2> links{};
    std::array<Ticks, 2> last_arrival{};    // delivery time of each side's last message, to keep the order
    std::array<std::deque<Packet>, 2> held; // each side's messages delayed by a cut
    std::string address;
};

class SimulatedNetwork::SimulatedLink : public feed::Link {
  public:
    SimulatedLink(SimulatedNetwork& network, std::shared_ptr<Connection> connection, int side, Ticks silence,
                  Callbacks callbacks)
        : network_(network), connection_(std::move(connection)), side_(side), silence_(silence),
          callbacks_(std::move(callbacks)), up_(side == 1) {
        connection_->links[static_cast<std::size_t>(side_)] = this;
    }
    ~SimulatedLink() override {
        connection_->links[static_cast<std::size_t>(side_)] = nullptr;
        reactor().cancel(timer_);
        if (!ended_) network_.send(connection_, side_, {PacketKind::kClosed, nullptr});
    }
    void start() override {
        last_heard_ = network_.now();
        if (side_ == 0) network_.send(connection_, side_, {PacketKind::kOpen, nullptr});
        check_silence();
    }
    bool up() const override { return up_ && !ended_; }
    bool send(const feed::Message& message) override {
        if (ended_) return false;
        network_.send(connection_, side_,
                      {PacketKind::kMessage, std::make_shared<const feed::Message>(message)});
        return true;
    }
    bool send_frame(const std::string& frame) override { return send(message_of(frame)); }
    void end(const std::string& reason) override {
        if (std::exchange(ended_, true)) return;
        network_.send(connection_, side_, {PacketKind::kClosed, nullptr});
        const auto ended = callbacks_.ended;
        if (ended) ended(reason);
    }
    void closed() {
        if (std::exchange(ended_, true)) return;
        const auto ended = callbacks_.ended;
        if (ended) ended("closed");
    }
    void opened() {
        up_ = true, last_heard_ = network_.now();
        if (callbacks_.up) callbacks_.up();
    }
    void received(feed::Message message) {
        last_heard_ = network_.now();
        if (!ended_) callbacks_.received(std::move(message));
    }

  private:
    transport::Reactor& reactor();
    void check_silence() {
        if (silence_ <= 0 || ended_) return;
        timer_ = reactor().call_after(silence_ / 4, [this] { check_silence(); });
        if (network_.now() - last_heard_ >= silence_) end("silent");
    }

    SimulatedNetwork& network_;
    std::shared_ptr<Connection> connection_;
    int side_;
    Ticks silence_, last_heard_ = 0;
    Callbacks callbacks_;
    bool up_, ended_ = false;
    transport::Reactor::TimerId timer_{};
};

class SimulatedNetwork::SimulatedListener : public feed::LinkListener {
  public:
    SimulatedListener(std::map<std::string, std::function<void(feed::AcceptedLink)>>& listeners,
                      std::string address)
        : listeners_(listeners), address_(std::move(address)) {}
    ~SimulatedListener() override { listeners_.erase(address_); }

  private:
    std::map<std::string, std::function<void(feed::AcceptedLink)>>& listeners_;
    std::string address_;
};

class SimulatedNetwork::MachineLinks : public feed::LinkNetwork {
  public:
    MachineLinks(SimulatedNetwork& network, MachineNumber machine) : network_(network), machine_(machine) {}
    std::unique_ptr<feed::Link> connect(const std::string& address, Ticks silence,
                                        feed::Link::Callbacks callbacks) override;
    std::unique_ptr<feed::LinkListener> listen(const std::string& address,
                                               std::function<void(feed::AcceptedLink)> accepted) override;
    std::map<std::string, std::function<void(feed::AcceptedLink)>> listeners;

  private:
    SimulatedNetwork& network_;
    MachineNumber machine_;
};

struct SimulatedNetwork::Machine {
    std::string ip;
    int incarnation = 0;
    std::unique_ptr<transport::Reactor> reactor; // null while it is down
    std::function<void()> close;
    std::unique_ptr<MachineLinks> links;
    Ticks frozen_until = 0, frozen_since = 0, wake_at = transport::Reactor::kNever;
    bool is_turning = false;
    std::vector<std::shared_ptr<Connection>> connections;
    std::deque<std::function<void()>> waiting; // while it is frozen
    SimulatedDisk disk;
};

class SimulatedNetwork::SimulatedFile : public control::StateFile {
  public:
    SimulatedFile(SimulatedNetwork& network, MachineNumber machine, std::string kind)
        : network_(network), machine_(machine), incarnation_(network.incarnation(machine)),
          kind_(std::move(kind)) {}
    Result<Loaded> load() override {
        const StoredValue& value = stored();
        return Loaded{value.is_corrupt ? value.one_before : value.durable, value.is_corrupt};
    }
    void save(std::string bytes, std::function<void(Result<void>)> done) override {
        jobs_.push_back({std::move(bytes), std::move(done)});
        if (jobs_.size() == 1) begin();
    }

  private:
    struct Job {
        std::string bytes;
        std::function<void(Result<void>)> done;
    };
    StoredValue& stored() { return network_.disk(machine_).values[kind_]; }
    void begin() {
        SimulatedDisk& disk = network_.disk(machine_);
        if (network_.now() >= disk.full_until) stored().writing = jobs_.front().bytes;
        try_finish(network_.now() + disk.sync + network_.between(0, disk.sync));
    }
    void try_finish(Ticks at) {
        network_.schedule(at, [this, incarnation = incarnation_, machine = machine_, &network = network_] {
            if (!network.is_up(machine) || network.incarnation(machine) != incarnation) return;
            const Ticks stalled = network.disk(machine).stalled_until;
            if (stalled > network.now()) return try_finish(stalled);
            network.run_on(machine, [this] { finish(); });
        });
    }
    void finish() {
        const Job job = std::move(jobs_.front());
        jobs_.pop_front();
        StoredValue& value = stored();
        const bool is_written = value.writing.has_value();
        if (is_written) {
            value.one_before = std::exchange(value.durable, std::exchange(value.writing, std::nullopt));
            value.is_corrupt = false;
        }
        if (!jobs_.empty()) begin();
        if (is_written)
            job.done(boost::outcome_v2::success());
        else
            job.done(error(ErrorKind::kStorage, "the disk is full: free space on it"));
    }

    SimulatedNetwork& network_;
    MachineNumber machine_;
    int incarnation_;
    std::string kind_;
    std::deque<Job> jobs_;
};

transport::Reactor& SimulatedNetwork::SimulatedLink::reactor() {
    return *network_.at(connection_->machines[static_cast<std::size_t>(side_)]).reactor;
}

std::unique_ptr<feed::Link> SimulatedNetwork::MachineLinks::connect(const std::string& address, Ticks silence,
                                                                    feed::Link::Callbacks callbacks) {
    auto connection = std::make_shared<Connection>();
    const auto target = network_.machine_at(address);
    connection->machines = {machine_, target.value_or(-1)};
    connection->incarnations = {network_.incarnation(machine_), -1};
    connection->address = address;
    auto& connections = network_.at(machine_).connections;
    std::erase_if(connections, [](const auto& old) { return !old->links[0] && !old->links[1]; });
    connections.push_back(connection);
    return std::make_unique<SimulatedLink>(network_, std::move(connection), 0, silence, std::move(callbacks));
}

std::unique_ptr<feed::LinkListener>
SimulatedNetwork::MachineLinks::listen(const std::string& address,
                                       std::function<void(feed::AcceptedLink)> accepted) {
    listeners[address] = std::move(accepted);
    return std::make_unique<SimulatedListener>(listeners, address);
}

SimulatedNetwork::SimulatedNetwork(std::uint64_t seed) : random_(seed), now_(kStart) {}

SimulatedNetwork::~SimulatedNetwork() {
    for (std::size_t i = 0; i < machines_.size(); ++i) end_process(static_cast<MachineNumber>(i), false);
}

Ticks SimulatedNetwork::between(Ticks least, Ticks most) {
    return least + static_cast<Ticks>(random_.unit() * static_cast<double>(most - least + 1));
}

Ticks SimulatedNetwork::delay() { return between(kLeastDelay, most_delay_); }

void SimulatedNetwork::schedule(Ticks at, std::function<void()> act) {
    events_.push({std::max(at, now_), ++order_, std::move(act)});
}

bool SimulatedNetwork::step(Ticks until) {
    if (events_.empty() || events_.top().at > until) return false;
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.act();
    return true;
}

void SimulatedNetwork::run_for(Ticks span) {
    const Ticks until = now_ + span;
    while (step(until)) {}
    now_ = until;
}

bool SimulatedNetwork::run_until(const std::function<bool()>& holds, Ticks limit) {
    const Ticks until = now_ + limit;
    while (!holds())
        if (!step(until)) return false;
    return true;
}

std::string SimulatedNetwork::ip_of(MachineNumber machine) { return "10.0.0." + std::to_string(machine + 1); }

MachineNumber SimulatedNetwork::add_machine() {
    const auto number = static_cast<MachineNumber>(machines_.size());
    machines_.push_back(std::make_unique<Machine>());
    machines_.back()->ip = ip_of(number);
    machines_.back()->links = std::make_unique<MachineLinks>(*this, number);
    return number;
}

std::optional<MachineNumber> SimulatedNetwork::machine_at(const std::string& address) const {
    const std::string ip = address.substr(0, address.rfind(':'));
    for (std::size_t i = 0; i < machines_.size(); ++i)
        if (machines_[i]->ip == ip) return static_cast<MachineNumber>(i);
    return std::nullopt;
}

feed::LinkNetwork& SimulatedNetwork::links(MachineNumber machine) { return *at(machine).links; }
SimulatedDisk& SimulatedNetwork::disk(MachineNumber machine) { return at(machine).disk; }
const SimulatedDisk& SimulatedNetwork::disk(MachineNumber machine) const { return at(machine).disk; }

std::unique_ptr<control::StateFile> SimulatedNetwork::open_file(MachineNumber machine,
                                                                const std::string& kind) {
    return std::make_unique<SimulatedFile>(*this, machine, kind);
}

bool SimulatedNetwork::is_up(MachineNumber machine) const { return at(machine).reactor != nullptr; }
bool SimulatedNetwork::is_frozen(MachineNumber machine) const { return at(machine).frozen_until > now_; }
transport::Reactor& SimulatedNetwork::reactor(MachineNumber machine) { return *at(machine).reactor; }
int SimulatedNetwork::incarnation(MachineNumber machine) const { return at(machine).incarnation; }

void SimulatedNetwork::start(MachineNumber machine, const std::function<void(transport::Reactor&)>& open,
                             std::function<void()> close) {
    Machine& here = at(machine);
    if (here.reactor) return;
    ++here.incarnation;
    here.frozen_until = 0;
    here.reactor = std::make_unique<transport::Reactor>(now_);
    here.close = std::move(close);
    turn(machine, [&] { open(*here.reactor); });
}

void SimulatedNetwork::kill(MachineNumber machine) { end_process(machine, true); }

// Each file that was being written is present or not, independently.
void SimulatedNetwork::power_off(MachineNumber machine) { end_process(machine, false); }

void SimulatedNetwork::end_process(MachineNumber machine, bool notifies_peers) {
    Machine& here = at(machine);
    if (!here.reactor) return;
    for (const auto& connection : std::exchange(here.connections, {})) {
        const int side = connection->machines[0] == machine ? 0 : 1;
        if (notifies_peers) send(connection, side, {PacketKind::kClosed, nullptr});
    }
    ++here.incarnation; // messages that links send on destruction are dropped
    here.close();
    here.close = {};
    here.reactor.reset();
    here.wake_at = transport::Reactor::kNever;
    here.waiting.clear();
    for (auto& [kind, value] : here.disk.values) {
        if (value.writing && chance(0.5)) {
            value.one_before = std::exchange(value.durable, value.writing);
            value.is_corrupt = false;
        }
        value.writing.reset();
    }
}

void SimulatedNetwork::freeze(MachineNumber machine, Ticks until) {
    Machine& here = at(machine);
    if (!here.reactor) return;
    if (here.frozen_until <= now_) here.frozen_since = now_;
    here.frozen_until = std::max(here.frozen_until, until);
    const int incarnation = here.incarnation;
    schedule(here.frozen_until, [this, machine, incarnation] {
        Machine& thawed = at(machine);
        if (!thawed.reactor || thawed.incarnation != incarnation || is_frozen(machine)) return;
        thawed.reactor->turn(now_, now_ - thawed.frozen_since);
        turn(machine, [] {});
        for (const auto& act : std::exchange(thawed.waiting, {}))
            if (thawed.reactor && thawed.incarnation == incarnation) turn(machine, act);
    });
}

void SimulatedNetwork::turn(MachineNumber machine, const std::function<void()>& act) {
    Machine& here = at(machine);
    here.is_turning = true;
    if (here.reactor->next_turn() <= now_ || here.reactor->now() != now_) here.reactor->turn(now_, 0);
    act();
    while (here.reactor->next_turn() <= now_) here.reactor->turn(now_, 0);
    here.is_turning = false;
    if (here.reactor->stopped()) return end_process(machine, true);
    plan_wake(machine);
}

void SimulatedNetwork::plan_wake(MachineNumber machine) {
    Machine& here = at(machine);
    const Ticks next = here.reactor->next_turn();
    if (next == transport::Reactor::kNever || (here.wake_at > now_ && here.wake_at <= next)) return;
    here.wake_at = next;
    schedule(next, [this, machine, next, incarnation = here.incarnation] {
        Machine& woken = at(machine);
        if (!woken.reactor || woken.incarnation != incarnation || woken.wake_at != next) return;
        woken.wake_at = transport::Reactor::kNever;
        if (!is_frozen(machine)) turn(machine, [] {});
    });
}

void SimulatedNetwork::run_on(MachineNumber machine, std::function<void()> act) {
    Machine& here = at(machine);
    if (!here.reactor) return;
    if (here.is_turning) return act();
    if (!is_frozen(machine)) return turn(machine, act);
    here.waiting.push_back(std::move(act));
}

void SimulatedNetwork::cut(MachineNumber from, MachineNumber to, bool is_cut) {
    int& faults = cut_[{from, to}];
    faults = std::max(faults + (is_cut ? 1 : -1), 0);
}

bool SimulatedNetwork::reaches(MachineNumber from, MachineNumber to) const {
    const auto found = cut_.find({from, to});
    return found == cut_.end() || found->second == 0;
}

bool SimulatedNetwork::is_peer_connection(const Connection& connection) const {
    return connection.address.ends_with(kPeerPort);
}

void SimulatedNetwork::send(const std::shared_ptr<Connection>& connection, int side, Packet packet) {
    const auto here = static_cast<std::size_t>(side);
    const MachineNumber from = connection->machines[here], to = connection->machines[1 - here];
    // A process that has ended sends nothing more, except the end of its connections.
    if (connection->incarnations[here] != incarnation(from)) return;
    if (to < 0) return;
    if (packet.kind == PacketKind::kMessage && held_back && held_back(from, to, *packet.message)) {
        held_.push_back(
            [this, connection, side, packet] { travel(connection, side, packet, now_ + delay(), false); });
        return;
    }
    const bool may_fail = packet.kind == PacketKind::kMessage && is_peer_connection(*connection) &&
                          !std::holds_alternative<feed::PeerHello>(*packet.message);
    if (may_fail) {
        if (chance(faults_.lost)) return;
        if (chance(faults_.doubled)) travel(connection, side, packet, now_ + delay() + delay(), false);
        if (chance(faults_.late))
            return travel(connection, side, packet, now_ + between(kLeastDelay, kMostLate), false);
    }
    travel(connection, side, std::move(packet), now_ + delay(), true);
}

void SimulatedNetwork::release() {
    for (const auto& send : std::exchange(held_, {})) send();
}

void SimulatedNetwork::travel(const std::shared_ptr<Connection>& connection, int side, Packet packet,
                              Ticks at, bool in_order) {
    const auto here = static_cast<std::size_t>(side);
    if (in_order) at = connection->last_arrival[here] = std::max(at, connection->last_arrival[here]);
    schedule(at, [this, connection, side, packet = std::move(packet)] { arrive(connection, side, packet); });
}

void SimulatedNetwork::arrive(const std::shared_ptr<Connection>& connection, int side, const Packet& packet) {
    const auto here = static_cast<std::size_t>(side);
    const bool is_cut = !reaches(connection->machines[here], connection->machines[1 - here]);
    if (is_cut || !connection->held[here].empty()) return hold(connection, side, packet);
    receive(connection, side, packet);
}

// Retransmitted until it is delivered, in order, while its sender is running.
void SimulatedNetwork::hold(const std::shared_ptr<Connection>& connection, int side, const Packet& packet) {
    auto& held = connection->held[static_cast<std::size_t>(side)];
    held.push_back(packet);
    if (held.size() == 1)
        schedule(now_ + kResendInterval, [this, connection, side] { send_again(connection, side); });
}

void SimulatedNetwork::send_again(const std::shared_ptr<Connection>& connection, int side) {
    const auto here = static_cast<std::size_t>(side);
    const MachineNumber from = connection->machines[here];
    auto& held = connection->held[here];
    if (connection->incarnations[here] != incarnation(from)) return held.clear();
    if (!reaches(from, connection->machines[1 - here]))
        return schedule(now_ + kResendInterval, [this, connection, side] { send_again(connection, side); });
    for (const Packet& packet : std::exchange(held, {})) receive(connection, side, packet);
}

void SimulatedNetwork::receive(const std::shared_ptr<Connection>& connection, int side,
                               const Packet& packet) {
    const auto there = static_cast<std::size_t>(1 - side);
    const MachineNumber to = connection->machines[there];
    if (!is_up(to)) return; // a machine that is down sends nothing
    if (packet.kind == PacketKind::kOpen) {
        connection->incarnations[1] = incarnation(to);
        return run_on(to, [this, connection] { open_at(connection); });
    }
    if (connection->incarnations[there] != incarnation(to)) return reset(connection, side);
    run_on(to, [this, connection, side, packet] { deliver_message(connection, side, packet); });
}

// The receiver does not know the connection: the sender gets a reset.
void SimulatedNetwork::reset(const std::shared_ptr<Connection>& connection, int side) {
    const auto here = static_cast<std::size_t>(side);
    const MachineNumber from = connection->machines[here];
    schedule(now_ + delay(), [this, connection, here, from] {
        if (!is_up(from) || incarnation(from) != connection->incarnations[here]) return;
        run_on(from, [connection, here] {
            if (connection->links[here] != nullptr) connection->links[here]->closed();
        });
    });
}

void SimulatedNetwork::open_at(const std::shared_ptr<Connection>& connection) {
    const MachineNumber to = connection->machines[1];
    Machine& here = at(to);
    const auto listener = here.links->listeners.find(connection->address);
    if (listener == here.links->listeners.end()) // nothing listens at that address: reset
        return send(connection, 1, {PacketKind::kClosed, nullptr});
    here.connections.push_back(connection);
    send(connection, 1, {PacketKind::kOpened, nullptr});
    listener->second(
        [this, connection](Ticks silence, feed::Link::Callbacks callbacks) -> std::unique_ptr<feed::Link> {
            return std::make_unique<SimulatedLink>(*this, connection, 1, silence, std::move(callbacks));
        });
}

void SimulatedNetwork::deliver_message(const std::shared_ptr<Connection>& connection, int side,
                                       const Packet& packet) {
    const auto there = static_cast<std::size_t>(1 - side);
    SimulatedLink* link = connection->links[there];
    if (link == nullptr) return;
    if (packet.kind == PacketKind::kOpened) {
        link->opened();
    } else if (packet.kind == PacketKind::kClosed) {
        link->closed();
    } else {
        if (watched)
            watched(connection->machines[static_cast<std::size_t>(side)], connection->machines[there],
                    *packet.message);
        link->received(*packet.message);
    }
}

} // namespace ivyrill::lab
