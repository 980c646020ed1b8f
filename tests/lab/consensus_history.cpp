// The random part of a seeded history: client operations, faults, and a fault-free period at the end.
#include "lab/consensus_world.hpp"

#include <algorithm>
#include <array>
#include <limits>

namespace ivyrill::lab {

using namespace consensus;

namespace {

constexpr Ticks kFaultsFrom = 2 * kTicksPerSecond, kFaultsFor = 16 * kTicksPerSecond;
constexpr Ticks kCalm = 6 * kTicksPerSecond, kNewWriteWithin = kTicksPerSecond;
constexpr Ticks kMostClientPause = 800;
constexpr std::array<Ticks, 4> kMostFaultPauses{4000, 12000, 30000, 80000}; // drawn once for each history
constexpr Ticks kCountedLost = 4 * kTicksPerSecond; // after the replacement of a lost disk has started
constexpr Ticks kNever = std::numeric_limits<Ticks>::max();
constexpr double kVoterCrashProbability = 0.4, kSplitAtChangeProbability = 0.5,
                 kLeaderCrashProbability = 0.01;
constexpr Ticks kMostTargetedFaultDelay = 30, kMostLinkCut = 6 * kTicksPerSecond;
constexpr std::array<double, 3> kTargetedFaultRates{0, 0.3, 1}; // multipliers of the rate
constexpr int kFaultKinds = 15;
constexpr Ticks kSlowStore = 2000; // 200 ms
constexpr std::size_t kClients = 3;

} // namespace

void ConsensusWorld::play() {
    known_.assign(kClients, 0);
    faults_until_ = kFaultsFrom + kFaultsFor;
    most_fault_pause_ = kMostFaultPauses[index(any(static_cast<int>(kMostFaultPauses.size())))];
    for (int kind = 0; kind < kFaultKinds;
         ++kind) // restricting each history to a few fault kinds makes histories differ more
        if (chance(0.5)) fault_kinds_.push_back(kind);
    if (fault_kinds_.empty()) fault_kinds_.push_back(any(kFaultKinds));
    targeted_fault_rate_ = kTargetedFaultRates[index(any(static_cast<int>(kTargetedFaultRates.size())))];
    schedule(kTicksPerSecond, [this] { clients_act(); });
    schedule(kFaultsFrom, [this] { fault(); });
    schedule(kFaultsFrom, [this] { vary_network_behavior(); });
    run_for(faults_until_);
    heal();
    run_for(kCalm);
    check_calm();
}

std::optional<int> ConsensusWorld::pick_running() {
    std::vector<int> up;
    for (int i = 0; i < size(); ++i)
        if (is_up(i)) up.push_back(i);
    if (up.empty()) return std::nullopt;
    return up[index(any(static_cast<int>(up.size())))];
}

// Some clients ask any machine that claims to lead, including an isolated one; others ask any machine.
void ConsensusWorld::clients_act() {
    schedule(now_ + between(10, kMostClientPause), [this] { clients_act(); });
    std::vector<int> leading;
    for (int i = 0; i < size(); ++i)
        if (is_up(i) && replica(i).leads()) leading.push_back(i);
    std::optional<int> asked = pick_running();
    if (!leading.empty() && chance(0.9)) asked = leading[index(any(static_cast<int>(leading.size())))];
    if (!asked) return;
    const int machine = *asked;
    std::uint64_t& known = known_[index(any(kClients))];
    std::optional<std::uint64_t> expected;
    if (chance(0.5)) expected = known;
    const bool reads = chance(0.4);
    if (chance(0.5)) known = highest_seen_;
    const int writes = reads ? 0 : 1 + any(3);
    act_on(machine, at(machine).incarnation, [=, this](Replica&) {
        if (reads) read(machine);
        for (int i = 0; i < writes; ++i) write(machine, i == 0 ? expected : std::nullopt);
    });
}

// The network's default behavior changes from time to time.
void ConsensusWorld::vary_network_behavior() {
    if (now_ >= faults_until_) return;
    schedule(now_ + between(kTicksPerSecond / 2, 3 * kTicksPerSecond), [this] { vary_network_behavior(); });
    network_ = {};
    if (chance(0.4)) network_.loss = 0.2 * random_.unit();
    if (chance(0.4)) network_.doubled = 0.3 * random_.unit();
    if (chance(0.4)) network_.late = 0.2 * random_.unit();
    if (chance(0.2)) network_.most_delay = 500;
    if (chance(0.2)) network_.most_late = 20000;
    if (chance(0.2)) network_.most_store = kSlowStore;
}

int ConsensusWorld::victim() {
    const auto leading = leader();
    if (leading && chance(0.5)) return *leading;
    int machine = any(size());
    while (at(machine).is_gone) machine = any(size());
    return machine;
}

void ConsensusWorld::fault() {
    if (now_ >= faults_until_) return;
    schedule(now_ + between(100, most_fault_pause_), [this] { fault(); });
    ++counts_.faults;
    fault_on(victim());
}

void ConsensusWorld::maybe_inject_fault(double share) {
    if (now_ < kFaultsFrom || now_ >= faults_until_ || !chance(share * targeted_fault_rate_)) return;
    for (int left = 1 + any(3); left > 0; --left)
        schedule(now_ + between(0, kMostTargetedFaultDelay), [this] {
            ++counts_.faults;
            if (chance(0.2))
                kill_while_storing();
            else if (chance(0.3))
                partition();
            else
                fault_on(victim());
        });
}

// Power fails right after the machine has voted for another member.
void ConsensusWorld::crash_voter(int machine) {
    if (now_ < kFaultsFrom || now_ >= faults_until_ || !chance(kVoterCrashProbability * targeted_fault_rate_))
        return;
    ++counts_.faults;
    const int incarnation = at(machine).incarnation;
    schedule(now_ + between(0, kMostTargetedFaultDelay), [this, machine, incarnation] {
        if (at(machine).incarnation != incarnation) return;
        crash(machine, false);
        schedule(now_ + between(1, 50), [this, machine] { start(machine); });
    });
}

// The leader of a membership change is isolated together with the joining members, before any other member
// has received it.
void ConsensusWorld::split_at_change(int machine, const std::vector<Member>& before,
                                     const std::vector<Member>& after) {
    if (now_ < kFaultsFrom || now_ >= faults_until_ ||
        !chance(kSplitAtChangeProbability * targeted_fault_rate_))
        return;
    const auto joins = [&](const Machine& m) {
        const auto is_it = [&](const Member& voter) { return voter.id == m.id; };
        return std::ranges::any_of(after, is_it) && std::ranges::none_of(before, is_it);
    };
    std::vector<std::pair<int, int>> links;
    const auto inside = [&](int which) { return which == machine || joins(at(which)); };
    for (int from = 0; from < size(); ++from)
        for (int to = 0; to < size(); ++to)
            if (inside(from) != inside(to)) links.emplace_back(from, to);
    record_event("split at a change by " + std::to_string(machine));
    ++counts_.faults;
    cut_until(std::min(now_ + between(kTicksPerSecond, 4 * kTicksPerSecond), faults_until_), links);
}

// The leader crashes as soon as its own disk holds a new entry that no other member has received.
void ConsensusWorld::crash_leader_holding_entry(int machine) {
    if (now_ < kFaultsFrom || now_ >= faults_until_ ||
        !chance(kLeaderCrashProbability * targeted_fault_rate_))
        return;
    std::vector<std::pair<int, int>> links;
    for (int other = 0; other < size(); ++other)
        if (other != machine) links.emplace_back(machine, other);
    record_event("crash leader holding a new entry: " + std::to_string(machine));
    ++counts_.faults;
    cut_until(now_ + 10, links);
    const Ticks back_at = std::min(now_ + between(kTicksPerSecond / 2, 3 * kTicksPerSecond), faults_until_);
    schedule_on(machine, now_, [this, machine, back_at](Replica&) { // its current actions come first
        schedule(now_, [this, machine] { crash(machine, true); });
        schedule(back_at, [this, machine] { start(machine); });
    });
}

// Two members that cannot reach each other both detect that the leader is silent, while disks are slow.
void ConsensusWorld::provoke_rival_candidates() {
    const int one = any(size()), other = any(size());
    if (one == other) return;
    record_event("rival candidates " + std::to_string(one) + " and " + std::to_string(other));
    cut_until(std::min(now_ + 2 * kTicksPerSecond, faults_until_), {{one, other}, {other, one}});
    network_.most_store = kSlowStore;
    for (int i = 0; i < size(); ++i) {
        if (i == one || i == other || !is_up(i)) continue;
        crash(i);
        schedule(now_ + between(10, 1000), [this, i] { start(i); });
    }
}

// Crashes a machine whose disk is writing, if there is one; it restarts before the others have noticed.
void ConsensusWorld::kill_while_storing() {
    std::vector<int> storing;
    for (int i = 0; i < size(); ++i)
        if (is_up(i) && at(i).disk.pending) storing.push_back(i);
    if (storing.empty()) return;
    const int machine = storing[index(any(static_cast<int>(storing.size())))];
    crash(machine, false);
    schedule(now_ + between(1, 50), [this, machine] { start(machine); });
}

void ConsensusWorld::fault_on(int machine) {
    const Ticks span = chance(0.7) ? between(300, 2 * kTicksPerSecond) : between(300, 5 * kTicksPerSecond);
    const Ticks over = std::min(now_ + span, faults_until_);
    const auto later_start = [this](int which, Ticks when) {
        schedule(when, [this, which] { start(which); });
    };
    switch (fault_kinds_[index(any(static_cast<int>(fault_kinds_.size())))]) {
    case 0:
    case 1: { // one link, one way
        const int other = any(size());
        if (other == machine) break;
        record_event("cut " + std::to_string(machine) + " to " + std::to_string(other));
        cut_until(std::min(now_ + between(300, kMostLinkCut), faults_until_), {{machine, other}});
        break;
    }
    case 2: { // all links, one way or both
        const bool out = chance(0.7), in = !out || chance(0.6);
        record_event("isolate " + std::to_string(machine) + (out ? " out" : "") + (in ? " in" : ""));
        std::vector<std::pair<int, int>> links;
        for (int other = 0; other < size(); ++other) {
            if (other == machine) continue;
            if (out) links.emplace_back(machine, other);
            if (in) links.emplace_back(other, machine);
        }
        cut_until(over, links);
        break;
    }
    case 3:
        partition();
        break;
    case 4:
        crash(machine);
        later_start(machine, over);
        break;
    case 5: // killed and restarted at once
        crash(machine);
        later_start(machine, now_ + between(10, 1000));
        break;
    case 6:
        if (chance(0.3)) {
            for (int i = 0; i < size(); ++i) {
                crash(i);
                if (!at(i).is_gone) later_start(i, now_ + between(10, kTicksPerSecond));
            }
        } else {
            const int other = any(size());
            for (const int which : {machine, other}) {
                crash(which);
                later_start(which, now_ + between(10, kTicksPerSecond));
            }
        }
        break;
    case 7:
        lose_disk(machine, chance(0.5));
        break;
    case 8:
        record_event("stall disk of " + std::to_string(machine));
        stall_disk(machine, over - now_);
        break;
    case 9:
        record_event("fill disk of " + std::to_string(machine));
        fill_disk(machine, over - now_);
        break;
    case 10:
        kill_while_storing();
        break;
    case 11:
        provoke_rival_candidates();
        break;
    case 14:
        partition();
        break;
    case 12:
        record_event("freeze " + std::to_string(machine));
        freeze(machine, over - now_);
        break;
    default:
        if (!is_up(machine)) break;
        record_event("resign " + std::to_string(machine));
        resign(machine);
        schedule_on(machine, now_ + between(300, 3000), [this, machine](Replica&) {
            schedule(now_, [this, machine] {
                crash(machine);
                schedule(now_ + between(300, 5000), [this, machine] { start(machine); });
            });
        });
    }
}

void ConsensusWorld::partition() {
    std::vector<bool> side;
    side.reserve(machines_.size());
    for (int i = 0; i < size(); ++i) side.push_back(chance(0.5));
    std::vector<std::pair<int, int>> links;
    for (int from = 0; from < size(); ++from)
        for (int to = 0; to < size(); ++to)
            if (side[index(from)] != side[index(to)]) links.emplace_back(from, to);
    record_event("partition");
    cut_until(std::min(now_ + between(1000, 3 * kTicksPerSecond), faults_until_), links);
}

void ConsensusWorld::cut_until(Ticks over, const std::vector<std::pair<int, int>>& links) {
    for (const auto& [from, to] : links) cut(from, to);
    schedule(over, [this, links] {
        for (const auto& [from, to] : links) cut(from, to, false);
    });
}

std::size_t ConsensusWorld::counted_lost() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(counted_lost_until_, [&](Ticks until) { return now_ < until; }));
}

// Whether losing this machine stays within the group's fault tolerance: fewer than half of the members count
// as lost, and no voter set held by any machine has lost half or more of its voters.
bool ConsensusWorld::may_lose(int machine) const {
    if (counted_lost() + 1 > index(plan_.members - 1) / 2) return false;
    const auto is_lost = [&](const Member& voter) {
        return voter.id == machines_[index(machine)].id || std::ranges::find(lost_, voter.id) != lost_.end();
    };
    const auto is_kept = [&](const std::vector<Member>& voters) {
        const auto lost = static_cast<std::size_t>(std::ranges::count_if(voters, is_lost));
        return voters.empty() || lost <= (voters.size() - 1) / 2;
    };
    const auto keeps = [&](const std::optional<Entry>& entry) {
        return !entry || (is_kept(entry->voters) && is_kept(entry->former_voters));
    };
    return std::ranges::all_of(machines_, [&](const Machine& m) {
        if (m.is_gone) return true;
        const bool pending_keeps = !m.disk.pending || keeps(m.disk.pending->state.entry);
        return keeps(m.disk.state.entry) && pending_keeps && (!m.replica || keeps(m.replica->newest()));
    });
}

void ConsensusWorld::lose_disk(int machine, bool with_machine) {
    if (!may_lose(machine)) return;
    const Ticks back_at = std::min(now_ + between(10, 2 * kTicksPerSecond), faults_until_);
    int successor = machine;
    if (with_machine)
        successor = replace(machine);
    else
        wipe(machine);
    const std::size_t number = counted_lost_until_.size();
    counted_lost_until_.push_back(kNever);
    schedule(back_at, [this, successor, number] {
        start(successor);
        counted_lost_until_[number] = now_ + kCountedLost;
    });
}

void ConsensusWorld::heal() {
    record_event("calm");
    network_ = {};
    for (auto& row : cut_) std::fill(row.begin(), row.end(), 0);
    for (int i = 0; i < size(); ++i) {
        Machine& m = at(i);
        m.disk.stalled_until = m.disk.full_until = m.frozen_until = now_;
        if (m.replica && m.disk.pending) {
            const StoreTicket ticket = m.disk.pending->ticket;
            schedule_on(i, now_, [this, i, ticket](Replica&) { finish_store(i, ticket); });
        }
        start(i);
    }
}

void ConsensusWorld::check_calm() {
    const auto agreed = [this] { return agrees(); };
    if (!run_until(agreed, kNewWriteWithin)) return report_violation("no agreement after the faults ended");
    for (int i = 0; i < size(); ++i)
        if (is_up(i) && durable(i).entry->stamp != replica(i).newest()->stamp &&
            !run_until([&] { return durable(i).entry->stamp == replica(i).newest()->stamp; },
                       kNewWriteWithin))
            report_violation("machine " + std::to_string(i) + " has not made the agreed value durable");
    const std::size_t number = write(*leader());
    const auto acknowledged = [&] { return state_of(number) == WriteState::kAcknowledged; };
    if (!run_until(acknowledged, kNewWriteWithin))
        report_violation("a new write does not commit after the faults ended");
}

} // namespace ivyrill::lab
