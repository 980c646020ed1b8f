// What happens by itself in a history drawn from a seed: clients, faults, and calm at the end.
#include "lab/consensus_world.hpp"

#include <algorithm>
#include <array>
#include <limits>

namespace ivyrill::lab {

using namespace consensus;

namespace {

constexpr Tenths kFaultsFrom = 2 * kTenthsPerSecond, kFaultsFor = 16 * kTenthsPerSecond;
constexpr Tenths kCalm = 6 * kTenthsPerSecond, kNewWriteWithin = kTenthsPerSecond;
constexpr Tenths kMostClientPause = 800;
constexpr std::array<Tenths, 4> kMostFaultPauses{3000, 8000, 20000, 40000}; // one of them for a whole history
constexpr Tenths kCountedLost = 4 * kTenthsPerSecond; // after the successor of a lost disk is up
constexpr Tenths kNever = std::numeric_limits<Tenths>::max();
constexpr double kStrikeShare = 0.02;
constexpr Tenths kMostStrikeDelay = 30;
constexpr std::size_t kClients = 3;

} // namespace

void ConsensusWorld::play() {
    known_.assign(kClients, 0);
    faults_until_ = kFaultsFrom + kFaultsFor;
    most_fault_pause_ = kMostFaultPauses[index(any(static_cast<int>(kMostFaultPauses.size())))];
    schedule(kTenthsPerSecond, [this] { clients_act(); });
    schedule(kFaultsFrom, [this] { fault(); });
    schedule(kFaultsFrom, [this] { weather(); });
    run_for(faults_until_);
    heal();
    run_for(kCalm);
    check_calm();
}

std::optional<int> ConsensusWorld::pick_up() {
    std::vector<int> up;
    for (int i = 0; i < size(); ++i)
        if (is_up(i)) up.push_back(i);
    if (up.empty()) return std::nullopt;
    return up[index(any(static_cast<int>(up.size())))];
}

// Some ask whoever says that it leads, also one that was cut off; some ask anyone.
void ConsensusWorld::clients_act() {
    schedule(now_ + between(10, kMostClientPause), [this] { clients_act(); });
    std::vector<int> leading;
    for (int i = 0; i < size(); ++i)
        if (is_up(i) && replica(i).leads()) leading.push_back(i);
    std::optional<int> asked = pick_up();
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

// The network's usual behaviour changes from time to time.
void ConsensusWorld::weather() {
    if (now_ >= faults_until_) return;
    schedule(now_ + between(kTenthsPerSecond / 2, 3 * kTenthsPerSecond), [this] { weather(); });
    network_ = {};
    if (chance(0.4)) network_.loss = 0.2 * random_.unit();
    if (chance(0.4)) network_.doubled = 0.3 * random_.unit();
    if (chance(0.4)) network_.late = 0.2 * random_.unit();
    if (chance(0.2)) network_.most_delay = 500;
    if (chance(0.2)) network_.most_late = 20000;
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

void ConsensusWorld::strike() {
    if (now_ >= faults_until_ || !chance(kStrikeShare)) return;
    for (int i = 0; i <= any(3); ++i)
        schedule(now_ + between(0, kMostStrikeDelay), [this] {
            ++counts_.faults;
            fault_on(victim());
        });
}

void ConsensusWorld::fault_on(int machine) {
    const Tenths span = chance(0.7) ? between(300, 2 * kTenthsPerSecond) : between(300, 5 * kTenthsPerSecond);
    const Tenths over = std::min(now_ + span, faults_until_);
    const auto later_start = [this](int which, Tenths when) {
        schedule(when, [this, which] { start(which); });
    };
    switch (any(12)) {
    case 0:
    case 1: { // one link, one way
        const int other = any(size());
        if (other == machine) break;
        tell("cut " + std::to_string(machine) + " to " + std::to_string(other));
        cut(machine, other);
        schedule(over, [this, machine, other] { cut(machine, other, false); });
        break;
    }
    case 2: { // all links, one way or both
        const bool out = chance(0.7), in = !out || chance(0.6);
        tell("isolate " + std::to_string(machine) + (out ? " out" : "") + (in ? " in" : ""));
        for (int other = 0; other < size(); ++other) {
            if (other == machine) continue;
            if (out) cut(machine, other);
            if (in) cut(other, machine);
        }
        schedule(over, [this, machine] { isolate(machine, false); });
        break;
    }
    case 3:
        partition();
        break;
    case 4:
        crash(machine);
        later_start(machine, over);
        break;
    case 5: // killed and back at once
        crash(machine);
        later_start(machine, now_ + between(10, 1000));
        break;
    case 6:
        if (chance(0.3)) {
            for (int i = 0; i < size(); ++i) {
                crash(i);
                if (!at(i).is_gone) later_start(i, now_ + between(10, kTenthsPerSecond));
            }
        } else {
            const int other = any(size());
            for (const int which : {machine, other}) {
                crash(which);
                later_start(which, now_ + between(10, kTenthsPerSecond));
            }
        }
        break;
    case 7:
        lose_disk(machine, chance(0.5));
        break;
    case 8:
        tell("stall disk of " + std::to_string(machine));
        stall_disk(machine, over - now_);
        break;
    case 9:
        tell("fill disk of " + std::to_string(machine));
        fill_disk(machine, over - now_);
        break;
    case 10:
        tell("freeze " + std::to_string(machine));
        freeze(machine, over - now_);
        break;
    default:
        if (!is_up(machine)) break;
        tell("resign " + std::to_string(machine));
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
    for (int i = 0; i < size(); ++i) side.push_back(chance(0.5));
    tell("partition");
    for (int from = 0; from < size(); ++from)
        for (int to = 0; to < size(); ++to)
            cut_[index(from)][index(to)] = side[index(from)] != side[index(to)];
    schedule(std::min(now_ + between(1000, 3 * kTenthsPerSecond), faults_until_), [this] {
        for (auto& row : cut_) std::fill(row.begin(), row.end(), false);
    });
}

std::size_t ConsensusWorld::counted_lost() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(counted_lost_until_, [&](Tenths until) { return now_ < until; }));
}

// Within what the group tolerates: fewer than half of the members count as lost, and in no set of voters that
// anyone holds are half or more lost, with this machine.
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
    const Tenths back_at = std::min(now_ + between(10, 2 * kTenthsPerSecond), faults_until_);
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
    tell("calm");
    network_ = {};
    for (auto& row : cut_) std::fill(row.begin(), row.end(), false);
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
    if (!run_until(agreed, kNewWriteWithin)) return promise_broken("no agreement after the calm");
    for (int i = 0; i < size(); ++i)
        if (is_up(i) && durable(i).entry->stamp != replica(i).newest()->stamp &&
            !run_until([&] { return durable(i).entry->stamp == replica(i).newest()->stamp; },
                       kNewWriteWithin))
            promise_broken("machine " + std::to_string(i) + " has not made durable what is agreed");
    const std::size_t number = write(*leader());
    const auto acknowledged = [&] { return state_of(number) == WriteState::kAcknowledged; };
    if (!run_until(acknowledged, kNewWriteWithin))
        promise_broken("a new write does not commit after the calm");
}

} // namespace ivyrill::lab
