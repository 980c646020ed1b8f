#include "lab/process_harness.hpp"

#include "lab/client.hpp"
#include "lab/server_wire.hpp"
#include "program/operator_files.hpp"
#include "protocol/json.hpp"
#include "protocol/values.hpp"
#include "transport/datagrams.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace ivyrill::lab {

using maintenance::MachineStatus;
using transport::Stream;
using transport::Task;

namespace {

namespace fs = std::filesystem;

constexpr int kDiscovery = -1, kMachineController = -2;
constexpr Ticks kMs = kTicksPerSecond / 1000;
constexpr Ticks kDrainGrace = 300 * kMs; // for rule 3: the configured grace period plus delivery
constexpr int kDeadlineMs = 1500, kLatencyTargetMs = 500;
constexpr std::array<const char*, 3> kRequestClasses{
    "find", "note", "mark"}; // idempotent, non-idempotent, with idempotency key

// A loopback address of this process only, so that no outgoing connection on the machine can occupy a port
// that a front node or server needs again after a restart.
std::string loopback_host() {
    const auto own = static_cast<unsigned>(getpid());
    return "127." + std::to_string(64 + (own >> 16U & 63U)) + "." + std::to_string(own >> 8U & 255U) + "." +
           std::to_string(own & 255U);
}

constexpr int kFirstPort = 20'000; // below the ephemeral port range

std::string name_of(int front) { return "n" + std::to_string(front); }

bool is_down(SimulatedMachine::State state) {
    return state != SimulatedMachine::State::kServing && state != SimulatedMachine::State::kDraining &&
           state != SimulatedMachine::State::kDrained;
}

} // namespace

ProcessHarness::Peer::Peer(transport::Loop& loop, int descriptor, int own_front, int own_target)
    : front(own_front), target(own_target),
      stream(loop, descriptor, Stream::Start::kConnected, 64 * 1024, 4 * 1024 * 1024) {}

ProcessHarness::ProcessHarness(const ProcessHarnessPlan& plan) : plan_(plan) {
    std::string folder_template = (fs::temp_directory_path() / "ivyrill-rig-XXXXXX").string();
    if (mkdtemp(folder_template.data()) == nullptr)
        throw std::runtime_error("cannot create a temporary folder");
    folder_ = folder_template, host_ = loopback_host();
    const int cells = std::max(1, plan.servers / plan.replicas);
    for (int i = 0; i < plan.servers; ++i) {
        SimulatedMachine created;
        created.facts.name = "s" + std::to_string(i);
        created.facts.zone = std::string(1, static_cast<char>('a' + i / cells % plan.zones));
        for (int shard = 0; shard < plan.shards; ++shard)
            if (shard % cells == i % cells) created.facts.shards.push_back(shard);
        created.work_duration = plan.work, created.drain_duration = 100 * kMs,
        created.start_duration = 50 * kMs;
        created.warm_up_duration = 300 * kMs;
        machines_[created.facts.name] = created;
        last_states_[created.facts.name] = created.state, changed_versions_[created.facts.name] = 1,
        started_at_[created.facts.name] = 0;
    }
    fronts_.resize(static_cast<std::size_t>(plan.fronts));
    for (int i = 0; i < plan.fronts; ++i) {
        Front& front = fronts_[i];
        front.listen = front.bound = host_ + ":" + std::to_string(kFirstPort + i);
        front.relay = std::make_unique<transport::Source>(loop_, transport::bind_datagrams(host_ + ":0"));
        front.advertised = host_ + ":" + std::to_string(transport::port_of(front.relay->descriptor()));
        SimulatedMachine created;
        created.facts.name = name_of(i), created.facts.front_node = true;
        created.work_duration = plan.work, created.start_duration = 0, created.never_drains = true;
        machines_[name_of(i)] = created;
        for (int target = kMachineController; target < plan.servers; ++target)
            listeners_.push_back({i, target, host_ + ":0", {}, {}});
    }
    for (int target = kMachineController; target < plan.servers; ++target) open_listeners(target, true);
    for (int i = 0; i < plan.fronts; ++i) {
        fs::create_directory(file(name_of(i)));
        write_files(i);
    }
    began_ = machines_updated_at_ = loop_.now();
    for (int i = 0; i < plan.fronts; ++i) spawn(i, true); // forks before any thread starts
    thread_ = std::thread([this] { run(); });
}

ProcessHarness::~ProcessHarness() {
    clients_stopped_ = true;
    for (auto& client : clients_)
        if (client.joinable()) client.join();
    stop_ = true;
    thread_.join();
    for (Front& front : fronts_)
        if (front.process > 0) ::kill(front.process, SIGKILL), waitpid(front.process, nullptr, 0);
    std::error_code error;
    fs::remove_all(folder_, error);
}

void ProcessHarness::write_files(int i) const {
    const std::string at = file(name_of(i));
    const int cells = std::max(1, plan_.servers / plan_.replicas);
    const auto listener = [&](int target) {
        for (const Listener& listener : listeners_)
            if (listener.front == i && listener.target == target) return listener.address;
        return std::string();
    };
    nlohmann::json request_classes = nlohmann::json::array();
    const char* kinds[] = {"read_like", "non_idempotent", "idempotency_key"};
    for (std::size_t p = 0; p < kRequestClasses.size(); ++p)
        request_classes.push_back({{"Name", kRequestClasses[p]},
                                   {"AimUs", kLatencyTargetMs * 1000},
                                   {"DeadlineUs", kDeadlineMs * 1000},
                                   {"WindowUs", 800'000},
                                   {"Idempotency", kinds[p]},
                                   {"Worth", 1.0},
                                   {"LateShare", 0.1}});
    nlohmann::json settings{
        {"Grades", request_classes},
        {"PeersTotal", plan_.configured_node_count > 0 ? plan_.configured_node_count : plan_.fronts},
        {"Limits",
         {{"ConnIdleUs", 15'000'000},
          {"ConnectTimeoutUs", 250'000},
          {"MaxOpen", 400},
          {"MayCancel", true},
          {"MostTries", 3},
          {"Probes", true},
          {"StreamsPerConn", 100}}},
        {"Contract",
         {{"ColdUs", plan_.warm_up_time * 100},
          {"ColdShare", plan_.cold_capacity_ratio},
          {"FallUs", 1'000'000},
          {"OverloadFactor", plan_.overload_factor},
          {"AskWithinUs", 4'000'000}}},
        {"QuantumUs", 5000},
        {"Specifics", {{"Batch", 1}, {"Places", cells}, {"Slabs", plan_.shards}, {"Span", 1}}},
        {"Kinds", {"m"}},
        {"Zones", {"a", "b", "c"}}};
    nlohmann::json known{{"version", 0}, {"full", true}, {"servers", nlohmann::json::array()}};
    const nlohmann::json list = nlohmann::json::parse(list_for(i, -1));
    known["servers"] = list["servers"];
    program::write_file(at + "/config.json",
                        nlohmann::json{{"name", name_of(i)},
                                       {"listen", fronts_[i].listen},
                                       {"discovery", listener(kDiscovery)},
                                       {"seed", "8c1f30d27a5be9" + std::to_string(10 + i)},
                                       {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 512}}},
                                       {"known", known},
                                       {"settings", settings}}
                            .dump(),
                        false);
    program::write_file(at + "/secret", "thirty-two bytes and more that only a rig would take for secret",
                        true);
    std::string peers, candidates;
    for (int other = 0; other < plan_.fronts; ++other) {
        if (other < 2) peers += "\"" + fronts_[other].advertised + "\", ";
        if (other < plan_.candidates)
            candidates += "\"" + name_of(other) + "\": \"" + fronts_[other].advertised + "\", ";
    }
    std::string operator_file = "members = {\"address\": \"" + fronts_[i].advertised + "\", \"bind\": \"" +
                                fronts_[i].bound + "\", \"peers\": [" + peers +
                                "], \"secret\": \"secret\", \"probe_ms\": 200}\n";
    if (plan_.with_maintenance)
        operator_file +=
            "rota = {\"candidates\": {" + candidates +
            "}, \"council\": " + std::to_string(plan_.voter_count) +
            ", \"ledger\": \"rota/ledger.db\", \"witness\": \"rota/witness\", \"heartbeat_ms\": 50, "
            "\"replace_after_s\": 5,\n  \"keeper\": {\"address\": \"" +
            listener(kMachineController) +
            "\"},\n"
            "  \"limits\": {\"replicas_stay\": 2, \"zone_share\": 0.5, \"fleet_share\": 0.34, "
            "\"front_share\": 0.25},\n"
            "  \"spans\": {\"grant_ms\": 1500, \"act_ms\": 400, \"drain_ms\": 4000, \"work_ms\": 6000, "
            "\"back_ms\": 5000, \"warm_ms\": 5000, \"settle_ms\": 300, \"strain\": 0.3},\n"
            "  \"work_ms\": {\"other\": 1000, \"front\": 1500}}\n";
    if (!plan_.with_membership) operator_file = "audit = {\"lines_a_second\": 20}\n";
    program::write_file(at + "/ivyrill.star", operator_file + plan_.more, false);
}

// ---- processes

void ProcessHarness::spawn(int i, bool rebooted) {
    Front& front = fronts_[i];
    const std::string at = file(name_of(i));
    if (rebooted) fs::remove(at + "/rota/witness");
    ++front.epoch;
    const std::string program = plan_.program, config = at + "/config.json", star = at + "/ivyrill.star",
                      log = at + "/log";
    std::array<const char*, 7> argv{program.c_str(), "serve",      "--config", config.c_str(),
                                    "--operator",    star.c_str(), nullptr};
    const pid_t created = fork();
    if (created == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // the child ends with its parent
        const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        if (out >= 0) dup2(out, 1), dup2(out, 2);
        execv(argv[0], const_cast<char* const*>(argv.data()));
        _exit(127);
    }
    front.process = created;
}

void ProcessHarness::start(int i) {
    {
        const std::lock_guard lock(mutex_);
        fronts_[i].wanted = true;
        if (fronts_[i].process < 0) spawn(i, false);
    }
    if (!ready(i)) throw std::runtime_error(name_of(i) + " did not start");
}

bool ProcessHarness::ready(int i, int timeout_ms) const {
    return await(
        [&] {
            try {
                Client client(fronts_[i].listen, 300);
                client.send_bytes("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
                return client.answer().status == 200;
            } catch (const std::exception&) { return false; }
        },
        timeout_ms);
}

void ProcessHarness::kill(int i) {
    const std::lock_guard lock(mutex_);
    Front& front = fronts_[i];
    front.wanted = front.ending = false, ++faults_, ++front.epoch;
    if (front.process <= 0) return;
    ::kill(front.process, SIGKILL);
    waitpid(front.process, nullptr, 0);
    front.process = -1, front.stalled = false;
    record({ProcessHarnessEvent::What::kFault, loop_.now(), i, name_of(i), "killed", 0});
}

void ProcessHarness::stall(int i, bool on) {
    const std::lock_guard lock(mutex_);
    Front& front = fronts_[i];
    if (front.process <= 0) return;
    faults_ += on ? 1 : 0;
    ::kill(front.process, on ? SIGSTOP : SIGCONT);
    front.stalled = on, ++front.epoch;
    record({ProcessHarnessEvent::What::kFault, loop_.now(), i, name_of(i), on ? "stalled" : "resumed", 0});
}

void ProcessHarness::lose_disk(int i) { fs::remove_all(file(name_of(i) + "/rota")), ++faults_; }
void ProcessHarness::save_disk_copy(int i) {
    fs::remove_all(file(name_of(i) + "/copy"));
    fs::copy(file(name_of(i) + "/rota"), file(name_of(i) + "/copy"), fs::copy_options::recursive);
}
void ProcessHarness::restore_disk_copy(int i) {
    lose_disk(i);
    fs::copy(file(name_of(i) + "/copy"), file(name_of(i) + "/rota"), fs::copy_options::recursive);
    fs::remove(file(name_of(i) + "/rota/witness"));
}

bool ProcessHarness::running(int i) const {
    const std::lock_guard lock(mutex_);
    return fronts_[i].process > 0;
}

// ---- links

void ProcessHarness::cut(const std::set<int>& one_side, bool both_ways) {
    const std::lock_guard lock(mutex_);
    ++faults_;
    for (int a = 0; a < plan_.fronts; ++a)
        for (int b = 0; b < plan_.fronts; ++b)
            if (one_side.contains(a) && !one_side.contains(b)) {
                cuts_.insert({a, b});
                if (both_ways) cuts_.insert({b, a});
            }
}

void ProcessHarness::cut_services(int i, bool on) {
    const std::lock_guard lock(mutex_);
    faults_ += on ? 1 : 0;
    if (on)
        services_cut_.insert(i);
    else
        services_cut_.erase(i), links_restored_ = true;
}

void ProcessHarness::set_packet_faults(double loss_ratio, double duplicate_ratio, Ticks max_delay) {
    const std::lock_guard lock(mutex_);
    faults_ += loss_ratio > 0 ? 1 : 0;
    loss_ratio_ = loss_ratio, duplicate_ratio_ = duplicate_ratio, max_delay_ = max_delay;
}

void ProcessHarness::heal() {
    const std::lock_guard lock(mutex_);
    cuts_.clear(), services_cut_.clear();
    links_restored_ = true;
    loss_ratio_ = duplicate_ratio_ = 0, max_delay_ = 0;
}

bool ProcessHarness::is_cut(int from, int to) const { return cuts_.contains({from, to}); }

Task ProcessHarness::relay(int to) {
    transport::Slot& next = fronts_[to].relay->readable;
    for (;;) {
        while (auto received = transport::receive_datagram(fronts_[to].relay->descriptor())) {
            const std::lock_guard lock(mutex_);
            int from = -1;
            for (std::size_t i = 0; i < fronts_.size(); ++i)
                if (fronts_[i].bound == received->from) from = static_cast<int>(i);
            if (from >= 0 && (is_cut(from, to) || random_.unit() < loss_ratio_)) continue;
            const int copies = from >= 0 && random_.unit() < duplicate_ratio_ ? 2 : 1;
            for (int c = 0; c < copies; ++c)
                delayed_datagrams_.push(
                    {loop_.now() + static_cast<Ticks>(random_.unit() * static_cast<double>(max_delay_)),
                     ++next_sequence_, to, received->bytes});
        }
        co_await next;
    }
}

// ---- event loop

void ProcessHarness::run() {
    for (std::size_t i = 0; i < fronts_.size(); ++i)
        fronts_[i].relay_task = relay(static_cast<int>(i)), fronts_[i].relay_task.start();
    while (!stop_) {
        Ticks until = loop_.now() + 5 * kMs;
        {
            const std::lock_guard lock(mutex_);
            while (!delayed_datagrams_.empty() && delayed_datagrams_.top().at <= loop_.now()) {
                const DelayedDatagram& one = delayed_datagrams_.top();
                transport::send_datagram(fronts_[one.to].relay->descriptor(), fronts_[one.to].bound,
                                         one.bytes);
                delayed_datagrams_.pop();
            }
            if (!delayed_datagrams_.empty()) until = std::min(until, delayed_datagrams_.top().at);
            if (std::exchange(links_restored_, false))
                for (auto& peer : peers_) peer->stream.changed.wake();
            update_machines();
            answer_watches();
            for (auto& peer : peers_)
                for (; !peer->delayed_answers.empty() && peer->delayed_answers.front().first <= loop_.now();
                     peer->delayed_answers.pop_front())
                    peer->stream.send(peer->delayed_answers.front().second);
            std::erase_if(peers_, [](auto& peer) { return peer->closed; });
        }
        loop_.wait(until);
    }
    peers_.clear();
    for (Listener& listener : listeners_) listener.task = {};
    for (Front& front : fronts_) front.relay_task = {};
}

void ProcessHarness::open_listeners(int target, bool on) {
    for (Listener& listener : listeners_) {
        if (listener.target != target) continue;
        if (!on) {
            listener.task = {}, listener.source.reset();
            continue;
        }
        if (listener.source) continue;
        listener.source = std::make_unique<transport::Source>(loop_, transport::listen_at(listener.address));
        listener.address = host_ + ":" + std::to_string(transport::port_of(listener.source->descriptor()));
        listener.task = accept(listener);
        listener.task.start();
    }
    if (!on)
        for (auto& peer : peers_) peer->closed = peer->closed || peer->target == target;
}

Task ProcessHarness::accept(Listener& listener) {
    for (;;) {
        for (int descriptor; (descriptor = transport::accept_from(listener.source->descriptor())) >= 0;) {
            auto peer = std::make_unique<Peer>(loop_, descriptor, listener.front, listener.target);
            peer->task = serve(*peer);
            peers_.push_back(std::move(peer));
            peers_.back()->task.start();
        }
        transport::Slot& next = listener.source->readable;
        co_await next;
    }
}

Task ProcessHarness::serve(Peer& peer) {
    Stream& stream = peer.stream;
    struct Line {
        std::string& into;
        std::size_t feed(std::string_view bytes) { return into.append(bytes), bytes.size(); }
    };
    while (!stream.ended()) {
        while (stream.unread()) {
            bool services_cut = false;
            {
                const std::lock_guard lock(mutex_);
                services_cut = services_cut_.contains(peer.front);
            }
            if (services_cut) {          // unread until the link is restored
                co_await stream.changed; // woken when the link is restored
                continue;
            }
            if (peer.target == kMachineController) {
                Line line{peer.line};
                stream.feed(line);
                if (peer.line.find('\n') != std::string::npos) answer_machine_command(peer);
            } else if (peer.target == kDiscovery) {
                stream.feed(peer.requests);
                if (!peer.requests.complete()) continue;
                const std::string asked = peer.requests.take().target;
                const std::lock_guard lock(mutex_);
                const std::size_t after = asked.find("after=");
                if (after == std::string::npos) {
                    stream.send(protocol::http_response(200, "", list_for(peer.front, -1), false));
                } else {
                    peer.watch_after = std::stoll(asked.substr(after + 6));
                    const std::size_t wait = asked.find("wait_ms=");
                    peer.watch_until =
                        loop_.now() +
                        (wait == std::string::npos ? 0 : std::stoll(asked.substr(wait + 8)) * kMs);
                }
            } else {
                stream.feed(peer.frames);
                if (peer.frames.complete()) answer_frame(peer, peer.frames.take());
            }
        }
        if (!stream.ended()) co_await stream.changed;
    }
    peer.closed = true;
}

void ProcessHarness::answer_frame(Peer& peer, const protocol::Frame& received) {
    if (received.type == 'M') peer.stream.send(frame('M', "inflight=0,queue=0"));
    if (received.type == 'H') peer.stream.send(frame('H', "done"));
    if (received.type != 'S') return;
    const std::lock_guard lock(mutex_);
    const std::string name = "s" + std::to_string(peer.target);
    for (const auto& [id, query] : parts_of(received.payload)) {
        record({ProcessHarnessEvent::What::kAttempt, loop_.now(), peer.front, id, name, 0});
        const std::string answer = frame('R', id + " done 1 inflight=0,queue=0\n" + query);
        if (plan_.service == 0)
            peer.stream.send(answer);
        else
            peer.delayed_answers.emplace_back(loop_.now() + plan_.service, answer);
    }
}

// Request line: ACTION MACHINE FENCE SERIAL
void ProcessHarness::answer_machine_command(Peer& peer) {
    const auto words = protocol::split(std::string_view(peer.line).substr(0, peer.line.find('\n')), ' ');
    if (words.size() != 4) return void(peer.closed = true);
    const std::string name(words[1]);
    const maintenance::FencingToken fence{
        static_cast<std::uint64_t>(protocol::to_integer(words[2], "fence"))};
    const std::lock_guard lock(mutex_);
    const auto found = machines_.find(name);
    if (found == machines_.end()) return void(peer.closed = true);
    SimulatedMachine& machine = found->second;
    const maintenance::MachineAction action = words[0] == "drain"  ? maintenance::MachineAction::kDrain
                                              : words[0] == "out"  ? maintenance::MachineAction::kTakeOut
                                              : words[0] == "back" ? maintenance::MachineAction::kBringBack
                                                                   : maintenance::MachineAction::kQueryState;
    const maintenance::FencingToken before = machine.highest_fence;
    const SimulatedMachine::State previous_state = machine.state;
    const MachineStatus status = machine.execute(loop_.now(), action, fence);
    record({status == MachineStatus::kRefused ? ProcessHarnessEvent::What::kRefusedCommand
                                              : ProcessHarnessEvent::What::kCommand,
            loop_.now(), peer.front, name, std::string(words[0]), fence.value});
    if (fence < before && machine.state != previous_state)
        violations_.push_back("a stale act was accepted at " + name);
    if (machine.facts.front_node && previous_state == SimulatedMachine::State::kServing &&
        machine.state == SimulatedMachine::State::kDraining) {
        const int own = std::stoi(name.substr(1));
        if (fronts_[own].process > 0) ::kill(fronts_[own].process, SIGTERM);
        fronts_[own].wanted = false, fronts_[own].ending = true, ++fronts_[own].epoch;
    }
    peer.stream.send(std::string(words[3]) + " " + name + " " + maintenance::to_string(status) + "\n");
    peer.stream.finish();
    peer.line.clear();
}

// Applies time-driven transitions: servers stop and return, front nodes end and are restarted.
void ProcessHarness::update_machines() {
    const Ticks now = loop_.now();
    std::map<int, int> replicas_in_service;
    for (auto& [name, machine] : machines_) {
        machine.advance(now);
        if (machine.facts.front_node) {
            const int own = std::stoi(name.substr(1));
            Front& front = fronts_[own];
            if (front.process > 0 && waitpid(front.process, nullptr, WNOHANG) != 0) front.process = -1;
            if (machine.state == SimulatedMachine::State::kDraining && front.process < 0)
                machine.state = SimulatedMachine::State::kDrained, machine.since = now;
            // A front node brought back while its process is still ending is started after the process has
            // ended.
            if (machine.state == SimulatedMachine::State::kServing && front.ending && front.process < 0)
                front.wanted = true, front.ending = false, spawn(own, true);
        } else if (machine.state != last_states_[name]) {
            changed_versions_[name] = ++version_;
            const bool was_down = is_down(last_states_[name]), down = is_down(machine.state);
            const int number = std::stoi(name.substr(1));
            if (down && !was_down) open_listeners(number, false);
            if (!down && was_down) open_listeners(number, true), started_at_[name] = transport::Loop::wall();
        }
        if (machine.state != last_states_[name])
            record({is_down(machine.state) ? ProcessHarnessEvent::What::kMachineDown
                                           : ProcessHarnessEvent::What::kMachineUp,
                    now, -1, name, std::to_string(static_cast<int>(machine.state)), 0});
        last_states_[name] = machine.state;
        const bool planned = machine.state == SimulatedMachine::State::kWorking ||
                             machine.state == SimulatedMachine::State::kWorked ||
                             machine.state == SimulatedMachine::State::kStarting;
        for (const int shard : machine.facts.shards) replicas_in_service[shard] += planned ? 0 : 1;
    }
    for (const auto& [shard, count] : replicas_in_service)
        if (count < 2) {
            time_below_min_replicas_ += now - machines_updated_at_;
            violations_.push_back("shard " + std::to_string(shard) +
                                  " is below its minimum number of replicas during planned maintenance");
            break;
        }
    machines_updated_at_ = now;
}

std::string ProcessHarness::list_for(int i, std::int64_t after) const {
    nlohmann::json rows = nlohmann::json::array();
    const int cells = std::max(1, plan_.servers / plan_.replicas);
    for (const Listener& listener : listeners_) {
        if (listener.front != i || listener.target < 0) continue;
        const std::string name = "s" + std::to_string(listener.target);
        if (changed_versions_.at(name) <= after) continue;
        const SimulatedMachine& machine = machines_.at(name);
        const SimulatedMachine::State seen = last_states_.at(name);
        const char* listed_state = seen == SimulatedMachine::State::kServing ? "SERVING"
                                   : is_down(seen)                           ? "DELETED"
                                                                             : "DRAINING";
        if (after < 0 && is_down(seen)) continue;
        rows.push_back({{"id", name},
                        {"addr", listener.address},
                        {"zone", machine.facts.zone},
                        {"kind", "m"},
                        {"cell", listener.target % cells},
                        {"state", listed_state},
                        {"weight", 1.0},
                        {"started_ms", started_at_.at(name) / 10}});
    }
    return nlohmann::json{{"version", version_}, {"full", after < 0}, {"servers", rows}}.dump();
}

void ProcessHarness::answer_watches() {
    for (auto& peer : peers_) {
        if (peer->target != kDiscovery || peer->watch_after < 0 || peer->stream.ended()) continue;
        if (services_cut_.contains(peer->front)) continue;
        if (peer->watch_after >= version_ && loop_.now() < peer->watch_until) continue;
        peer->stream.send(protocol::http_response(200, "", list_for(peer->front, peer->watch_after), false));
        peer->watch_after = -1;
        record({ProcessHarnessEvent::What::kListSent, loop_.now(), peer->front, std::to_string(version_), "",
                0});
    }
}

void ProcessHarness::record(ProcessHarnessEvent event) { history_.push_back(std::move(event)); }

void ProcessHarness::with_machine(const std::string& name,
                                  const std::function<void(SimulatedMachine&)>& change) {
    const std::lock_guard lock(mutex_);
    change(machines_.at(name));
}

bool ProcessHarness::await(const std::function<bool()>& holds, int timeout_ms) const {
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeout_ms);
    while (!holds()) {
        if (std::chrono::steady_clock::now() >= end) return false;
        poll(nullptr, 0, 10); // polling interval: the condition depends on other processes
    }
    return true;
}

// ---- operators

std::pair<int, std::string> ProcessHarness::run_work_command(int i, const std::vector<std::string>& arguments,
                                                             const std::string& request) const {
    std::vector<std::string> command_line{plan_.program, "work"};
    command_line.insert(command_line.end(), arguments.begin(), arguments.end());
    if (arguments.front() != "chart") {
        for (const std::string& more :
             {std::string("--node"), fronts_[i].bound, std::string("--secret"), file(name_of(i) + "/secret"),
              std::string("--patience-ms"), std::string("10000")})
            command_line.push_back(more);
        if (!request.empty()) command_line.push_back("--request"), command_line.push_back(request);
    }
    std::vector<char*> argv;
    for (std::string& word : command_line) argv.push_back(word.data());
    argv.push_back(nullptr);
    int pipe_ends[2];
    if (pipe2(pipe_ends, O_CLOEXEC) != 0) throw std::runtime_error("cannot create a pipe");
    const pid_t process = fork();
    if (process == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        dup2(pipe_ends[1], 1), dup2(pipe_ends[1], 2);
        execv(argv[0], argv.data());
        _exit(127);
    }
    close(pipe_ends[1]);
    std::string out;
    std::array<char, 4096> bytes;
    for (ssize_t count; (count = read(pipe_ends[0], bytes.data(), bytes.size())) > 0;)
        out.append(bytes.data(), static_cast<std::size_t>(count));
    close(pipe_ends[0]);
    int status = 0;
    waitpid(process, &status, 0);
    return {WIFEXITED(status) ? WEXITSTATUS(status) : -1, out};
}

nlohmann::json ProcessHarness::show(int i) const {
    const auto [status, text] = run_work_command(i, {"show", "--json"});
    return status == 0 ? nlohmann::json::parse(text, nullptr, false) : nlohmann::json();
}

bool ProcessHarness::maintenance_finished(int i) const {
    const nlohmann::json seen = show(i);
    if (!seen.is_object() || seen["turns"].empty()) return false;
    return std::ranges::all_of(seen["turns"], [](const nlohmann::json& turn) {
        return turn["state"] == "done" || turn["state"] == "given up";
    });
}

// ---- clients

void ProcessHarness::start_clients(int threads, int per_second) {
    clients_stopped_ = false;
    {
        const std::lock_guard lock(mutex_);
        ++run_;
        counts_ = {};
    }
    for (int i = 0; i < threads; ++i)
        clients_.emplace_back(
            [this, i, threads, per_second] { client(i, std::max(1, per_second / threads)); });
}

SearchCounts ProcessHarness::stop_clients() {
    clients_stopped_ = true;
    for (auto& client : clients_) client.join();
    clients_.clear();
    return counts();
}

SearchCounts ProcessHarness::counts() const {
    const std::lock_guard lock(mutex_);
    return counts_;
}

// One client keeps a connection to each front node and cycles through those in service and the request
// classes.
void ProcessHarness::client(int number, int per_second) {
    std::vector<std::unique_ptr<Client>> connections(fronts_.size());
    const auto interval = std::chrono::microseconds(1'000'000 / per_second);
    auto at = std::chrono::steady_clock::now();
    for (std::uint64_t request_number = 0; !clients_stopped_; ++request_number) {
        at += interval;
        const auto left =
            std::chrono::duration_cast<std::chrono::milliseconds>(at - std::chrono::steady_clock::now());
        if (left.count() > 0) poll(nullptr, 0, static_cast<int>(left.count()));
        const std::size_t front_index = (request_number + static_cast<std::size_t>(number)) % fronts_.size();
        std::uint64_t epoch = 0;
        {
            const std::lock_guard lock(mutex_);
            const Front& front = fronts_[front_index];
            const auto state = machines_.at(name_of(static_cast<int>(front_index))).state;
            if (front.process <= 0 || front.stalled || !front.wanted ||
                state != SimulatedMachine::State::kServing) {
                connections[front_index].reset();
                continue;
            }
            epoch = front.epoch;
        }
        const std::size_t request_class = request_number % kRequestClasses.size();
        const std::string id =
            "r" + std::to_string(run_) + "c" + std::to_string(number) + "x" + std::to_string(request_number);
        nlohmann::json targets = nlohmann::json::array();
        for (int shard = 0; shard < plan_.shards; ++shard)
            targets.push_back({{"partition", shard}, {"share", 1.0 / plan_.shards}});
        const std::string body = nlohmann::json{{"targets", targets}, {"query", "q" + id}}.dump();
        const std::string bytes =
            std::string("POST /") + kRequestClasses[request_class] + (request_class == 2 ? "?k=" + id : "") +
            " HTTP/1.1\r\nHost: a\r\nX-Request-ID: " + id + "\r\nX-Timeout: " + std::to_string(kDeadlineMs) +
            "m\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        const auto started = std::chrono::steady_clock::now();
        int status = 0;
        bool ended = false;
        for (int attempt = 0; attempt < 2 && status == 0; ++attempt) {
            {
                // A search is not resent if its front node restarted: it may have forwarded the search before
                // that.
                const std::lock_guard lock(mutex_);
                if (attempt > 0 && fronts_[front_index].epoch != epoch) break;
            }
            try {
                ended = false;
                if (!connections[front_index])
                    connections[front_index] =
                        std::make_unique<Client>(fronts_[front_index].listen, kDeadlineMs + 500);
                ended = true; // cleared if a response arrives; otherwise the connection closed after
                              // accepting the request or between requests
                connections[front_index]->send_bytes(bytes);
                const protocol::HttpMessage answer = connections[front_index]->answer();
                status = answer.status;
                if (answer.close) connections[front_index].reset();
            } catch (const std::exception&) {
                connections[front_index].reset(); // retried once on a new connection
            }
        }
        const auto took =
            std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - started);
        const std::lock_guard lock(mutex_);
        const Front& front = fronts_[front_index];
        const bool same_epoch = front.epoch == epoch;
        ++counts_.asked;
        counts_.most_utility += 1;
        if (status == 200) ++counts_.delivered;
        if (status == 503) ++counts_.rejected;
        if (status == 502) ++counts_.failed;
        if (status == 0) ++counts_.incomplete;
        if (status == 0 && same_epoch && ended)
            ++counts_.lost, std::fprintf(stderr, "lost %s at n%zu after %lld ms\n", id.c_str(), front_index,
                                         static_cast<long long>(took.count()));
        if (status != 0 && took.count() > kDeadlineMs + 50 && same_epoch)
            ++counts_.lost, std::fprintf(stderr, "late %s at n%zu after %lld ms\n", id.c_str(), front_index,
                                         static_cast<long long>(took.count()));
        if (status == 200) counts_.utility += took.count() <= kLatencyTargetMs ? 1 : 0.1;
    }
}

// ---- checks

std::vector<ProcessHarnessEvent> ProcessHarness::history() const {
    const std::lock_guard lock(mutex_);
    return history_;
}

std::uint64_t ProcessHarness::duplicate_attempts() const {
    const std::lock_guard lock(mutex_);
    std::map<std::string, int> attempts;
    std::uint64_t duplicates = 0;
    for (const ProcessHarnessEvent& event : history_)
        if (event.what == ProcessHarnessEvent::What::kAttempt && ++attempts[event.name] == 2) ++duplicates;
    return duplicates;
}

std::size_t ProcessHarness::jobs_done() const {
    std::set<std::pair<std::string, std::string>> done;
    for (int i = 0; i < plan_.fronts; ++i) {
        std::istringstream lines(log_of(i));
        for (std::string line; std::getline(lines, line);) {
            const std::size_t turn = line.find(" turn machine=\""), state = line.find(" state=\"done\"");
            const std::size_t fence = line.find(" fence=\"");
            if (turn == std::string::npos || state == std::string::npos) continue;
            done.insert({line.substr(turn + 15, line.find('"', turn + 15) - turn - 15),
                         line.substr(fence + 8, line.find('"', fence + 8) - fence - 8)});
        }
    }
    return done.size();
}

std::string ProcessHarness::log_of(int i) const {
    std::ifstream log(file(name_of(i) + "/log"));
    std::ostringstream text;
    text << log.rdbuf();
    return text.str();
}

std::vector<std::string> ProcessHarness::check_history() const {
    std::vector<std::string> violations_found;
    {
        const std::lock_guard lock(mutex_);
        violations_found = violations_;
        if (counts_.lost > 0)
            violations_found.push_back(std::to_string(counts_.lost) + " searches were lost");
        // Rule 2: non-idempotent searches are attempted at most once; they are every third search of each
        // client.
        std::map<std::string, int> attempts;
        std::map<std::string, std::uint64_t> fences;
        // Rule 3: a front node starts no attempt at a draining server later than the grace period after it
        // was notified.
        std::map<std::pair<int, std::string>, Ticks> drain_sent_at;
        std::set<std::string> draining;
        for (const ProcessHarnessEvent& event : history_) {
            if (event.what == ProcessHarnessEvent::What::kAttempt) {
                const std::size_t x = event.name.find('x'), dot = event.name.find('.');
                const bool once =
                    x != std::string::npos && std::stoull(event.name.substr(x + 1, dot - x - 1)) % 3 == 1;
                if (++attempts[event.name] == 2 && once)
                    violations_found.push_back("launched twice: " + event.name);
                const auto since = drain_sent_at.find({event.front, event.detail});
                if (since != drain_sent_at.end() && event.at > since->second + kDrainGrace)
                    violations_found.push_back("launched at " + event.detail + " by " + name_of(event.front) +
                                               " after the drain notification");
            } else if (event.what == ProcessHarnessEvent::What::kCommand) {
                std::uint64_t& highest_fence = fences[event.name];
                if (event.fence < highest_fence)
                    violations_found.push_back("an older number was accepted at " + event.name);
                highest_fence = std::max(highest_fence, event.fence);
            } else if (event.what == ProcessHarnessEvent::What::kMachineUp) {
                if (event.detail == std::to_string(static_cast<int>(SimulatedMachine::State::kDraining)))
                    draining.insert(event.name);
                if (event.detail == std::to_string(static_cast<int>(SimulatedMachine::State::kServing))) {
                    draining.erase(event.name);
                    std::erase_if(drain_sent_at, [&](auto& held) { return held.first.second == event.name; });
                }
            } else if (event.what == ProcessHarnessEvent::What::kListSent) {
                for (const std::string& name : draining)
                    drain_sent_at.try_emplace({event.front, name}, event.at);
            }
        }
    }
    // In the logs of all front nodes, each fencing token of a machine has one holder.
    std::map<std::string, std::string> holders;
    for (int i = 0; i < plan_.fronts; ++i) {
        std::istringstream lines(log_of(i));
        for (std::string line; std::getline(lines, line);) {
            const std::size_t turn = line.find(" turn machine=\"");
            if (turn == std::string::npos) continue;
            const auto field = [&](const char* name) {
                const std::string key = std::string(" ") + name + "=\"";
                const std::size_t at = line.find(key, turn);
                if (at == std::string::npos) return std::string();
                return line.substr(at + key.size(), line.find('"', at + key.size()) - at - key.size());
            };
            const std::string holder = field("holder"), key = field("machine") + "#" + field("fence");
            if (holder == "-" || holder.empty()) continue;
            const auto [entry, inserted] = holders.emplace(key, holder);
            if (!inserted && entry->second != holder)
                violations_found.push_back("two holders of " + key + ": " + entry->second + " and " + holder);
        }
    }
    return violations_found;
}

} // namespace ivyrill::lab
