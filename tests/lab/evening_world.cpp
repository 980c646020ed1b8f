#include "lab/evening_world.hpp"

#include "maintenance/codec.hpp"

#include <algorithm>

namespace ivyrill::lab {

using namespace maintenance;

namespace {

const std::string kSecret = "the secret of a world that is not, thirty-two bytes and more";

std::string name_of(int front) { return "n" + std::to_string(front); }

} // namespace

// ---- machines

MachineStatus HallMachine::act(Tenths now, MachineAction what, FencingToken fence) {
    pass(now);
    if (is == Is::kDead) return MachineStatus::kUnknown;
    if (checks_fence && fence < highest) return MachineStatus::kRefused;
    highest = std::max(highest, fence);
    if (what == MachineAction::kDrain && is == Is::kServing) is = Is::kDraining, since = now;
    if (what == MachineAction::kTakeOut && is == Is::kDrained) is = Is::kWorking, since = now;
    if (what == MachineAction::kBringBack) {
        if (is == Is::kDraining || is == Is::kDrained) is = Is::kServing, since = now;
        if ((is == Is::kWorked || is == Is::kWorking) && !never_back) is = Is::kStarting, since = now;
    }
    pass(now);
    switch (is) {
    case Is::kServing:
        return MachineStatus::kServing;
    case Is::kDraining:
        return MachineStatus::kDraining;
    case Is::kDrained:
        return MachineStatus::kDrained;
    case Is::kWorking:
        return MachineStatus::kWorking;
    case Is::kWorked:
        return MachineStatus::kWorkDone;
    case Is::kStarting:
        return MachineStatus::kStarting;
    case Is::kBroken:
        return MachineStatus::kBroken;
    case Is::kDead:
        break;
    }
    return MachineStatus::kUnknown;
}

void HallMachine::pass(Tenths now) {
    if (is == Is::kDraining && !never_drains && now >= since + drains_for)
        is = Is::kDrained, since += drains_for;
    if (is == Is::kWorking && now >= since + works_for) is = Is::kWorked, since += works_for;
    if (is == Is::kStarting && now >= since + starts_for) {
        is = back_broken ? Is::kBroken : Is::kServing, since += starts_for;
        warm_at = since + warms_for;
    }
}

MachineHealth HallMachine::health(Tenths now) const {
    switch (is) {
    case Is::kServing:
        return now >= warm_at ? MachineHealth::kWarm : MachineHealth::kCold;
    case Is::kDraining:
    case Is::kDrained:
        return MachineHealth::kDraining;
    default:
        return MachineHealth::kGone;
    }
}

// ---- the world

EveningWorld::EveningWorld(const WorldPlan& plan, Planted planted)
    : plan_(plan), planted_(std::move(planted)), chance_(plan.seed), seal_(kSecret) {
    operator_ = std::make_unique<FragmentTransport>("operator", "operator", seal_, 1);
    for (int i = 0; i < plan.servers; ++i) {
        HallMachine made;
        const int cells = std::max(1, plan.servers / plan.replicas);
        made.facts.name = "s" + std::to_string(i);
        made.facts.zone = std::string(1, static_cast<char>('a' + i / cells % plan.zones));
        for (int shard = 0; shard < plan.shards; ++shard)
            if (shard % cells == i % cells) made.facts.shards.push_back(shard);
        const double stretch = plan.shuffled_work ? 0.5 + chance_.unit() : 1;
        made.works_for = static_cast<Tenths>(static_cast<double>(plan.work) * stretch);
        made.drains_for = plan.work / 8, made.starts_for = plan.work / 8, made.warms_for = plan.work / 4;
        made.facts.duration = made.works_for + made.drains_for + made.starts_for + made.warms_for;
        machines_[made.facts.name] = made;
    }
    for (int i = 0; i < plan.fronts; ++i) {
        Front front;
        front.name = name_of(i), front.address = "10.0.0." + std::to_string(i) + ":7";
        front.rate = 1 + plan.clock_error * (2 * chance_.unit() - 1);
        front.offset = static_cast<Tenths>(chance_.unit() * 1000 * kTenthsPerSecond);
        if (i < plan.candidates)
            front.ledger = planted_.ledger ? planted_.ledger() : std::make_shared<InMemoryRaftStore>();
        fronts_.push_back(std::move(front));
        HallMachine made; // front nodes are machines too
        made.facts.name = name_of(i), made.facts.front_node = true;
        made.drains_for = plan.work / 8, made.starts_for = plan.work / 8, made.works_for = plan.work;
        machines_[name_of(i)] = made;
    }
    for (auto& [name, machine] : machines_) machine.checks_fence = !planted_.careless_keepers;
    dues_.resize(fronts_.size());
    for (int i = 0; i < plan.fronts; ++i) start(i);
    story_.clear();
    checked_at_ = now_;
}

void EveningWorld::fail(std::string what) {
    if (said_.insert(what).second) broken_.push_back(std::to_string(now_ / 10) + "ms " + what);
}

int EveningWorld::front_at(const std::string& address) const {
    for (std::size_t i = 0; i < fronts_.size(); ++i)
        if (fronts_[i].address == address) return static_cast<int>(i);
    return -1;
}

void EveningWorld::kill(int i) {
    Front& front = fronts_[i];
    if (!front.warden) return;
    tell("kill " + front.name);
    ++counts_.crashes;
    front.warden.reset();
}

void EveningWorld::start(int i, Disk disk) {
    Front& front = fronts_[i];
    if (front.warden) return;
    tell("start " + front.name +
         (disk == Disk::kLost  ? " without its disk"
          : disk == Disk::kOld ? " with an old disk"
                               : ""));
    if (front.ledger && disk == Disk::kLost) front.ledger->copy_from({});
    if (front.ledger && disk == Disk::kOld && copies_.contains(i)) front.ledger->copy_from(copies_.at(i));
    if (front.ledger && disk != Disk::kKept) front.ledger->verified = false;
    MaintenanceNodeSettings terms;
    terms.name = front.name, terms.address = front.address, terms.secret = kSecret;
    for (int c = 0; c < plan_.candidates; ++c) terms.candidates.push_back({name_of(c), fronts_[c].address});
    if (plan_.candidates == 0) terms.peers = {fronts_[0].address, fronts_[1].address};
    terms.voter_count = plan_.council, terms.limits = plan_.limits, terms.timing = plan_.spans;
    terms.failure_policy = plan_.answers, terms.heartbeat = plan_.heartbeat;
    terms.seed = plan_.seed * 1000 + static_cast<std::uint64_t>(i) + 100 * ++front.starts;
    terms.incarnation = ++front.incarnation;
    terms.replace_voter_after = 15 * kTenthsPerSecond, terms.front_node_duration = plan_.work * 5 / 4;
    if (planted_.terms) planted_.terms(i, terms);
    front.warden = std::make_unique<MaintenanceNode>(terms, front.ledger.get(), clock_of(front), now_);
    front.warden->on_committed = [this, i](const Command& command, const CommandResult& verdict) {
        const MaintenanceSchedule& state =
            fronts_[i].warden->consensus()->schedule(); // seated or not, as it applies it
        const std::string words = describe(command) + (verdict.accepted ? "" : " (refused)");
        const auto [place, fresh] = agreed_.emplace(state.applied_commands(), words);
        if (!fresh && place->second != words)
            fail("two orders: " + place->second + " and " + words + " at " +
                 std::to_string(state.applied_commands()));
        if (!fresh || !verdict.accepted) return;
        const auto* grant = std::get_if<GrantLease>(&command);
        if (grant != nullptr && state.job(grant->machine)->state == JobState::kGranted &&
            state.job(grant->machine)->reason == "granted") {
            std::set<std::string> out = state.machines_out();
            const Constraints room(state.limits(), state.fleet(), state.voters());
            for (const std::string& machine : out) {
                std::set<std::string> others = out;
                others.erase(machine);
                if (const std::string why = room.violation(machine, others); !why.empty())
                    fail("out together: " + machine + ": " + why);
            }
        }
        if (const auto* move = std::get_if<AdvanceJob>(&command);
            move != nullptr && move->to == JobState::kDone)
            ++counts_.turns_done, ended = now_;
    };
    front.stalled_until = front.list_at = 0;
    dues_[i] = now_;
    tell_list(i);
}

void EveningWorld::keep_copy(int i) {
    if (fronts_[i].ledger) copies_[i] = *fronts_[i].ledger;
}

void EveningWorld::stall(int i, Tenths span) {
    tell("stall " + fronts_[i].name + " for " + std::to_string(span / 10) + "ms");
    fronts_[i].stalled_until = now_ + span;
}

void EveningWorld::cut(std::set<int> one_side, bool both_ways) {
    std::string words;
    for (const int i : one_side) words += " " + name_of(i);
    tell("cut" + words + (both_ways ? "" : " one way"));
    for (int a = 0; a < plan_.fronts; ++a)
        for (int b = 0; b < plan_.fronts; ++b)
            if (one_side.contains(a) && !one_side.contains(b)) {
                cuts_.insert({a, b});
                if (both_ways) cuts_.insert({b, a});
            }
}

void EveningWorld::heal() {
    tell("heal");
    cuts_.clear();
    drops = {};
}

void EveningWorld::kill_machine(const std::string& name) {
    tell("machine " + name + " dies");
    machines_.at(name).is = HallMachine::Is::kDead;
}

void EveningWorld::revive_machine(const std::string& name) {
    HallMachine& machine = machines_.at(name);
    if (machine.is != HallMachine::Is::kDead && machine.is != HallMachine::Is::kBroken) return;
    tell("machine " + name + " is back");
    machine.is = HallMachine::Is::kServing, machine.since = now_, machine.warm_at = now_ + machine.warms_for;
    machine.back_broken = machine.never_back = machine.never_drains = false;
}

void EveningWorld::bring_back_fronts() {
    for (auto& [name, machine] : machines_) {
        if (!machine.facts.front_node || machine.serves()) continue;
        tell("the operator brings back " + name);
        machine.is = HallMachine::Is::kStarting, machine.since = now_;
    }
}

void EveningWorld::tell_list(int i) {
    Front& front = fronts_[i];
    if (!front.warden || now_ < front.list_at) return;
    front.list_at = now_ + kTenthsPerSecond / 10;
    std::map<std::string, ObservedMachine> servers;
    for (auto& [name, machine] : machines_) {
        if (machine.facts.front_node) continue;
        MachineHealth health = machine.health(now_);
        if (plan_.list_age > 0) { // as it was some time ago
            auto& past = healths_[name];
            const Tenths then =
                now_ - static_cast<Tenths>(chance_.unit() * static_cast<double>(plan_.list_age));
            for (const auto& [at, was] : past)
                if (at <= then) health = was;
        }
        servers[name] = {machine.facts, health};
    }
    front.warden->update_servers(servers, 0);
}

void EveningWorld::carry(int i) {
    Front& front = fronts_[i];
    for (MaintenanceEffect& effect : front.warden->take_effects()) {
        if (auto* sent = std::get_if<SendDatagram>(&effect)) {
            ++counts_.datagrams, counts_.bytes += sent->bytes.size() + 28;
            if (sent->bytes.size() > membership::kMaxDatagramBytes) fail("a datagram is too long");
            const int to = front_at(sent->address);
            if (to < 0) {
                if (sent->address == "operator") operator_hears(sent->bytes);
                continue;
            }
            const bool cut = cuts_.contains({i, to}) || (drops && drops(i, to));
            if (cut || chance_.unit() < plan_.loss) {
                ++counts_.lost;
                continue;
            }
            const int copies = chance_.unit() < plan_.doubled ? 2 : 1;
            for (int c = 0; c < copies; ++c)
                flights_.push(
                    {now_ + plan_.least_delay +
                         static_cast<Tenths>(chance_.unit() *
                                             static_cast<double>(plan_.most_delay - plan_.least_delay)),
                     ++order_, to, i, front.address, sent->bytes});
        } else if (const auto* line = std::get_if<LogLine>(&effect)) {
            if (on_line) on_line(i, *line);
        } else if (auto* act = std::get_if<MachineCommand>(&effect)) {
            ++counts_.acts;
            if (act->action != MachineAction::kQueryState && act->action != MachineAction::kBringBack &&
                !front.warden->executor().holds_lease(act->machine, clock_of(front)))
                fail(front.name + " acts on " + act->machine + " without holding it");
            errands_.push({now_ + 10, ++order_, i, front.starts, *act});
        }
    }
    dues_[i] = std::max(now_, world_time(front, front.warden->next_step()));
}

void EveningWorld::check() {
    if (now_ < checked_at_ + kTenthsPerSecond / 50) return;
    // No two hold one machine at a time, each by its own clock.
    std::map<std::string, std::string> holders;
    for (Front& front : fronts_) {
        if (!front.warden) continue;
        for (const auto& [name, turn] : front.warden->schedule().jobs()) {
            if (!front.warden->executor().holds_lease(name, clock_of(front))) continue;
            const auto [place, fresh] = holders.emplace(name, front.name);
            if (!fresh) fail("two holders of " + name + ": " + place->second + " and " + front.name);
        }
    }
    // What is out by plan leaves every shard its number.
    std::map<int, int> sound;
    int voters_out = 0;
    const std::set<std::string>& voters = evening().voters();
    for (auto& [name, machine] : machines_) {
        machine.pass(now_);
        const bool planned = machine.is == HallMachine::Is::kWorking ||
                             machine.is == HallMachine::Is::kWorked ||
                             machine.is == HallMachine::Is::kStarting;
        for (const int shard : machine.facts.shards) sound[shard] += planned ? 0 : 1;
        voters_out += planned && voters.contains(name) ? 1 : 0;
    }
    for (const auto& [shard, count] : sound) {
        if (count >= plan_.limits.min_replicas) continue;
        under_floor_ += now_ - checked_at_;
        fail("shard " + std::to_string(shard) + " has " + std::to_string(count) + " replicas left by plan");
    }
    if (!voters.empty() && voters_out > static_cast<int>(voters.size() - 1) / 2)
        fail("the council's majority is out");
    checked_at_ = now_;
    const bool led = leader() >= 0;
    if (led && leaderless_ && led_at_ != 0) failovers.push_back(now_ - led_at_);
    if (led) led_at_ = now_;
    leaderless_ = !led;
}

int EveningWorld::leader() const {
    int best = -1;
    std::uint64_t term = 0;
    for (std::size_t i = 0; i < fronts_.size(); ++i) {
        const Front& front = fronts_[i];
        if (!front.warden || front.warden->consensus() == nullptr || !front.warden->consensus()->is_leader())
            continue;
        if (now_ < front.stalled_until) continue;
        if (best < 0 || front.warden->consensus()->term() > term)
            best = static_cast<int>(i), term = front.warden->consensus()->term();
    }
    return best;
}

void EveningWorld::pass(Tenths span) {
    const Tenths end = now_ + span;
    for (;;) {
        Tenths at = end;
        int turn = -1;
        for (std::size_t i = 0; i < fronts_.size(); ++i) {
            if (!fronts_[i].warden) continue;
            const Tenths due = std::max(dues_[i], fronts_[i].stalled_until);
            if (due < at) at = std::max(now_, due), turn = static_cast<int>(i);
        }
        const Tenths flight_at = flights_.empty() ? end : flights_.top().at;
        const Tenths errand_at = errands_.empty() ? end : errands_.top().at;
        if (errand_at <= at && errand_at <= flight_at && !errands_.empty() && errand_at < end) {
            Errand errand = errands_.top();
            errands_.pop();
            now_ = std::max(now_, errand.at);
            Front& front = fronts_[errand.front];
            if (errand.answer) {
                if (!front.warden || front.starts != errand.life) continue;
                if (now_ < front.stalled_until) {
                    errand.at = front.stalled_until, errands_.push(errand);
                    continue;
                }
                front.warden->on_machine_status(clock_of(front), errand.act.serial, errand.act.machine,
                                                errand.kept);
                dues_[errand.front] = now_;
                continue;
            }
            HallMachine& machine = machines_.at(errand.act.machine);
            const FencingToken before = machine.highest;
            const HallMachine::Is was = machine.is;
            errand.kept = machine.act(now_, errand.act.action, errand.act.fence);
            if (errand.kept == MachineStatus::kRefused)
                ++counts_.refused_acts;
            else
                ++counts_.accepted;
            if (errand.act.fence < before && machine.is != was)
                fail("a stale act was accepted: " + std::string(to_string(errand.act.action)) + " of " +
                     errand.act.machine);
            if (machine.facts.front_node) { // its process goes and comes with it
                const int own = std::stoi(errand.act.machine.substr(1));
                if (machine.is == HallMachine::Is::kWorking && fronts_[own].warden) kill(own);
                if (machine.is == HallMachine::Is::kStarting && was != machine.is)
                    fronts_[own].failed = false;
            }
            errand.answer = true;
            std::vector<Tenths> late{10};
            if (answers_as) late = answers_as(errand.act.machine);
            for (const Tenths by : late)
                errand.at = now_ + by, errand.order = ++order_, errands_.push(errand);
            continue;
        }
        if (!flights_.empty() && flight_at <= at && flight_at < end) {
            const Flight flight = flights_.top();
            flights_.pop();
            now_ = std::max(now_, flight.at);
            Front& front = fronts_[flight.to];
            if (!front.warden) continue;
            if (now_ < front.stalled_until) { // the system keeps it for a while
                Flight later = flight;
                later.at = front.stalled_until, flights_.push(later);
                continue;
            }
            front.warden->receive(clock_of(front), flight.address, flight.bytes);
            carry(flight.to);
            continue;
        }
        now_ = std::max(now_, at);
        if (turn < 0) break;
        for (auto& [name, machine] : machines_) {
            machine.pass(now_);
            if (plan_.list_age > 0) {
                auto& past = healths_[name];
                if (past.empty() || past.back().second != machine.health(now_))
                    past.emplace_back(now_, machine.health(now_));
                if (past.size() > 64) past.pop_front();
            }
            if (!machine.facts.front_node || machine.is != HallMachine::Is::kServing) continue;
            const int own = std::stoi(name.substr(1));
            if (!fronts_[own].warden && !fronts_[own].failed)
                start(own, Disk::kRebooted); // its machine is back
        }
        tell_list(turn);
        fronts_[turn].warden->step(clock_of(fronts_[turn]), now_);
        carry(turn);
        check();
    }
    now_ = end;
    check();
}

bool EveningWorld::until(const std::function<bool()>& holds, Tenths bound) {
    const Tenths end = now_ + bound;
    while (!holds()) {
        if (now_ >= end) return false;
        pass(kTenthsPerSecond / 5);
    }
    return true;
}

const MaintenanceSchedule& EveningWorld::evening() const {
    const MaintenanceSchedule* best = nullptr;
    for (const Front& front : fronts_)
        if (front.warden &&
            (best == nullptr || front.warden->schedule().applied_commands() > best->applied_commands()))
            best = &front.warden->schedule();
    static const MaintenanceSchedule none;
    return best == nullptr ? none : *best;
}

std::size_t EveningWorld::count(JobState state) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(evening().jobs(), [&](auto& held) { return held.second.state == state; }));
}

std::set<std::string> EveningWorld::machines_out() const {
    std::set<std::string> names;
    for (const auto& [name, machine] : machines_)
        if (!machine.serves()) names.insert(name);
    return names;
}

bool EveningWorld::all_over() const { return !evening().jobs().empty() && evening().open_jobs() == 0; }

nlohmann::json EveningWorld::ask(int i, nlohmann::json what) {
    what["wall"] = static_cast<std::uint64_t>(now_), what["by"] = "the operator";
    operator_->send(now_, fronts_[i].address, MessageKind::kOperatorRequest, codec::pack_cbor(what));
    for (OutboundDatagram& sealed : operator_->take_datagrams())
        flights_.push({now_ + 1, ++order_, i, -1, "operator", std::move(sealed.bytes)});
    return what;
}

void EveningWorld::order(int i, const std::vector<std::string>& machines, const std::string& request) {
    if (began == 0) began = now_;
    std::string words;
    for (const std::string& machine : machines) words += " " + machine;
    tell("order at " + name_of(i) + ":" + words);
    ask(i, {{"request", request}, {"verb", "add"}, {"machines", machines}});
}

void EveningWorld::operator_hears(const std::string& bytes) {
    const auto parcel = operator_->receive(now_, bytes);
    if (!parcel || parcel->kind != MessageKind::kOperatorReply) return;
    const auto row = nlohmann::json::from_cbor(parcel->bytes.begin(), parcel->bytes.end());
    answers[row[0].get<std::string>()] = {row[1].get<bool>(), row[2].get<std::string>()};
}

// ---- schedules

Schedule draw_schedule(std::uint64_t seed) {
    Schedule made;
    Pcg chance(seed * 7919 + 17);
    const auto below = [&](int count) { return static_cast<int>(chance.unit() * count); };
    WorldPlan& plan = made.plan;
    plan.seed = seed;
    plan.council = below(2) == 0 ? 3 : 5;
    plan.candidates = static_cast<int>(plan.council) + below(2);
    plan.fronts = plan.candidates + below(3);
    plan.replicas = 3, plan.servers = 6 + 3 * below(2), plan.shards = 4 + below(3), plan.zones = 1 + below(3);
    plan.loss = below(3) == 0 ? 0.1 * chance.unit() : 0.01;
    plan.doubled = 0.05, plan.clock_error = 0.01 * chance.unit();
    plan.list_age = below(2) * kTenthsPerSecond;
    plan.work = (1 + below(3)) * kTenthsPerSecond;
    plan.heartbeat = kTenthsPerSecond / 3;
    const int count = 2 + below(7);
    for (int i = 0; i < count; ++i)
        made.faults.push_back({static_cast<Tenths>(chance.unit() * 20 * kTenthsPerSecond), below(14),
                               below(1000), below(1000),
                               static_cast<Tenths>((0.5 + 8 * chance.unit()) * kTenthsPerSecond)});
    std::ranges::stable_sort(made.faults, {}, &Schedule::Fault::at);
    return made;
}

ScheduleResult play(const Schedule& schedule, const Planted& planted) {
    EveningWorld world(schedule.plan, planted);
    const int fronts = schedule.plan.fronts;
    world.until([&] { return world.leader() >= 0; }, 30 * kTenthsPerSecond);
    world.until([&] { return !world.evening().fleet().empty(); }, 30 * kTenthsPerSecond);
    std::vector<std::string> ordered;
    for (const auto& [name, machine] : world.machines())
        if (!machine.facts.front_node) ordered.push_back(name);
    for (int i = 0; i < fronts; ++i)
        if (i % 3 == 0) ordered.push_back("n" + std::to_string(i));
    world.order(static_cast<int>(schedule.plan.seed % static_cast<std::uint64_t>(fronts)), ordered, "first");
    const Tenths begun = world.now();
    struct Ends {
        Tenths at;
        std::function<void()> undo;
    };
    std::vector<Ends> ends;
    int held = 0;
    std::set<int> disk_gone;
    const auto pass_to = [&](Tenths at) {
        for (;;) {
            const auto next = std::ranges::min_element(ends, {}, &Ends::at);
            if (next == ends.end() || next->at > at) break;
            if (next->at > world.now()) world.pass(next->at - world.now());
            const auto undo = next->undo;
            ends.erase(next);
            undo();
        }
        if (at > world.now()) world.pass(at - world.now());
    };
    WorldCounts extra;
    for (const Schedule::Fault& fault : schedule.faults) {
        pass_to(begun + fault.at);
        ++extra.faults;
        const int a = fault.a % fronts, b = fault.b % fronts;
        const int server = fault.a % schedule.plan.servers;
        const std::string machine = "s" + std::to_string(server);
        const Tenths over = world.now() + fault.span;
        switch (fault.kind) {
        case 0:
            world.cut({a});
            ends.push_back({over, [&] { world.heal(); }});
            break;
        case 1:
            world.cut({a, b});
            ends.push_back({over, [&] { world.heal(); }});
            break;
        case 2:
            world.cut({a}, false);
            ends.push_back({over, [&] { world.heal(); }});
            break;
        case 3:
            world.stall(a, fault.span);
            break;
        case 4: // the leader, so that its turn goes to another before it wakes
            if (world.leader() >= 0) world.stall(world.leader(), fault.span);
            break;
        case 5:
        case 6: {
            const int who = fault.kind == 6 && world.leader() >= 0 ? world.leader() : a;
            world.kill(who);
            world.front(who).failed = true;
            ends.push_back({over, [&world, who] { world.front(who).failed = false, world.start(who); }});
            break;
        }
        case 7: // its disk is lost, or an old one comes back: one front node's at most
            if (!disk_gone.empty() && !disk_gone.contains(a)) break;
            disk_gone.insert(a);
            world.keep_copy(a);
            ends.push_back({over, [&world, a, b] {
                                world.kill(a);
                                world.start(a, b % 2 == 0 ? EveningWorld::Disk::kLost
                                                          : EveningWorld::Disk::kOld);
                            }});
            break;
        case 8: // all restarted, in one instant
            for (int i = 0; i < fronts; ++i) world.kill(i), world.front(i).failed = true;
            ends.push_back({world.now() + fault.span / 4, [&world, fronts] {
                                for (int i = 0; i < fronts; ++i)
                                    world.front(i).failed = false, world.start(i);
                            }});
            break;
        case 9:
            world.machine(machine).never_drains = true;
            ends.push_back({over, [&world, machine] { world.machine(machine).never_drains = false; }});
            break;
        case 10:
            world.machine(machine).never_back = true;
            ends.push_back({over, [&world, machine] { world.machine(machine).never_back = false; }});
            break;
        case 11:
            if (world.machine(machine).is != HallMachine::Is::kServing) break;
            world.kill_machine(machine);
            ends.push_back({over, [&world, machine] { world.revive_machine(machine); }});
            break;
        case 12: { // keepers answer twice, late or never
            const int how = fault.b % 3;
            world.answers_as = [how](const std::string&) -> std::vector<Tenths> {
                if (how == 0) return {10, 200};
                if (how == 1) return {kTenthsPerSecond * 3 / 2};
                return {};
            };
            ends.push_back({over, [&world] { world.answers_as = {}; }});
            break;
        }
        default:
            if (fault.b % 2 == 0) {
                world.ask(a, {{"request", "w" + std::to_string(fault.at)},
                              {"verb", "withdraw"},
                              {"machine", machine}});
                break;
            }
            ++held;
            world.ask(a, {{"request", "h" + std::to_string(fault.at)}, {"verb", "hold"}});
            break;
        }
    }
    pass_to(begun + 20 * kTenthsPerSecond);
    while (!ends.empty()) pass_to(std::ranges::min_element(ends, {}, &Ends::at)->at);
    world.heal();
    // Whatever stopped the evening is over: the operator lets it go on, and it ends.
    int nth = 0;
    Tenths led_at = world.now();
    const bool over = world.until(
        [&] {
            if (world.leader() >= 0) led_at = world.now();
            // Of three voters one is out and one has lost its disk: nobody may know any more that the first
            // is out, and the operator brings it back by hand.
            if (world.now() > led_at + 60 * kTenthsPerSecond) world.bring_back_fronts(), led_at = world.now();
            if (world.evening().held() && world.leader() >= 0)
                world.ask(world.leader(),
                          {{"request", "resume" + std::to_string(++nth)}, {"verb", "resume"}});
            if (world.evening().jobs().empty() && world.leader() >= 0)
                world.order(world.leader(), ordered, "first"); // it was lost: the operator asks again
            return world.all_over();
        },
        400 * kTenthsPerSecond);
    ScheduleResult result{world.broken(),      world.story(),  world.counts(), world.ended - world.began,
                          world.under_floor(), world.failovers};
    result.counts.faults = extra.faults;
    if (!over) {
        std::string words = "the evening does not end:";
        for (const auto& [name, turn] : world.evening().jobs())
            if (!is_finished(turn.state))
                words += " " + name + " " + to_string(turn.state) + " (" + turn.reason + ", holder " +
                         turn.holder + ")";
        if (world.leader() < 0)
            words += ", nobody leads";
        else
            words +=
                ", waits: " +
                world.front(world.leader()).warden->answer_query({{"verb", "show"}}).value("waits_for", "");
        result.broken.push_back(words);
    }
    return result;
}

Schedule shrink(const Schedule& schedule) {
    Schedule least = schedule;
    for (bool smaller = true; smaller;) {
        smaller = false;
        for (std::size_t i = 0; i < least.faults.size(); ++i) {
            Schedule trial = least;
            trial.faults.erase(trial.faults.begin() + static_cast<std::ptrdiff_t>(i));
            if (play(trial).broken.empty()) continue;
            least = std::move(trial), smaller = true;
            break;
        }
    }
    return least;
}

} // namespace ivyrill::lab
