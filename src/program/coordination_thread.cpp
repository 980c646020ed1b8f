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

constexpr Ticks kCountsInterval = 10 * kTicksPerSecond;
constexpr Ticks kStoreRetryInterval = 5 * kTicksPerSecond; // after a failure to open the store

std::uint64_t random_mixed_with(std::uint64_t seed) {
    std::uint64_t result = 0;
    std::memcpy(&result, access::random_bytes(sizeof result).data(), sizeof result);
    return result ^ seed;
}

} // namespace

struct CoordinationThread::State {
    State(const operators::OperatorSettings& settings, const std::string& secret,
          protocol::FrontNodeConfig node_config, const std::string& name, std::uint64_t seed)
        : config(std::move(node_config)), socket(loop, transport::bind_datagrams(settings.membership->bind)),
          wake_up_event(loop, eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)),
          member_count_event(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
        maintenance::MaintenanceNodeSettings node_settings;
        node_settings.name = name, node_settings.address = settings.membership->address,
        node_settings.secret = secret;
        node_settings.peers = settings.membership->peers,
        node_settings.probe_interval = settings.membership->probe_interval;
        node_settings.seed = random_mixed_with(seed);
        // Without a store, the clock gives an incarnation that grows with each start.
        node_settings.incarnation = static_cast<std::uint64_t>(Loop::wall());
        if (settings.maintenance) {
            const operators::MaintenanceSettings& maintenance_settings = *settings.maintenance;
            maintenance_durations = maintenance_settings.work;
            // By server kind; "front": the front nodes, "": kinds without an entry.
            if (const auto front = maintenance_durations.find("front"); front != maintenance_durations.end())
                node_settings.front_node_duration = front->second;
            for (const auto& [candidate_name, candidate_address] : maintenance_settings.candidates)
                node_settings.candidates.push_back({candidate_name, candidate_address});
            node_settings.voter_count = maintenance_settings.voter_count,
            node_settings.limits = maintenance_settings.limits,
            node_settings.timing = maintenance_settings.timing;
            node_settings.failure_policy = maintenance_settings.failure_policy,
            node_settings.heartbeat = maintenance_settings.heartbeat,
            node_settings.replace_voter_after = maintenance_settings.replace_after;
            const bool candidate = std::ranges::any_of(
                maintenance_settings.candidates, [&](const auto& entry) { return entry.first == name; });
            if (candidate) {
                std::filesystem::create_directories(
                    std::filesystem::path(maintenance_settings.raft_store).parent_path());
                raft_store = std::make_unique<raft_storage::SqliteRaftStore>(maintenance_settings.raft_store,
                                                                             maintenance_settings.witness);
                node_settings.incarnation = raft_store->next_member_incarnation();
            }
            machine_controller = std::make_unique<MachineController>(
                loop, maintenance_settings.controller_command, maintenance_settings.controller_address,
                maintenance_settings.timing.action);
        }
        maintenance_node = std::make_unique<maintenance::MaintenanceNode>(node_settings, raft_store.get(),
                                                                          loop.now(), Loop::wall());
        if (loop.now() == 0 || member_count_event < 0)
            throw std::runtime_error("cannot read the clock or create an event descriptor");
    }
    ~State() { close(member_count_event); }

    Task receive() {
        transport::Slot& readable = socket.readable;
        for (;;) {
            while (auto received = transport::receive_datagram(socket.descriptor()))
                maintenance_node->receive(loop.now(), received->from, received->bytes), execute_effects();
            co_await readable;
        }
    }

    void run() {
        receive_task = receive(), receive_task.start();
        Ticks counts_at = loop.now() + kCountsInterval;
        while (!stop) {
            {
                const std::lock_guard lock(mutex);
                current_list.version = list.version;
                if (list_changed) current_list = list, list_changed = false;
            }
            std::uint64_t count = 0;
            while (read(wake_up_event.descriptor(), &count, sizeof count) > 0) {}
            // A cold machine becomes warm without any event, so the machines are observed periodically.
            if (loop.now() >= next_observation_at || observed_version != current_list.version) {
                next_observation_at = loop.now() + kTicksPerSecond / 10,
                observed_version = current_list.version;
                maintenance_node->update_servers(CoordinationThread::observe_machines(current_list, config,
                                                                                      maintenance_durations,
                                                                                      Loop::wall()),
                                                 rejected_search_share);
            }
            maintenance_node->step(loop.now(), Loop::wall());
            if (leaving && !leave_sent) leave_sent = true, maintenance_node->leave(loop.now());
            execute_effects();
            if (machine_controller) {
                machine_controller->step(loop.now());
                for (const MachineController::Reply& reply : machine_controller->take_replies())
                    maintenance_node->on_machine_status(loop.now(), reply.serial, reply.machine,
                                                        reply.status);
            }
            if (loop.now() >= counts_at) log_counts(), counts_at = loop.now() + kCountsInterval;
            Ticks deadline = std::min({maintenance_node->next_step(), next_observation_at, counts_at});
            if (machine_controller) deadline = std::min(deadline, machine_controller->next_step());
            loop.wait(deadline);
        }
        receive_task = {};
    }

    void execute_effects() {
        for (maintenance::MaintenanceEffect& effect : maintenance_node->take_effects()) {
            if (const auto* send = std::get_if<maintenance::SendDatagram>(&effect)) {
                transport::send_datagram(socket.descriptor(), send->address, send->bytes);
            } else if (const auto* command = std::get_if<maintenance::MachineCommand>(&effect)) {
                if (machine_controller) machine_controller->execute(loop.now(), *command);
            } else if (const auto* line = std::get_if<maintenance::LogLine>(&effect)) {
                std::string text = line->event;
                for (const auto& [name, value] : line->fields) text += " " + name + "=\"" + value + "\"";
                if (line->is_error)
                    log().error("{}", text);
                else
                    log().info("{}", text);
            } else {
                present_count = std::get<maintenance::MemberCount>(effect).present;
                const std::uint64_t one = 1;
                if (write(member_count_event, &one, sizeof one) < 0) continue; // the event is set already
            }
        }
    }

    void log_counts() const {
        const auto& member_counts = maintenance_node->member_list().counts();
        const auto& codec_counts = maintenance_node->codec_counts();
        const auto& executor_counts = maintenance_node->executor().counts();
        log().info(
            "members present={} sent={} received={} suspected={} refuted={} stalls={} name_conflicts={} "
            "unauthenticated={} malformed={} too_long={} rate_limited={} fragmented={} fragments={} "
            "resend_requests={} acts={} unmatched_replies={} refused={} expired_leases={} proposals={}",
            maintenance_node->member_list().present_count(), member_counts.sent, member_counts.received,
            member_counts.suspected, member_counts.refuted, member_counts.stalls,
            member_counts.name_conflicts, codec_counts.unauthenticated, codec_counts.malformed,
            codec_counts.too_long, maintenance_node->counts().rate_limited,
            maintenance_node->fragment_counts().sent, maintenance_node->fragment_counts().fragments,
            maintenance_node->fragment_counts().resend_requests, executor_counts.actions,
            executor_counts.unmatched_replies, executor_counts.fenced_off, executor_counts.expired_leases,
            maintenance_node->counts().proposals);
    }

    protocol::FrontNodeConfig config;
    std::map<std::string, Ticks> maintenance_durations;
    Loop loop;
    transport::Source socket, wake_up_event; // the latter: written by the front node's thread
    int member_count_event;
    std::unique_ptr<raft_storage::SqliteRaftStore> raft_store;
    std::unique_ptr<MachineController> machine_controller;
    std::unique_ptr<maintenance::MaintenanceNode> maintenance_node;
    Task receive_task;
    protocol::ServerList current_list;
    std::int64_t observed_version = -1;
    Ticks next_observation_at = 0;
    bool leave_sent = false;

    std::mutex mutex; // guards list and list_changed
    protocol::ServerList list;
    bool list_changed = false;
    std::atomic<double> rejected_search_share = 0;
    std::atomic<bool> stop = false, leaving = false;
    std::atomic<std::size_t> present_count = 1;
    std::thread thread;

    void wake_up() {
        const std::uint64_t one = 1;
        if (write(wake_up_event.descriptor(), &one, sizeof one) < 0) return; // the event is set already
    }
};

CoordinationThread::CoordinationThread(const operators::OperatorSettings& settings, const std::string& secret,
                                       const protocol::FrontNodeConfig& config, const std::string& name,
                                       std::uint64_t seed)
    : state_(std::make_unique<State>(settings, secret, config, name, seed)) {}

CoordinationThread::~CoordinationThread() {
    if (!state_->thread.joinable()) return;
    state_->stop = true;
    state_->wake_up();
    state_->thread.join();
}

void CoordinationThread::start() {
    state_->thread = std::thread([state = state_.get()] {
        try {
            state->run();
        } catch (const std::exception& error) { log().error("coordination thread ended: {}", error.what()); }
    });
}

// An incremental update leaves all other servers as they are.
void CoordinationThread::update_servers(const protocol::ServerList& update) {
    {
        const std::lock_guard lock(state_->mutex);
        protocol::ServerList& list = state_->list;
        if (update.full) {
            for (protocol::ServerEntry& previous : list.servers) previous.listed = ListedState::kGone;
        }
        for (const protocol::ServerEntry& entry : update.servers) {
            const auto known = std::ranges::find(list.servers, entry.id, &protocol::ServerEntry::id);
            if (known == list.servers.end())
                list.servers.push_back(entry);
            else
                *known = entry;
        }
        list.version = update.version;
        state_->list_changed = true;
    }
    state_->wake_up();
}

void CoordinationThread::set_rejected_search_share(double share) { state_->rejected_search_share = share; }

void CoordinationThread::leave() {
    state_->leaving = true;
    state_->wake_up();
}

std::size_t CoordinationThread::member_count() const {
    std::uint64_t count = 0;
    if (read(state_->member_count_event, &count, sizeof count) < 0) return state_->present_count;
    return state_->present_count;
}

int CoordinationThread::member_count_descriptor() const { return state_->member_count_event; }
int CoordinationThread::port() const { return transport::port_of(state_->socket.descriptor()); }

std::map<std::string, maintenance::ObservedMachine>
CoordinationThread::observe_machines(const protocol::ServerList& list,
                                     const protocol::FrontNodeConfig& config,
                                     const std::map<std::string, Ticks>& maintenance_durations, Ticks wall) {
    std::map<std::string, maintenance::ObservedMachine> result;
    for (const protocol::ServerEntry& entry : list.servers) {
        maintenance::ObservedMachine machine;
        machine.facts.name = entry.id, machine.facts.zone = entry.zone;
        machine.facts.capacity = entry.weight > 0 ? entry.weight : 1;
        for (int shard = 0; shard < config.shards; ++shard)
            if (config.scheduler.holds(CellNo{entry.cell}, ShardNo{shard}))
                machine.facts.shards.push_back(shard);
        auto known = maintenance_durations.find(entry.kind);
        if (known == maintenance_durations.end()) known = maintenance_durations.find("");
        machine.facts.duration = known == maintenance_durations.end() ? 600 * kTicksPerSecond : known->second;
        const Ticks started = entry.started_ms * (kTicksPerSecond / 1000);
        machine.health = entry.listed == ListedState::kGone       ? maintenance::MachineHealth::kGone
                         : entry.listed == ListedState::kDraining ? maintenance::MachineHealth::kDraining
                         : entry.started_ms > 0 && wall < started + config.scheduler.warm_up_time
                             ? maintenance::MachineHealth::kCold
                             : maintenance::MachineHealth::kWarm;
        result[entry.id] = std::move(machine);
    }
    return result;
}

} // namespace ivyrill::program
