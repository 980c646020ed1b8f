#include "lab/consensus_world.hpp"

#include <algorithm>
#include <cstring>

namespace ivyrill::lab {

using namespace consensus;

namespace {

constexpr Ticks kMemberStatusInterval = 2000; // 200 ms
constexpr Ticks kLeastStore = 5;
// Probabilities that an event triggers further faults at once.
constexpr double kFaultProbabilityAfterAcknowledgement = 0.02, kFaultProbabilityInChange = 0.3,
                 kFaultProbabilityInElection = 0.1;
constexpr Ticks kThawSpread = 20; // period in which events that waited for a frozen machine are handled

template <class V> std::string bytes_of(const V& value) {
    std::string bytes(sizeof value, '\0');
    std::memcpy(bytes.data(), &value, sizeof value);
    return bytes;
}

template <class V> V value_of(const std::string& bytes) {
    V value;
    std::memcpy(&value, bytes.data(), sizeof value);
    return value;
}

std::string words(const Stamp& stamp) {
    return std::to_string(stamp.term) + "." + std::to_string(stamp.index);
}

std::string words(const Entry& entry) {
    std::string out = words(entry.stamp) + " {";
    for (const Member& voter : entry.voters) out += std::to_string(voter.id.value) + " ";
    out += "|";
    for (const Member& voter : entry.former_voters) out += " " + std::to_string(voter.id.value);
    return out + "}";
}

} // namespace

ConsensusPlan plan_of_seed(std::uint64_t seed) {
    ConsensusPlan plan;
    plan.seed = seed;
    plan.members = 3 + static_cast<int>(seed % 3);
    plan.spares = static_cast<int>(seed / 3 % 3);
    plan.least = static_cast<std::size_t>(plan.members) / 2 + 1;
    return plan;
}

ConsensusWorld::ConsensusWorld(ConsensusPlan plan) : plan_(plan), random_(plan.seed), writes_(1) {
    for (int i = 0; i < plan_.members; ++i) add_machine();
    for (int i = 0; i < plan_.members; ++i) founders_.push_back(member(i));
    for (int i = 0; i < plan_.spares; ++i) add_machine();
    for (int i = 0; i < size(); ++i) start(i);
}

int ConsensusWorld::add_machine() {
    const int number = size();
    Machine& machine = machines_.emplace_back();
    machine.address = "10.0.0." + std::to_string(number) + ":7000";
    machine.zone = "zone-" + std::to_string(number % 3);
    machine.id = MemberId{next_id_++};
    for (auto& row : cut_) row.push_back(0);
    cut_.emplace_back(machines_.size(), 0);
    return number;
}

Member ConsensusWorld::member(int machine) const {
    const Machine& m = machines_[index(machine)];
    return {m.id, m.address, m.zone};
}

Ticks ConsensusWorld::between(Ticks least, Ticks most) {
    return least + static_cast<Ticks>(random_.unit() * static_cast<double>(most - least + 1));
}

void ConsensusWorld::schedule(Ticks at, std::function<void()> act) {
    events_.push({std::max(at, now_), ++order_, std::move(act)});
}

void ConsensusWorld::schedule_on(int machine, Ticks at, std::function<void(Replica&)> act) {
    schedule(at, [this, machine, incarnation = this->at(machine).incarnation, act = std::move(act)] {
        act_on(machine, incarnation, act);
    });
}

void ConsensusWorld::act_on(int machine, int incarnation, std::function<void(Replica&)> act) {
    Machine& m = at(machine);
    if (!m.replica || m.incarnation != incarnation) return;
    if (m.frozen_until > now_)
        return schedule(
            m.frozen_until + between(0, kThawSpread),
            [this, machine, incarnation, act = std::move(act)] { act_on(machine, incarnation, act); });
    act(*m.replica);
    process_effects(machine);
}

bool ConsensusWorld::step(Ticks until) {
    if (events_.empty() || events_.top().at > until) return false;
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.act();
    return true;
}

void ConsensusWorld::run_for(Ticks span) {
    const Ticks until = now_ + span;
    while (step(until)) {}
    now_ = until;
}

bool ConsensusWorld::run_until(const std::function<bool()>& holds, Ticks limit) {
    const Ticks until = now_ + limit;
    while (!holds())
        if (!step(until)) return false;
    return true;
}

void ConsensusWorld::cut(int from, int to, bool is_cut) {
    int& faults = cut_[index(from)][index(to)];
    faults = std::max(faults + (is_cut ? 1 : -1), 0);
}

void ConsensusWorld::isolate(int machine, bool is_cut) {
    for (int other = 0; other < size(); ++other) {
        if (other == machine) continue;
        cut(machine, other, is_cut);
        cut(other, machine, is_cut);
    }
}

bool ConsensusWorld::reaches(int from, int to) const { return cut_[index(from)][index(to)] == 0; }

void ConsensusWorld::crash(int machine) { crash(machine, chance(0.5)); }

void ConsensusWorld::crash(int machine, bool pending_is_kept) {
    Machine& m = at(machine);
    if (!m.replica) return;
    record_event("crash " + std::to_string(machine));
    if (m.disk.pending && pending_is_kept) m.disk.state = m.disk.pending->state;
    m.disk.pending.reset();
    m.replica.reset();
    ++m.incarnation;
    m.proposals.clear();
    m.reads.clear();
    m.seen.clear();
}

void ConsensusWorld::start(int machine) {
    Machine& m = at(machine);
    if (m.replica || m.is_gone) return;
    record_event("start " + std::to_string(machine) + " as " + std::to_string(m.id.value));
    ++m.incarnation;
    m.frozen_until = 0;
    Options options;
    options.self = member(machine);
    options.seed = random_.next();
    m.replica.emplace(options, m.disk.state, now_);
    const bool is_founder = std::ranges::any_of(founders_, [&](const Member& f) { return f.id == m.id; });
    if (!m.disk.state.entry && is_founder) m.replica->bootstrap(founders_, bytes_of(Value{}), now_);
    process_effects(machine);
    update_member_statuses(machine);
}

void ConsensusWorld::wipe(int machine) {
    crash(machine);
    Machine& m = at(machine);
    lost_.push_back(m.id);
    ++counts_.wiped;
    m.disk = {};
    m.id = MemberId{next_id_++};
    record_event("wipe " + std::to_string(machine));
}

int ConsensusWorld::replace(int machine) {
    crash(machine);
    at(machine).is_gone = true;
    lost_.push_back(at(machine).id);
    ++counts_.replaced;
    const int successor = add_machine();
    record_event("replace " + std::to_string(machine) + " by " + std::to_string(successor));
    return successor;
}

void ConsensusWorld::stall_disk(int machine, Ticks span) {
    at(machine).disk.stalled_until = std::max(at(machine).disk.stalled_until, now_ + span);
}

void ConsensusWorld::fill_disk(int machine, Ticks span) {
    at(machine).disk.full_until = std::max(at(machine).disk.full_until, now_ + span);
}

void ConsensusWorld::freeze(int machine, Ticks span) {
    at(machine).frozen_until = std::max(at(machine).frozen_until, now_ + span);
}

void ConsensusWorld::resign(int machine) {
    if (!at(machine).replica) return;
    at(machine).replica->resign(now_);
    process_effects(machine);
}

std::size_t ConsensusWorld::write(int machine, std::optional<std::uint64_t> expected) {
    const std::size_t number = writes_.size();
    writes_.emplace_back();
    Machine& m = at(machine);
    const auto make = [this, number, expected](const std::string& current) -> std::optional<std::string> {
        const auto base = value_of<Value>(current);
        if (expected && base.version != *expected) return std::nullopt;
        writes_[number].made = Value{base.version + 1, number, base.write};
        return bytes_of(*writes_[number].made);
    };
    m.proposals[m.replica->propose(make, now_)] = number;
    process_effects(machine);
    return number;
}

void ConsensusWorld::read(int machine) {
    Machine& m = at(machine);
    m.reads[m.replica->confirm_leadership(now_)] = highest_seen_;
    process_effects(machine);
}

std::optional<int> ConsensusWorld::leader() const {
    std::optional<int> found;
    std::uint64_t term = 0;
    for (int i = 0; i < size(); ++i) {
        const Machine& m = machines_[index(i)];
        if (!m.replica || !m.replica->leads() || m.replica->newest()->stamp.term < term) continue;
        found = i;
        term = m.replica->newest()->stamp.term;
    }
    return found;
}

void ConsensusWorld::process_effects(int machine) {
    for (Effect& effect : at(machine).replica->take_effects())
        std::visit([&](auto& held) { apply_effect(machine, std::move(held)); }, effect);
    schedule_tick(machine);
}

void ConsensusWorld::schedule_tick(int machine) {
    Machine& m = at(machine);
    const Ticks due = std::max(m.replica->next_tick(), now_ + 1);
    if (m.tick_at > now_ && m.tick_at <= due) return;
    m.tick_at = due;
    schedule_on(machine, due, [this](Replica& replica) {
        if (now_ >= replica.next_tick()) replica.tick(now_);
    });
}

std::optional<int> ConsensusWorld::machine_at(const std::string& address) const {
    for (int i = 0; i < size(); ++i)
        if (machines_[index(i)].address == address) return i;
    return std::nullopt;
}

void ConsensusWorld::apply_effect(int machine, Send send) {
    if (const auto* vote = std::get_if<VoteReply>(&send.message.body)) check_vote(send.message, *vote);
    const auto to = machine_at(send.address);
    if (!to || !reaches(machine, *to) || chance(network_.loss)) return;
    const int copies = chance(network_.doubled) ? 2 : 1;
    const auto message = std::make_shared<const Message>(std::move(send.message));
    for (int i = 0; i < copies; ++i) {
        const Ticks delay = chance(network_.late) ? between(network_.most_delay, network_.most_late)
                                                  : between(network_.least_delay, network_.most_delay);
        schedule(now_ + delay, [this, to = *to, message] { // delivered to the process running at that time
            act_on(to, at(to).incarnation,
                   [this, message](Replica& replica) { replica.receive(*message, now_); });
        });
    }
}

void ConsensusWorld::check_vote(const Message& message, const VoteReply& vote) {
    if (!vote.granted || vote.pre_vote) return;
    const auto [known, is_new] = votes_.emplace(std::pair{message.from, vote.term}, message.to);
    if (!is_new && known->second != message.to)
        report_violation(std::to_string(message.from.value) + " votes twice in term " +
                         std::to_string(vote.term));
}

void ConsensusWorld::apply_effect(int machine, Store store) {
    Disk& disk = at(machine).disk;
    ++counts_.stores;
    if (disk.pending) report_violation("two stores are in progress at one member");
    const StoreTicket ticket = store.ticket;
    watch_store(machine, store.state);
    disk.pending = std::move(store);
    schedule_on(machine, now_ + between(kLeastStore, network_.most_store),
                [this, machine, ticket](Replica&) { finish_store(machine, ticket); });
}

// Points at which faults are injected.
void ConsensusWorld::watch_store(int machine, const DurableState& state) {
    const DurableState& before = at(machine).disk.state;
    if (state.term > before.term) maybe_inject_fault(kFaultProbabilityInElection);
    if (state.voted_for && state.voted_for != at(machine).id && state.voted_for != before.voted_for)
        crash_voter(machine);
    if (!state.entry || !stored_stamps_.insert(state.entry->stamp).second) return;
    if (before.entry && before.entry->voters != state.entry->voters) {
        maybe_inject_fault(kFaultProbabilityInChange);
        split_at_change(machine, before.entry->voters, state.entry->voters);
    }
    if (at(machine).replica->leader() == at(machine).id) crash_leader_holding_entry(machine);
}

void ConsensusWorld::finish_store(int machine, StoreTicket ticket) {
    Machine& m = at(machine);
    Disk& disk = m.disk;
    if (!disk.pending || disk.pending->ticket != ticket) return;
    if (disk.stalled_until > now_)
        return schedule_on(machine, disk.stalled_until,
                           [this, machine, ticket](Replica&) { finish_store(machine, ticket); });
    const bool is_full = disk.full_until > now_;
    // A failed store may still have taken effect, e.g. if it failed after the rename.
    if (!is_full || chance(0.2)) disk.state = std::move(disk.pending->state);
    disk.pending.reset();
    if (is_full)
        m.replica->store_failed(ticket, now_);
    else
        m.replica->stored(ticket, now_);
}

void ConsensusWorld::apply_effect(int machine, const Committed& committed) {
    record_event(std::to_string(machine) + " knows committed " + words(committed.entry));
    if (!committed.entry.former_voters.empty()) ++counts_.changes_of_voters;
    check_chain(value_of<Value>(committed.entry.payload));
}

// Each committed value descends from the previous committed one, regardless of who reports it and when.
void ConsensusWorld::check_chain(const Value& value) {
    if (writes_[value.write].state == WriteState::kRejected)
        report_violation("write " + std::to_string(value.write) + " was rejected, and is committed");
    std::vector<Value> unknown;
    Value oldest = value;
    while (oldest.version >= chain_.size()) {
        unknown.push_back(oldest);
        oldest = oldest.base == 0 ? Value{} : *writes_[oldest.base].made;
    }
    if (chain_[oldest.version] != oldest.write)
        return report_violation("version " + std::to_string(oldest.version) + " is committed as write " +
                                std::to_string(chain_[oldest.version]) + " and as " +
                                std::to_string(oldest.write));
    for (; !unknown.empty(); unknown.pop_back()) chain_.push_back(unknown.back().write);
}

void ConsensusWorld::apply_effect(int machine, const ProposalDone& done) {
    const std::size_t number = at(machine).proposals.at(done.id);
    at(machine).proposals.erase(done.id);
    Write& write = writes_[number];
    if (done.outcome == ProposalOutcome::kUnknown) {
        ++counts_.unknown;
        write.state = WriteState::kUnknown;
    } else if (done.outcome == ProposalOutcome::kRejected) {
        ++counts_.rejected;
        write.state = WriteState::kRejected;
        if (write.made && write.made->version < chain_.size() && chain_[write.made->version] == number)
            report_violation("write " + std::to_string(number) + " is rejected, and was committed");
    } else {
        ++counts_.acknowledged;
        write.state = WriteState::kAcknowledged;
        if (!write.made || write.made->version >= chain_.size() || chain_[write.made->version] != number)
            return report_violation("write " + std::to_string(number) + " is acknowledged but not committed");
        if (!acknowledged_on_.emplace(write.made->base, number).second)
            report_violation("two writes are acknowledged on base " + std::to_string(write.made->base));
        record_event(std::to_string(machine) + " acknowledges version " +
                     std::to_string(write.made->version));
        highest_seen_ = std::max(highest_seen_, write.made->version);
        maybe_inject_fault(kFaultProbabilityAfterAcknowledgement);
    }
}

void ConsensusWorld::apply_effect(int machine, const ReadDone& done) {
    const std::uint64_t least = at(machine).reads.at(done.id);
    at(machine).reads.erase(done.id);
    if (!done.confirmed) return;
    ++counts_.reads;
    const auto& committed = at(machine).replica->committed();
    const std::uint64_t version = committed ? value_of<Value>(committed->payload).version : 0;
    if (!committed || version < least)
        report_violation("a read returns version " + std::to_string(version) + " after " +
                         std::to_string(least));
    highest_seen_ = std::max(highest_seen_, version);
}

void ConsensusWorld::apply_effect(int machine, const RoleChanged& changed) {
    if (!changed.leads) return;
    record_event(std::to_string(machine) + " leads term " + std::to_string(changed.term));
    ++counts_.elections;
    if (at(machine).replica->committed()->stamp.term != changed.term)
        report_violation(std::to_string(machine) + " leads without a committed entry of its term");
    const std::pair self{machine, at(machine).incarnation};
    const auto [known, is_new] = leader_of_.emplace(changed.term, self);
    if (!is_new && known->second != self)
        report_violation("term " + std::to_string(changed.term) + " has two leaders");
}

void ConsensusWorld::update_member_statuses(int machine) {
    Machine& m = at(machine);
    std::vector<MemberStatus> found;
    for (int other = 0; other < size(); ++other) {
        const Machine& o = machines_[index(other)];
        const bool is_there =
            o.replica && o.frozen_until <= now_ && reaches(machine, other) && reaches(other, machine);
        const auto [seen, is_new] = m.seen.try_emplace(o.id, Seen{is_there, false, now_});
        if (seen->second.alive != is_there) seen->second = {is_there, false, now_};
        found.push_back({member(other), is_there, true, false, seen->second.since});
        if (!is_there || !m.replica->newest()) continue;
        for (const Member& voter : m.replica->newest()->voters) // the voter's address is held by another disk
            if (voter.address == o.address && voter.id != o.id)
                found.push_back({voter, false, false, true, now_});
    }
    m.replica->set_member_statuses(std::move(found), plan_.least, index(plan_.members), now_);
    process_effects(machine);
    schedule_on(machine, now_ + kMemberStatusInterval,
                [this, machine](Replica&) { update_member_statuses(machine); });
}

bool ConsensusWorld::agrees() const {
    const auto leading = leader();
    if (!leading) return false;
    const auto& wanted = machines_[index(*leading)].replica->committed();
    if (!wanted || !wanted->former_voters.empty()) return false;
    std::size_t up = 0, voting = 0;
    for (const Machine& m : machines_) {
        if (!m.replica) continue;
        ++up;
        voting += std::ranges::any_of(wanted->voters, [&](const Member& v) { return v.id == m.id; }) ? 1 : 0;
        if (m.replica->committed() != wanted || m.replica->newest() != wanted) return false;
    }
    return voting == wanted->voters.size() && voting == std::min(up, index(plan_.members));
}

void ConsensusWorld::report_violation(std::string what) {
    record_event("VIOLATION: " + what);
    violations_.push_back("at " + std::to_string(now_) + ": " + std::move(what));
}

void ConsensusWorld::record_event(const std::string& what) {
    if (plan_.records_trace) trace_.push_back(std::to_string(now_) + " " + what);
}

} // namespace ivyrill::lab
