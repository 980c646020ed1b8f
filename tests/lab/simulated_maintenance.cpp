#include "lab/simulated_maintenance.hpp"

#include "maintenance/codec.hpp"

#include <algorithm>

namespace ivyrill::lab {

using namespace maintenance;

namespace {

const std::string kSecret = "the secret of a world that is not, thirty-two bytes and more";

std::string name_of(int front) { return "n" + std::to_string(front); }

} // namespace

// ---- machines

MachineStatus SimulatedMachine::execute(Ticks now, MachineAction what, FencingToken fence) {
    advance(now);
    if (state == State::kDead) return MachineStatus::kUnknown;
    if (checks_fence && fence < highest_fence) return MachineStatus::kRefused;
    highest_fence = std::max(highest_fence, fence);
    if (what == MachineAction::kDrain && state == State::kServing) state = State::kDraining, since = now;
    if (what == MachineAction::kTakeOut && state == State::kDrained) state = State::kWorking, since = now;
    if (what == MachineAction::kBringBack) {
        if (state == State::kDraining || state == State::kDrained) state = State::kServing, since = now;
        if ((state == State::kWorked || state == State::kWorking) && !never_returns)
            state = State::kStarting, since = now;
    }
    advance(now);
    switch (state) {
    case State::kServing:
        return MachineStatus::kServing;
    case State::kDraining:
        return MachineStatus::kDraining;
    case State::kDrained:
        return MachineStatus::kDrained;
    case State::kWorking:
        return MachineStatus::kWorking;
    case State::kWorked:
        return MachineStatus::kWorkDone;
    case State::kStarting:
        return MachineStatus::kStarting;
    case State::kBroken:
        return MachineStatus::kBroken;
    case State::kDead:
        break;
    }
    return MachineStatus::kUnknown;
}

void SimulatedMachine::advance(Ticks now) {
    if (state == State::kDraining && !never_drains && now >= since + drain_duration)
        state = State::kDrained, since += drain_duration;
    if (state == State::kWorking && now >= since + work_duration)
        state = State::kWorked, since += work_duration;
    if (state == State::kStarting && now >= since + start_duration) {
        state = returns_broken ? State::kBroken : State::kServing, since += start_duration;
        warm_at = since + warm_up_duration;
    }
}

MachineHealth SimulatedMachine::health(Ticks now) const {
    switch (state) {
    case State::kServing:
        return now >= warm_at ? MachineHealth::kWarm : MachineHealth::kCold;
    case State::kDraining:
    case State::kDrained:
        return MachineHealth::kDraining;
    default:
        return MachineHealth::kGone;
    }
}

// ---- simulation

SimulatedMaintenance::SimulatedMaintenance(const SimulatedMaintenancePlan& plan,
                                           FaultInjection fault_injection)
    : plan_(plan), fault_injection_(std::move(fault_injection)), random_(plan.seed), codec_(kSecret) {
    operator_transport_ = std::make_unique<FragmentTransport>("operator", "operator", codec_, 1);
    for (int i = 0; i < plan.servers; ++i) {
        SimulatedMachine created;
        const int cells = std::max(1, plan.servers / plan.replicas);
        created.facts.name = "s" + std::to_string(i);
        created.facts.zone = std::string(1, static_cast<char>('a' + i / cells % plan.zones));
        for (int shard = 0; shard < plan.shards; ++shard)
            if (shard % cells == i % cells) created.facts.shards.push_back(shard);
        const double stretch = plan.varied_work_duration ? 0.5 + random_.unit() : 1;
        created.work_duration = static_cast<Ticks>(static_cast<double>(plan.work) * stretch);
        created.drain_duration = plan.work / 8, created.start_duration = plan.work / 8,
        created.warm_up_duration = plan.work / 4;
        created.facts.duration = created.work_duration + created.drain_duration + created.start_duration +
                                 created.warm_up_duration;
        machines_[created.facts.name] = created;
    }
    for (int i = 0; i < plan.fronts; ++i) {
        Front front;
        front.name = name_of(i), front.address = "10.0.0." + std::to_string(i) + ":7";
        front.rate = 1 + plan.clock_error * (2 * random_.unit() - 1);
        front.offset = static_cast<Ticks>(random_.unit() * 1000 * kTicksPerSecond);
        if (i < plan.candidates)
            front.store =
                fault_injection_.store ? fault_injection_.store() : std::make_shared<InMemoryRaftStore>();
        fronts_.push_back(std::move(front));
        SimulatedMachine created; // front nodes get maintenance too
        created.facts.name = name_of(i), created.facts.front_node = true;
        created.drain_duration = plan.work / 8, created.start_duration = plan.work / 8,
        created.work_duration = plan.work;
        machines_[name_of(i)] = created;
    }
    for (auto& [name, machine] : machines_) machine.checks_fence = !fault_injection_.machines_ignore_fencing;
    next_steps_.resize(fronts_.size());
    for (int i = 0; i < plan.fronts; ++i) start(i);
    event_log_.clear();
    checked_at_ = now_;
}

void SimulatedMaintenance::fail(std::string what) {
    if (reported_.insert(what).second) violations_.push_back(std::to_string(now_ / 10) + "ms " + what);
}

int SimulatedMaintenance::front_node_at(const std::string& address) const {
    for (std::size_t i = 0; i < fronts_.size(); ++i)
        if (fronts_[i].address == address) return static_cast<int>(i);
    return -1;
}

void SimulatedMaintenance::kill(int i) {
    Front& front = fronts_[i];
    if (!front.node) return;
    record_event("kill " + front.name);
    ++counts_.crashes;
    front.node.reset();
}

void SimulatedMaintenance::start(int i, Disk disk) {
    Front& front = fronts_[i];
    if (front.node) return;
    record_event("start " + front.name +
                 (disk == Disk::kLost  ? " without its disk"
                  : disk == Disk::kOld ? " with an old disk"
                                       : ""));
    if (front.store && disk == Disk::kLost) front.store->copy_from({});
    if (front.store && disk == Disk::kOld && disk_copies_.contains(i))
        front.store->copy_from(disk_copies_.at(i));
    if (front.store && disk != Disk::kKept) front.store->verified = false;
    MaintenanceNodeSettings settings;
    settings.name = front.name, settings.address = front.address, settings.secret = kSecret;
    for (int c = 0; c < plan_.candidates; ++c)
        settings.candidates.push_back({name_of(c), fronts_[c].address});
    if (plan_.candidates == 0) settings.peers = {fronts_[0].address, fronts_[1].address};
    settings.voter_count = plan_.voter_count, settings.limits = plan_.limits, settings.timing = plan_.timing;
    settings.failure_policy = plan_.failure_policy, settings.heartbeat = plan_.heartbeat;
    settings.seed = plan_.seed * 1000 + static_cast<std::uint64_t>(i) + 100 * ++front.starts;
    settings.incarnation = ++front.incarnation;
    settings.replace_voter_after = 15 * kTicksPerSecond, settings.front_node_duration = plan_.work * 5 / 4;
    if (fault_injection_.settings) fault_injection_.settings(i, settings);
    front.node = std::make_unique<MaintenanceNode>(settings, front.store.get(), local_time(front), now_);
    front.node->on_committed = [this, i](const Command& command, const CommandResult& result) {
        const MaintenanceSchedule& state =
            fronts_[i].node->consensus()->schedule(); // the state that this node has just applied, voter or
                                                      // not
        const std::string description = describe(command) + (result.accepted ? "" : " (refused)");
        const auto [entry, inserted] = committed_commands_.emplace(state.applied_commands(), description);
        if (!inserted && entry->second != description)
            fail("two committed commands: " + entry->second + " and " + description + " at " +
                 std::to_string(state.applied_commands()));
        if (!inserted || !result.accepted) return;
        const auto* lease_grant = std::get_if<GrantLease>(&command);
        if (lease_grant != nullptr && state.job(lease_grant->machine)->state == JobState::kGranted &&
            state.job(lease_grant->machine)->reason == "granted") {
            std::set<std::string> out = state.machines_out();
            const Constraints constraints(state.limits(), state.fleet(), state.voters());
            for (const std::string& machine : out) {
                std::set<std::string> others = out;
                others.erase(machine);
                if (const std::string why = constraints.violation(machine, others); !why.empty())
                    fail("constraint violated: " + machine + ": " + why);
            }
        }
        if (const auto* move = std::get_if<AdvanceJob>(&command);
            move != nullptr && move->to == JobState::kDone)
            ++counts_.jobs_done, ended = now_;
    };
    front.stalled_until = front.next_list_update_at = 0;
    next_steps_[i] = now_;
    update_server_list(i);
}

void SimulatedMaintenance::save_disk_copy(int i) {
    if (fronts_[i].store) disk_copies_[i] = *fronts_[i].store;
}

void SimulatedMaintenance::stall(int i, Ticks span) {
    record_event("stall " + fronts_[i].name + " for " + std::to_string(span / 10) + "ms");
    fronts_[i].stalled_until = now_ + span;
}

void SimulatedMaintenance::cut(std::set<int> one_side, bool both_ways) {
    std::string description;
    for (const int i : one_side) description += " " + name_of(i);
    record_event("cut" + description + (both_ways ? "" : " one way"));
    for (int a = 0; a < plan_.fronts; ++a)
        for (int b = 0; b < plan_.fronts; ++b)
            if (one_side.contains(a) && !one_side.contains(b)) {
                cuts_.insert({a, b});
                if (both_ways) cuts_.insert({b, a});
            }
}

void SimulatedMaintenance::heal() {
    record_event("heal");
    cuts_.clear();
    drops = {};
}

void SimulatedMaintenance::kill_machine(const std::string& name) {
    record_event("machine " + name + " fails");
    machines_.at(name).state = SimulatedMachine::State::kDead;
}

void SimulatedMaintenance::revive_machine(const std::string& name) {
    SimulatedMachine& machine = machines_.at(name);
    if (machine.state != SimulatedMachine::State::kDead && machine.state != SimulatedMachine::State::kBroken)
        return;
    record_event("machine " + name + " is back");
    machine.state = SimulatedMachine::State::kServing, machine.since = now_,
    machine.warm_at = now_ + machine.warm_up_duration;
    machine.returns_broken = machine.never_returns = machine.never_drains = false;
}

void SimulatedMaintenance::return_front_nodes() {
    for (auto& [name, machine] : machines_) {
        if (!machine.facts.front_node || machine.serves()) continue;
        record_event("the operator returns " + name);
        machine.state = SimulatedMachine::State::kStarting, machine.since = now_;
    }
}

void SimulatedMaintenance::update_server_list(int i) {
    Front& front = fronts_[i];
    if (!front.node || now_ < front.next_list_update_at) return;
    front.next_list_update_at = now_ + kTicksPerSecond / 10;
    std::map<std::string, ObservedMachine> servers;
    for (auto& [name, machine] : machines_) {
        if (machine.facts.front_node) continue;
        MachineHealth health = machine.health(now_);
        if (plan_.max_list_age > 0) { // an outdated health state
            auto& past = health_history_[name];
            const Ticks then =
                now_ - static_cast<Ticks>(random_.unit() * static_cast<double>(plan_.max_list_age));
            for (const auto& [at, previous_state] : past)
                if (at <= then) health = previous_state;
        }
        servers[name] = {machine.facts, health};
    }
    front.node->update_servers(servers, 0);
}

void SimulatedMaintenance::process_effects(int i) {
    Front& front = fronts_[i];
    for (MaintenanceEffect& effect : front.node->take_effects()) {
        if (auto* sent = std::get_if<SendDatagram>(&effect)) {
            ++counts_.datagrams, counts_.bytes += sent->bytes.size() + 28;
            if (sent->bytes.size() > membership::kMaxDatagramBytes) fail("a datagram is too long");
            const int to = front_node_at(sent->address);
            if (to < 0) {
                if (sent->address == "operator") receive_operator_reply(sent->bytes);
                continue;
            }
            const bool cut = cuts_.contains({i, to}) || (drops && drops(i, to));
            if (cut || random_.unit() < plan_.loss_ratio) {
                ++counts_.lost;
                continue;
            }
            const int copies = random_.unit() < plan_.duplicate_ratio ? 2 : 1;
            for (int c = 0; c < copies; ++c)
                datagrams_in_flight_.push(
                    {now_ + plan_.min_delay +
                         static_cast<Ticks>(random_.unit() *
                                            static_cast<double>(plan_.max_delay - plan_.min_delay)),
                     ++next_sequence_, to, i, front.address, sent->bytes});
        } else if (const auto* line = std::get_if<LogLine>(&effect)) {
            if (on_line) on_line(i, *line);
        } else if (auto* command = std::get_if<MachineCommand>(&effect)) {
            ++counts_.commands;
            if (command->action != MachineAction::kQueryState &&
                command->action != MachineAction::kBringBack &&
                !front.node->executor().holds_lease(command->machine, local_time(front)))
                fail(front.name + " sends a command to " + command->machine + " without holding its lease");
            machine_messages_.push({now_ + 10, ++next_sequence_, i, front.starts, *command});
        }
    }
    next_steps_[i] = std::max(now_, simulated_time(front, front.node->next_step()));
}

void SimulatedMaintenance::check() {
    if (now_ < checked_at_ + kTicksPerSecond / 50) return;
    // At most one node holds the lease of a machine, each by its own clock.
    std::map<std::string, std::string> holders;
    for (Front& front : fronts_) {
        if (!front.node) continue;
        for (const auto& [name, turn] : front.node->schedule().jobs()) {
            if (!front.node->executor().holds_lease(name, local_time(front))) continue;
            const auto [entry, inserted] = holders.emplace(name, front.name);
            if (!inserted) fail("two holders of " + name + ": " + entry->second + " and " + front.name);
        }
    }
    // Planned maintenance leaves every shard its minimum number of replicas.
    std::map<int, int> replicas_in_service;
    int voters_out = 0;
    const std::set<std::string>& voters = schedule().voters();
    for (auto& [name, machine] : machines_) {
        machine.advance(now_);
        const bool planned = machine.state == SimulatedMachine::State::kWorking ||
                             machine.state == SimulatedMachine::State::kWorked ||
                             machine.state == SimulatedMachine::State::kStarting;
        for (const int shard : machine.facts.shards) replicas_in_service[shard] += planned ? 0 : 1;
        voters_out += planned && voters.contains(name) ? 1 : 0;
    }
    for (const auto& [shard, count] : replicas_in_service) {
        if (count >= plan_.limits.min_replicas) continue;
        time_below_min_replicas_ += now_ - checked_at_;
        fail("shard " + std::to_string(shard) + " has " + std::to_string(count) +
             " replicas left during planned maintenance");
    }
    if (!voters.empty() && voters_out > static_cast<int>(voters.size() - 1) / 2)
        fail("a majority of the voters is out");
    checked_at_ = now_;
    const bool has_leader = leader() >= 0;
    if (has_leader && without_leader_ && last_leader_at_ != 0) failovers.push_back(now_ - last_leader_at_);
    if (has_leader) last_leader_at_ = now_;
    without_leader_ = !has_leader;
}

int SimulatedMaintenance::leader() const {
    int best = -1;
    std::uint64_t term = 0;
    for (std::size_t i = 0; i < fronts_.size(); ++i) {
        const Front& front = fronts_[i];
        if (!front.node || front.node->consensus() == nullptr || !front.node->consensus()->is_leader())
            continue;
        if (now_ < front.stalled_until) continue;
        if (best < 0 || front.node->consensus()->term() > term)
            best = static_cast<int>(i), term = front.node->consensus()->term();
    }
    return best;
}

void SimulatedMaintenance::advance(Ticks span) {
    const Ticks end = now_ + span;
    for (;;) {
        Ticks at = end;
        int turn = -1;
        for (std::size_t i = 0; i < fronts_.size(); ++i) {
            if (!fronts_[i].node) continue;
            const Ticks next_step_at = std::max(next_steps_[i], fronts_[i].stalled_until);
            if (next_step_at < at) at = std::max(now_, next_step_at), turn = static_cast<int>(i);
        }
        const Ticks datagram_at = datagrams_in_flight_.empty() ? end : datagrams_in_flight_.top().at;
        const Ticks message_at = machine_messages_.empty() ? end : machine_messages_.top().at;
        if (message_at <= at && message_at <= datagram_at && !machine_messages_.empty() && message_at < end) {
            MachineMessage message = machine_messages_.top();
            machine_messages_.pop();
            now_ = std::max(now_, message.at);
            Front& front = fronts_[message.front];
            if (message.answer) {
                if (!front.node || front.starts != message.node_starts) continue;
                if (now_ < front.stalled_until) {
                    message.at = front.stalled_until, machine_messages_.push(message);
                    continue;
                }
                front.node->on_machine_status(local_time(front), message.command.serial,
                                              message.command.machine, message.status);
                next_steps_[message.front] = now_;
                continue;
            }
            SimulatedMachine& machine = machines_.at(message.command.machine);
            const FencingToken before = machine.highest_fence;
            const SimulatedMachine::State previous_state = machine.state;
            message.status = machine.execute(now_, message.command.action, message.command.fence);
            if (message.status == MachineStatus::kRefused)
                ++counts_.refused_commands;
            else
                ++counts_.accepted;
            if (message.command.fence < before && machine.state != previous_state)
                fail("a stale act was accepted: " + std::string(to_string(message.command.action)) + " of " +
                     message.command.machine);
            if (machine.facts.front_node) { // the process stops and starts with its machine
                const int own = std::stoi(message.command.machine.substr(1));
                if (machine.state == SimulatedMachine::State::kWorking && fronts_[own].node) kill(own);
                if (machine.state == SimulatedMachine::State::kStarting && previous_state != machine.state)
                    fronts_[own].failed = false;
            }
            message.answer = true;
            std::vector<Ticks> late{10};
            if (reply_delays) late = reply_delays(message.command.machine);
            for (const Ticks by : late)
                message.at = now_ + by, message.sequence = ++next_sequence_, machine_messages_.push(message);
            continue;
        }
        if (!datagrams_in_flight_.empty() && datagram_at <= at && datagram_at < end) {
            const DatagramInFlight datagram = datagrams_in_flight_.top();
            datagrams_in_flight_.pop();
            now_ = std::max(now_, datagram.at);
            Front& front = fronts_[datagram.to];
            if (!front.node) continue;
            if (now_ < front.stalled_until) { // the socket buffer keeps it until the process resumes
                DatagramInFlight later = datagram;
                later.at = front.stalled_until, datagrams_in_flight_.push(later);
                continue;
            }
            front.node->receive(local_time(front), datagram.address, datagram.bytes);
            process_effects(datagram.to);
            continue;
        }
        now_ = std::max(now_, at);
        if (turn < 0) break;
        for (auto& [name, machine] : machines_) {
            machine.advance(now_);
            if (plan_.max_list_age > 0) {
                auto& past = health_history_[name];
                if (past.empty() || past.back().second != machine.health(now_))
                    past.emplace_back(now_, machine.health(now_));
                if (past.size() > 64) past.pop_front();
            }
            if (!machine.facts.front_node || machine.state != SimulatedMachine::State::kServing) continue;
            const int own = std::stoi(name.substr(1));
            if (!fronts_[own].node && !fronts_[own].failed)
                start(own, Disk::kRebooted); // its machine serves again
        }
        update_server_list(turn);
        fronts_[turn].node->step(local_time(fronts_[turn]), now_);
        process_effects(turn);
        check();
    }
    now_ = end;
    check();
}

bool SimulatedMaintenance::until(const std::function<bool()>& holds, Ticks bound) {
    const Ticks end = now_ + bound;
    while (!holds()) {
        if (now_ >= end) return false;
        advance(kTicksPerSecond / 5);
    }
    return true;
}

const MaintenanceSchedule& SimulatedMaintenance::schedule() const {
    const MaintenanceSchedule* best = nullptr;
    for (const Front& front : fronts_)
        if (front.node &&
            (best == nullptr || front.node->schedule().applied_commands() > best->applied_commands()))
            best = &front.node->schedule();
    static const MaintenanceSchedule none;
    return best == nullptr ? none : *best;
}

std::size_t SimulatedMaintenance::count(JobState state) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(schedule().jobs(), [&](auto& held) { return held.second.state == state; }));
}

std::set<std::string> SimulatedMaintenance::machines_out() const {
    std::set<std::string> names;
    for (const auto& [name, machine] : machines_)
        if (!machine.serves()) names.insert(name);
    return names;
}

bool SimulatedMaintenance::all_jobs_finished() const {
    return !schedule().jobs().empty() && schedule().open_jobs() == 0;
}

nlohmann::json SimulatedMaintenance::send_operator_request(int i, nlohmann::json what) {
    what["wall"] = static_cast<std::uint64_t>(now_), what["by"] = "the operator";
    operator_transport_->send(now_, fronts_[i].address, MessageKind::kOperatorRequest,
                              codec::pack_cbor(what));
    for (OutboundDatagram& sealed : operator_transport_->take_datagrams())
        datagrams_in_flight_.push({now_ + 1, ++next_sequence_, i, -1, "operator", std::move(sealed.bytes)});
    return what;
}

void SimulatedMaintenance::add_maintenance_jobs(int i, const std::vector<std::string>& machines,
                                                const std::string& request) {
    if (began == 0) began = now_;
    std::string description;
    for (const std::string& machine : machines) description += " " + machine;
    record_event("maintenance request at " + name_of(i) + ":" + description);
    send_operator_request(i, {{"request", request}, {"verb", "add"}, {"machines", machines}});
}

void SimulatedMaintenance::receive_operator_reply(const std::string& bytes) {
    const auto parcel = operator_transport_->receive(now_, bytes);
    if (!parcel || parcel->kind != MessageKind::kOperatorReply) return;
    const auto row = nlohmann::json::from_cbor(parcel->bytes.begin(), parcel->bytes.end());
    operator_replies[row[0].get<std::string>()] = {row[1].get<bool>(), row[2].get<std::string>()};
}

// ---- fault schedules

FaultSchedule generate_fault_schedule(std::uint64_t seed) {
    FaultSchedule created;
    Pcg random(seed * 7919 + 17);
    const auto below = [&](int count) { return static_cast<int>(random.unit() * count); };
    SimulatedMaintenancePlan& plan = created.plan;
    plan.seed = seed;
    plan.voter_count = below(2) == 0 ? 3 : 5;
    plan.candidates = static_cast<int>(plan.voter_count) + below(2);
    plan.fronts = plan.candidates + below(3);
    plan.replicas = 3, plan.servers = 6 + 3 * below(2), plan.shards = 4 + below(3), plan.zones = 1 + below(3);
    plan.loss_ratio = below(3) == 0 ? 0.1 * random.unit() : 0.01;
    plan.duplicate_ratio = 0.05, plan.clock_error = 0.01 * random.unit();
    plan.max_list_age = below(2) * kTicksPerSecond;
    plan.work = (1 + below(3)) * kTicksPerSecond;
    plan.heartbeat = kTicksPerSecond / 3;
    const int count = 2 + below(7);
    for (int i = 0; i < count; ++i)
        created.faults.push_back({static_cast<Ticks>(random.unit() * 20 * kTicksPerSecond), below(14),
                                  below(1000), below(1000),
                                  static_cast<Ticks>((0.5 + 8 * random.unit()) * kTicksPerSecond)});
    std::ranges::stable_sort(created.faults, {}, &FaultSchedule::Fault::at);
    return created;
}

FaultScheduleResult run_fault_schedule(const FaultSchedule& schedule, const FaultInjection& fault_injection) {
    SimulatedMaintenance world(schedule.plan, fault_injection);
    const int fronts = schedule.plan.fronts;
    world.until([&] { return world.leader() >= 0; }, 30 * kTicksPerSecond);
    world.until([&] { return !world.schedule().fleet().empty(); }, 30 * kTicksPerSecond);
    std::vector<std::string> ordered;
    for (const auto& [name, machine] : world.machines())
        if (!machine.facts.front_node) ordered.push_back(name);
    for (int i = 0; i < fronts; ++i)
        if (i % 3 == 0) ordered.push_back("n" + std::to_string(i));
    world.add_maintenance_jobs(static_cast<int>(schedule.plan.seed % static_cast<std::uint64_t>(fronts)),
                               ordered, "first");
    const Ticks begun = world.now();
    struct Recovery {
        Ticks at;
        std::function<void()> undo;
    };
    std::vector<Recovery> recoveries;
    int held = 0;
    std::set<int> disk_gone;
    const auto advance_to = [&](Ticks at) {
        for (;;) {
            const auto next = std::ranges::min_element(recoveries, {}, &Recovery::at);
            if (next == recoveries.end() || next->at > at) break;
            if (next->at > world.now()) world.advance(next->at - world.now());
            const auto undo = next->undo;
            recoveries.erase(next);
            undo();
        }
        if (at > world.now()) world.advance(at - world.now());
    };
    SimulationCounts extra;
    for (const FaultSchedule::Fault& fault : schedule.faults) {
        advance_to(begun + fault.at);
        ++extra.faults;
        const int a = fault.a % fronts, b = fault.b % fronts;
        const int server = fault.a % schedule.plan.servers;
        const std::string machine = "s" + std::to_string(server);
        const Ticks recover_at = world.now() + fault.span;
        switch (fault.kind) {
        case 0:
            world.cut({a});
            recoveries.push_back({recover_at, [&] { world.heal(); }});
            break;
        case 1:
            world.cut({a, b});
            recoveries.push_back({recover_at, [&] { world.heal(); }});
            break;
        case 2:
            world.cut({a}, false);
            recoveries.push_back({recover_at, [&] { world.heal(); }});
            break;
        case 3:
            world.stall(a, fault.span);
            break;
        case 4: // the leader, so that its job passes to another node before it resumes
            if (world.leader() >= 0) world.stall(world.leader(), fault.span);
            break;
        case 5:
        case 6: {
            const int target = fault.kind == 6 && world.leader() >= 0 ? world.leader() : a;
            world.kill(target);
            world.front(target).failed = true;
            recoveries.push_back(
                {recover_at, [&world, target] { world.front(target).failed = false, world.start(target); }});
            break;
        }
        case 7: // a lost disk or a restored old copy, on one front node at most
            if (!disk_gone.empty() && !disk_gone.contains(a)) break;
            disk_gone.insert(a);
            world.save_disk_copy(a);
            recoveries.push_back({recover_at, [&world, a, b] {
                                      world.kill(a);
                                      world.start(a, b % 2 == 0 ? SimulatedMaintenance::Disk::kLost
                                                                : SimulatedMaintenance::Disk::kOld);
                                  }});
            break;
        case 8: // all front nodes restart at once
            for (int i = 0; i < fronts; ++i) world.kill(i), world.front(i).failed = true;
            recoveries.push_back({world.now() + fault.span / 4, [&world, fronts] {
                                      for (int i = 0; i < fronts; ++i)
                                          world.front(i).failed = false, world.start(i);
                                  }});
            break;
        case 9:
            world.machine(machine).never_drains = true;
            recoveries.push_back(
                {recover_at, [&world, machine] { world.machine(machine).never_drains = false; }});
            break;
        case 10:
            world.machine(machine).never_returns = true;
            recoveries.push_back(
                {recover_at, [&world, machine] { world.machine(machine).never_returns = false; }});
            break;
        case 11:
            if (world.machine(machine).state != SimulatedMachine::State::kServing) break;
            world.kill_machine(machine);
            recoveries.push_back({recover_at, [&world, machine] { world.revive_machine(machine); }});
            break;
        case 12: { // machine controllers reply twice, late or never
            const int mode = fault.b % 3;
            world.reply_delays = [mode](const std::string&) -> std::vector<Ticks> {
                if (mode == 0) return {10, 200};
                if (mode == 1) return {kTicksPerSecond * 3 / 2};
                return {};
            };
            recoveries.push_back({recover_at, [&world] { world.reply_delays = {}; }});
            break;
        }
        default:
            if (fault.b % 2 == 0) {
                world.send_operator_request(a, {{"request", "w" + std::to_string(fault.at)},
                                                {"verb", "withdraw"},
                                                {"machine", machine}});
                break;
            }
            ++held;
            world.send_operator_request(a, {{"request", "h" + std::to_string(fault.at)}, {"verb", "hold"}});
            break;
        }
    }
    advance_to(begun + 20 * kTicksPerSecond);
    while (!recoveries.empty()) advance_to(std::ranges::min_element(recoveries, {}, &Recovery::at)->at);
    world.heal();
    // All faults are over: the operator resumes the schedule, and maintenance must finish.
    int request_number = 0;
    Ticks led_at = world.now();
    const bool finished = world.until(
        [&] {
            if (world.leader() >= 0) led_at = world.now();
            // If one of three voters is out and another has lost its disk, no node may know that the first is
            // out; the operator then brings it back by hand.
            if (world.now() > led_at + 60 * kTicksPerSecond) world.return_front_nodes(), led_at = world.now();
            if (world.schedule().held() && world.leader() >= 0)
                world.send_operator_request(
                    world.leader(),
                    {{"request", "resume" + std::to_string(++request_number)}, {"verb", "resume"}});
            if (world.schedule().jobs().empty() && world.leader() >= 0)
                world.add_maintenance_jobs(world.leader(), ordered,
                                           "first"); // the request was lost and is sent again
            return world.all_jobs_finished();
        },
        400 * kTicksPerSecond);
    FaultScheduleResult result{world.violations(),
                               world.event_log(),
                               world.counts(),
                               world.ended - world.began,
                               world.time_below_min_replicas(),
                               world.failovers};
    result.counts.faults = extra.faults;
    if (!finished) {
        std::string description = "maintenance does not finish:";
        for (const auto& [name, turn] : world.schedule().jobs())
            if (!is_finished(turn.state))
                description += " " + name + " " + to_string(turn.state) + " (" + turn.reason + ", holder " +
                               turn.holder + ")";
        if (world.leader() < 0)
            description += ", no leader";
        else
            description +=
                ", waits: " +
                world.front(world.leader()).node->answer_query({{"verb", "show"}}).value("waits_for", "");
        result.violations.push_back(description);
    }
    return result;
}

FaultSchedule minimize_fault_schedule(const FaultSchedule& schedule) {
    FaultSchedule smallest = schedule;
    for (bool smaller = true; smaller;) {
        smaller = false;
        for (std::size_t i = 0; i < smallest.faults.size(); ++i) {
            FaultSchedule trial = smallest;
            trial.faults.erase(trial.faults.begin() + static_cast<std::ptrdiff_t>(i));
            if (run_fault_schedule(trial).violations.empty()) continue;
            smallest = std::move(trial), smaller = true;
            break;
        }
    }
    return smallest;
}

} // namespace ivyrill::lab
