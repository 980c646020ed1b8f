#include "program/coordination_thread.hpp"

#include "access/signature.hpp"
#include "program/log.hpp"
#include "program/machine_controller.hpp"
#include "raft_storage/sqlite_raft_store.hpp"
#include "transport/datagrams.hpp"
#include "transport/stream.hpp"

#include <cstring>
#include <filesystem>
#include <sys/eventfd.h>
#include <thread>
#include <unistd.h>

namespace ivyrill::program {

using transport::Loop;
using transport::Task;

namespace {

constexpr Tenths kCountsEvery = 10 * kTenthsPerSecond;
constexpr Tenths kLedgerGap = 5 * kTenthsPerSecond; // until a ledger that cannot be opened is tried again

std::uint64_t drawn(std::uint64_t seed) {
    std::uint64_t made = 0;
    std::memcpy(&made, access::random_bytes(sizeof made).data(), sizeof made);
    return made ^ seed;
}

} // namespace

struct CoordinationThread::Inside {
    Inside(const operators::OperatorSettings& orders, const std::string& secret,
           protocol::NodeTerms node_terms, const std::string& name, std::uint64_t seed)
        : terms(std::move(node_terms)), socket(loop, transport::bind_datagrams(orders.membership->bind)),
          stirred(loop, eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)),
          told_out(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
        maintenance::MaintenanceSettings made;
        made.name = name, made.address = orders.membership->address, made.secret = secret;
        made.peers = orders.membership->peers, made.probe_gap = orders.membership->probe_interval;
        made.seed = drawn(seed);
        // Without a store the clock is the one thing that grows from start to start.
        made.incarnation = static_cast<std::uint64_t>(Loop::wall());
        if (orders.maintenance) {
            const operators::MaintenanceSettings& rota = *orders.maintenance;
            work = rota.work;
            if (const auto front = work.find("front"); front != work.end())
                made.front_node_duration = front->second;
            for (const auto& [who, where] : rota.candidates) made.candidates.push_back({who, where});
            made.voter_count = rota.voter_count, made.limits = rota.limits, made.timing = rota.timing;
            made.failure_policy = rota.failure_policy, made.heartbeat = rota.heartbeat,
            made.replace_voter_after = rota.replace_after;
            const bool candidate =
                std::ranges::any_of(rota.candidates, [&](const auto& held) { return held.first == name; });
            if (candidate) {
                std::filesystem::create_directories(std::filesystem::path(rota.raft_store).parent_path());
                ledger = std::make_unique<raft_storage::SqliteRaftStore>(rota.raft_store, rota.witness);
                made.incarnation = ledger->next_member_incarnation();
            }
            machine_controller = std::make_unique<MachineController>(
                loop, rota.controller_command, rota.controller_address, rota.timing.action);
        }
        warden = std::make_unique<maintenance::MaintenanceNode>(made, ledger.get(), loop.now(), Loop::wall());
        if (loop.now() == 0 || told_out < 0) throw std::runtime_error("no clock, or no descriptor");
    }
    ~Inside() { close(told_out); }

    Task receive() {
        transport::Slot& next = socket.readable;
        for (;;) {
            while (auto came = transport::receive_datagram(socket.descriptor()))
                warden->receive(loop.now(), came->from, came->bytes), carry_out();
            co_await next;
        }
    }

    void run() {
        receiving = receive(), receiving.start();
        Tenths counts_at = loop.now() + kCountsEvery;
        while (!stop) {
            {
                const std::lock_guard lock(mutex);
                list_now.version = list.version;
                if (list_new) list_now = list, list_new = false;
            }
            std::uint64_t count = 0;
            while (read(stirred.descriptor(), &count, sizeof count) > 0) {}
            // What is cold grows warm without news, so the machines are looked at each time.
            if (loop.now() >= look_at || list_seen != list_now.version) {
                look_at = loop.now() + kTenthsPerSecond / 10, list_seen = list_now.version;
                warden->update_servers(CoordinationThread::machines(list_now, terms, work, Loop::wall()),
                                       strain);
            }
            warden->step(loop.now(), Loop::wall());
            if (leaving && !left) left = true, warden->leave(loop.now());
            carry_out();
            if (machine_controller) {
                machine_controller->step(loop.now());
                for (const MachineController::Reply& reply : machine_controller->take_replies())
                    warden->on_machine_status(loop.now(), reply.serial, reply.machine, reply.kept);
            }
            if (loop.now() >= counts_at) tell_counts(), counts_at = loop.now() + kCountsEvery;
            Tenths until = std::min({warden->next(), look_at, counts_at});
            if (machine_controller) until = std::min(until, machine_controller->next_step());
            loop.wait(until);
        }
        receiving = {};
    }

    void carry_out() {
        for (maintenance::MaintenanceEffect& effect : warden->take_effects()) {
            if (const auto* sent = std::get_if<maintenance::SendDatagram>(&effect)) {
                transport::send_datagram(socket.descriptor(), sent->address, sent->bytes);
            } else if (const auto* execute = std::get_if<maintenance::MachineCommand>(&effect)) {
                if (machine_controller) machine_controller->execute(loop.now(), *execute);
            } else if (const auto* line = std::get_if<maintenance::LogLine>(&effect)) {
                std::string words = line->event;
                for (const auto& [name, value] : line->fields) words += " " + name + "=\"" + value + "\"";
                if (line->is_error)
                    log().error("{}", words);
                else
                    log().info("{}", words);
            } else {
                present = std::get<maintenance::MemberCount>(effect).present;
                const std::uint64_t one = 1;
                if (write(told_out, &one, sizeof one) < 0) continue; // it is told already
            }
        }
    }

    void tell_counts() const {
        const auto& roster = warden->roster().counts();
        const auto& seals = warden->seal_counts();
        const auto& hand = warden->executor().counts();
        log().info(
            "members present={} sent={} heard={} suspected={} refuted={} stalls={} twins={} strangers={} "
            "spoilt={} too_long={} crowded={} parcels={} pieces={} asked_again={} acts={} strange={} "
            "refused={} lapsed={} proposals={}",
            warden->roster().present_count(), roster.sent, roster.received, roster.suspected, roster.refuted,
            roster.stalls, roster.name_conflicts, seals.unauthenticated, seals.malformed, seals.too_long,
            warden->counts().rate_limited, warden->fragment_counts().sent,
            warden->fragment_counts().fragments, warden->fragment_counts().resend_requests, hand.actions,
            hand.unmatched_replies, hand.fenced_off, hand.expired_leases, warden->counts().proposals);
    }

    protocol::NodeTerms terms;
    std::map<std::string, Tenths> work;
    Loop loop;
    transport::Source socket, stirred; // the latter: the front node has told us something
    int told_out;
    std::unique_ptr<raft_storage::SqliteRaftStore> ledger;
    std::unique_ptr<MachineController> machine_controller;
    std::unique_ptr<maintenance::MaintenanceNode> warden;
    Task receiving;
    protocol::ServerList list_now;
    std::int64_t list_seen = -1;
    Tenths look_at = 0;
    bool left = false;

    std::mutex mutex; // for the next three
    protocol::ServerList list;
    bool list_new = false;
    std::atomic<double> strain = 0;
    std::atomic<bool> stop = false, leaving = false;
    std::atomic<std::size_t> present = 1;
    std::thread thread;

    void stir() {
        const std::uint64_t one = 1;
        if (write(stirred.descriptor(), &one, sizeof one) < 0) return; // it is stirred already
    }
};

CoordinationThread::CoordinationThread(const operators::OperatorSettings& orders, const std::string& secret,
                                       const protocol::NodeTerms& terms, const std::string& name,
                                       std::uint64_t seed)
    : inside_(std::make_unique<Inside>(orders, secret, terms, name, seed)) {}

CoordinationThread::~CoordinationThread() {
    if (!inside_->thread.joinable()) return;
    inside_->stop = true;
    inside_->stir();
    inside_->thread.join();
}

void CoordinationThread::start() {
    inside_->thread = std::thread([inside = inside_.get()] {
        try {
            inside->run();
        } catch (const std::exception& error) { log().error("members: {}", error.what()); }
    });
}

// Changes come as changes: what is known of the others stays.
void CoordinationThread::told(const protocol::ServerList& fresh) {
    {
        const std::lock_guard lock(inside_->mutex);
        protocol::ServerList& list = inside_->list;
        if (fresh.full) {
            for (protocol::ServerEntry& old : list.servers) old.listed = ListedState::kGone;
        }
        for (const protocol::ServerEntry& entry : fresh.servers) {
            const auto known = std::ranges::find(list.servers, entry.id, &protocol::ServerEntry::id);
            if (known == list.servers.end())
                list.servers.push_back(entry);
            else
                *known = entry;
        }
        list.version = fresh.version;
        inside_->list_new = true;
    }
    inside_->stir();
}

void CoordinationThread::strained(double share) { inside_->strain = share; }

void CoordinationThread::leave() {
    inside_->leaving = true;
    inside_->stir();
}

std::size_t CoordinationThread::present() const {
    std::uint64_t count = 0;
    if (read(inside_->told_out, &count, sizeof count) < 0) return inside_->present;
    return inside_->present;
}

int CoordinationThread::news() const { return inside_->told_out; }
int CoordinationThread::port() const { return transport::port_of(inside_->socket.descriptor()); }

std::map<std::string, maintenance::ObservedMachine>
CoordinationThread::machines(const protocol::ServerList& list, const protocol::NodeTerms& terms,
                             const std::map<std::string, Tenths>& work, Tenths wall) {
    std::map<std::string, maintenance::ObservedMachine> made;
    for (const protocol::ServerEntry& entry : list.servers) {
        maintenance::ObservedMachine machine;
        machine.facts.name = entry.id, machine.facts.zone = entry.zone;
        machine.facts.capacity = entry.weight > 0 ? entry.weight : 1;
        for (int shard = 0; shard < terms.shards; ++shard)
            if (terms.opening.holds(CellNo{entry.cell}, ShardNo{shard}))
                machine.facts.shards.push_back(shard);
        auto known = work.find(entry.kind);
        if (known == work.end()) known = work.find("");
        machine.facts.duration = known == work.end() ? 600 * kTenthsPerSecond : known->second;
        const Tenths born = entry.started_ms * (kTenthsPerSecond / 1000);
        machine.health = entry.listed == ListedState::kGone       ? maintenance::MachineHealth::kGone
                         : entry.listed == ListedState::kDraining ? maintenance::MachineHealth::kDraining
                         : entry.started_ms > 0 && wall < born + terms.opening.warm_up_time
                             ? maintenance::MachineHealth::kCold
                             : maintenance::MachineHealth::kWarm;
        made[entry.id] = std::move(machine);
    }
    return made;
}

} // namespace ivyrill::program
