// ControlWorld: the plans that provoke each of the five failures.
#include "lab/control_world.hpp"

#include <algorithm>
#include <utility>

namespace ivyrill::lab {

namespace {

constexpr Ticks kCutOffFor = 20 * kTicksPerSecond;
constexpr int kManyChanges = 500;
constexpr Ticks kManyChangesWithin = 90 * kTicksPerSecond;

} // namespace

// One machine, often the leader, is isolated for twenty seconds; both sides are queried during that time.
void ControlWorld::cut_off_plan() {
    short_cuts();
    former_leader_is_heard();
    leader_is_in_the_smaller_half();
    const MachineNumber machine = leader() && network_.chance(0.6) ? *leader() : any_control();
    const bool fully = network_.chance(0.8);
    ++counts_.faults;
    if (fully)
        isolate(machine, true);
    else
        partition_into_halves(network_.now() + kCutOffFor);
    for (int i = 0; i < 10; ++i) {
        run_for(kCutOffFor / 10);
        if (i % 3 == 1) leave(static_cast<std::size_t>(network_.any(static_cast<int>(servers_.size()))));
        if (i == 4 && network_.chance(0.5))
            restart(machine, network_.between(500, 5000), network_.chance(0.5));
        if (i == 5 && network_.chance(0.3)) network_.freeze(machine, network_.now() + 30'000);
    }
    if (fully) isolate(machine, false);
    // Agents that start now may connect to the machine that has just rejoined.
    for (int i = 0; i < 6; ++i) {
        const auto number = static_cast<std::size_t>(network_.any(static_cast<int>(agents_.size())));
        network_.kill(agents_[number].machine);
        start_agent(number);
        run_for(network_.between(100, 2000));
    }
}

// Long enough for a feed to close, too short for links to end: delayed messages arrive when the cut ends.
void ControlWorld::short_cuts() {
    quick_operators_ = true;
    for (int i = 0; i < 2; ++i) {
        const MachineNumber machine = any_control();
        if (!is_live(machine) || machine == leader()) continue;
        ++counts_.faults;
        isolate(machine, true);
        run_for(network_.between(19'500, 24'500));
        isolate(machine, false);
        run_for(5000);
    }
    quick_operators_ = false;
}

// The isolated member receives what its leader sent before it was replaced, and messages of the other
// members, but not yet those of the current leader. Its election messages are delayed as well, so that no
// reply reveals the new term.
void ControlWorld::former_leader_is_heard() {
    const auto former = leader();
    const MachineNumber machine = any_control();
    if (!former || machine == *former || !is_live(machine) || !node(machine)->serves_feed()) return;
    ++counts_.faults;
    network_.held_back = [machine](MachineNumber from, MachineNumber, const feed::Message& message) {
        const auto* said = std::get_if<consensus::Message>(&message);
        return from == machine && said != nullptr &&
               std::holds_alternative<consensus::VoteRequest>(said->body);
    };
    isolate(machine, true);
    run_for(network_.between(1000, 3000)); // the former leader's heartbeats are delayed
    request_stop(*former);
    const auto is_replaced = [&] { return leader() && *leader() != *former; };
    if (run_until(is_replaced, 6000)) {
        network_.freeze(*former, network_.now() + 25'000); // its links remain open
        const MachineNumber successor = *leader();
        const std::int64_t base = history_.newest_acknowledged();
        send_order(new_order(base, base + 1), successor, {});
        run_until([&] { return !is_live(machine) || !node(machine)->serves_feed(); }, 20'000);
        network_.cut(successor, machine);
        isolate(machine, false);
        run_for(5000);
        network_.cut(successor, machine, false);
    } else {
        isolate(machine, false);
    }
    network_.held_back = {};
    network_.release();
    restart(*former, 1000, false);
    run_for(10'000);
}

// The half without a majority contains the leader, which keeps sending until it steps down. A server leaves
// at once; two seconds after the acknowledgement every agent knows, regardless of the half that feeds it.
void ControlWorld::leader_is_in_the_smaller_half() {
    const auto leading = leader();
    const auto leaving = static_cast<std::size_t>(network_.any(static_cast<int>(servers_.size())));
    if (!leading || servers_[leaving].drains) return;
    ++counts_.faults;
    std::set<MachineNumber> half{*leading};
    while (2 * (half.size() + 1) < control_.size()) half.insert(any_control());
    std::vector<std::pair<MachineNumber, MachineNumber>> links;
    for (const MachineNumber inside : half)
        for (const MachineNumber outside : control_)
            if (!half.contains(outside)) {
                links.emplace_back(inside, outside);
                links.emplace_back(outside, inside);
            }
    cut_until(network_.now() + 60'000, links);
    const std::string id = servers_[leaving].id;
    leave(leaving);
    if (run_until([&] { return servers_[leaving].leaving_acknowledged.has_value(); }, 20'000)) {
        run_for(kDrainBound);
        for (const Agent& agent : agents_) {
            const model::Instance* known = agent.process->tables().instances().find(id);
            if (known != nullptr && known->is_routable())
                report_violation("an agent does not know in time that " + id + " left");
        }
    }
    run_for(60'000);
}

// Both operators repeatedly build on the same version under the same number, while answers are lost and the
// leader changes.
void ControlWorld::races_plan() {
    quick_operators_ = true;
    answer_lost_ = 0.4;
    set_message_faults({0.03, 0.1, 0.1});
    const Ticks until = faults_until_;
    while (network_.now() < until) {
        ++counts_.faults;
        const MachineNumber machine = leader().value_or(any_control());
        if (network_.chance(0.5))
            restart(machine, network_.between(100, 5000), network_.chance(0.5));
        else
            network_.freeze(machine, network_.now() + network_.between(2000, 20'000));
        run_for(network_.between(5000, 25'000));
    }
    const bool sent_twice_and_known = std::ranges::any_of(history_.orders(), [](const Order& order) {
        return order.sends > 1 && order.state == OrderState::kAcknowledged;
    });
    counts_.provoked[1] = sent_twice_and_known && counts_.refused > 0;
    quick_operators_ = false;
}

// As soon as a lost disk no longer counts, the next one is lost; or a second one during the repair, where two
// may be lost.
void ControlWorld::second_loss_plan() {
    if (plan_.tolerance > 1) members_rejoin_without_records();
    for (int loss = 0; loss < 3; ++loss) {
        ++counts_.faults;
        record_groups();
        const MachineNumber first = leader() && network_.chance(0.5) ? *leader() : any_control();
        const Ticks down = network_.between(500, 10'000);
        leave(static_cast<std::size_t>(network_.any(static_cast<int>(servers_.size()))));
        run_for(network_.between(0, 2000));
        if (!may_lose_disk()) return;
        const MachineNumber repaired = network_.chance(0.4) ? replace(first, down) : first;
        if (repaired == first) wipe(first, down);
        // As it returns, another member's disk stalls, so that it cannot become a voter yet.
        network_.schedule(network_.now() + down, [this, repaired] {
            if (!network_.chance(0.5)) return;
            for (const MachineNumber machine : control_)
                if (machine != repaired && machine != leader() && network_.chance(0.6))
                    network_.disk(machine).stalled_until = network_.now() + 8000;
            leave(static_cast<std::size_t>(network_.any(static_cast<int>(servers_.size()))));
        });
        if (plan_.tolerance > 1) {
            run_for(down + network_.between(0, 500));
            if (may_lose_disk()) lose_a_disk();
        }
        const bool is_counted_out = run_until(
            [this, repaired] { return !nodes_.at(repaired).disk_counts_as_lost; }, 30 * kTicksPerSecond);
        if (!is_counted_out) return report_violation("a repaired disk does not come back");
        counts_.provoked[2] = true;
        // Right after an acknowledgement, if one follows soon.
        const std::int64_t before = history_.newest_acknowledged();
        run_until([this, before] { return history_.newest_acknowledged() > before; }, 10'000);
    }
    // One member is told to stop while another's disk is slow: what is acknowledged then is not only on the
    // leaving member.
    const MachineNumber leaving = any_control();
    const MachineNumber slow = any_control();
    network_.disk(slow).stalled_until = network_.now() + 6000;
    if (leaving != slow) {
        request_stop(leaving);
        network_.schedule(network_.now() + 5000, [this, leaving] { restart(leaving, 3000, false); });
    }
    run_for(15'000);
    lose_a_disk();
    run_for(20'000);
}

// Members return after an isolation so long that they are no longer voters; a server has left meanwhile, and
// they learn of it late.
void ControlWorld::members_rejoin_without_records() {
    std::set<MachineNumber> cut;
    while (std::cmp_less(cut.size(), plan_.tolerance)) {
        const MachineNumber machine = any_control();
        if (machine != leader()) cut.insert(machine);
    }
    ++counts_.faults;
    for (const MachineNumber machine : cut) isolate(machine, true);
    run_for(network_.between(38'000, 45'000)); // replaced, or removed from the list
    leave(static_cast<std::size_t>(network_.any(static_cast<int>(servers_.size()))));
    run_for(5000);
    hold_records_from(cut);
    for (const MachineNumber machine : cut) isolate(machine, false);
    run_for(8000);
    release_records();
    run_for(5000);
}

// Hundreds of changes, while members restart, lose their disks and freeze, and each has to catch up.
void ControlWorld::many_changes_plan() {
    records_arrive_late();
    leader_is_lost_while_entries_are_late();
    quick_operators_ = true;
    const auto changes = [this] {
        return std::ranges::count(history_.orders(), OrderState::kAcknowledged, &Order::state);
    };
    const Ticks until = network_.now() + kManyChangesWithin;
    std::ptrdiff_t next = 100;
    while (changes() < kManyChanges && network_.now() < until) {
        run_until([&] { return changes() >= next; }, 10 * kTicksPerSecond);
        next = changes() + 60;
        ++counts_.faults;
        const MachineNumber machine = any_control();
        switch (network_.any(4)) {
        case 0: {
            const Ticks down = network_.between(20'000, 40'000);
            restart(machine, down, network_.chance(0.5));
            network_.schedule(network_.now() + down - 1, [this, machine] { hold_entries_from(machine); });
            break;
        }
        case 1:
            lose_a_disk();
            break;
        case 2:
            network_.freeze(machine, network_.now() + network_.between(5000, 30'000));
            break;
        default:
            isolate(machine, true);
            network_.schedule(network_.now() + 20'000, [this, machine] { isolate(machine, false); });
        }
    }
    quick_operators_ = false;
    counts_.provoked[3] = changes() >= kManyChanges;
    run_for(5 * kTicksPerSecond);
}

// A member returns that was down while a server left; the others' knowledge of the servers reaches it late,
// and an agent that starts then reaches no other member.
void ControlWorld::records_arrive_late() {
    run_for(15'000); // every disk has every server's record
    MachineNumber machine = control_[static_cast<std::size_t>(network_.any(3))]; // agents start with these
    if (machine == leader()) machine = control_[static_cast<std::size_t>((machine + 1) % 3)];
    if (!is_live(machine)) return;
    ++counts_.faults;
    const Ticks down = network_.between(24'000, 30'000);
    restart(machine, down, network_.chance(0.5));
    leave(static_cast<std::size_t>(network_.any(static_cast<int>(servers_.size()))));
    run_for(down - 100);
    hold_records_from({machine});
    network_.kill(agents_.front().machine);
    run_for(1000); // it is running again, and connected to the leader
    std::vector<std::pair<MachineNumber, MachineNumber>> links;
    for (const MachineNumber other : control_)
        if (other != machine) links.emplace_back(agents_.front().machine, other);
    cut_until(network_.now() + 20'000, links);
    start_agent(0);
    run_for(20'000);
    release_records();
    run_for(5000);
}

// A member has just started, and its leader's entries are delayed. The leader loses power; half a second
// later all that it sent arrives, in any order, at the member, which reaches no other member.
void ControlWorld::leader_is_lost_while_entries_are_late() {
    const auto leading = leader();
    MachineNumber machine = any_control();
    if (!leading || machine == *leading || !is_live(machine)) return;
    ++counts_.faults;
    hold_entries(machine);
    restart(machine, 1000, network_.chance(0.5));
    run_for(network_.between(25'000, 35'000));
    std::vector<std::pair<MachineNumber, MachineNumber>> links;
    for (const MachineNumber other : control_) {
        if (other == machine || other == *leading) continue;
        links.emplace_back(other, machine);
        links.emplace_back(machine, other);
    }
    cut_until(network_.now() + 15'000, links);
    restart(*leading, 20'000, true);
    run_for(network_.between(5500, 7000));
    network_.held_back = {};
    network_.release();
    run_for(25'000);
}

// An order's answer is delayed by a slow disk while the machine that received it restarts and sends another
// caller's request.
void ControlWorld::late_answers_plan() {
    clients_act_ = false;
    run_for(20'000);
    for (int round = 0; round < 4; ++round) {
        ++counts_.faults;
        const auto owner = leader();
        if (!owner) {
            run_for(10'000);
            continue;
        }
        MachineNumber asked = any_control();
        while (asked == *owner) asked = any_control();
        // A new process numbers its requests from one.
        restart(asked, 200, false);
        run_for(15'000);
        const std::int64_t base = history_.newest_acknowledged();
        const Ticks slow_until = network_.now() + network_.between(2000, 7000);
        for (const MachineNumber machine : control_) network_.disk(machine).stalled_until = slow_until;
        if (network_.chance(0.5))
            leave(static_cast<std::size_t>(network_.any(static_cast<int>(servers_.size()))));
        const OrderNumber first = new_order(base, base + 1), second = new_order(base, base + 1);
        send_order(first, asked, {});
        run_for(network_.between(50, 500));
        if (network_.chance(0.8)) restart(asked, 30, network_.chance(0.5));
        run_for(network_.between(100, 3000));
        send_order(second, asked, {});
        set_message_faults({0, 0.3, 0.3});
        run_for(12'000);
        set_message_faults({});
        run_for(5'000);
    }
    clients_act_ = true;
    for (const MachineNumber machine : control_)
        if (network_.is_up(machine) && node(machine)->dropped_replies() > 0)
            counts_.late_answers_passed_over += node(machine)->dropped_replies();
    counts_.provoked[4] = counts_.late_answers_passed_over > 0;
    for (std::size_t i = 0; i < operators_.size(); ++i) {
        operators_[i].known = history_.newest_acknowledged();
        operators_[i].order.reset();
        operate(i);
    }
    read();
}

// Orders arrive while the group is still being founded; the disks that held the first acknowledged one are
// lost at once, and return while the settings still declare a first start.
void ControlWorld::early_losses() {
    run_for(3001); // all have been started
    start_clients();
    const bool at_first_start = network_.chance(0.5);
    if (!run_until([this] { return history_.newest_acknowledged() > 0; }, kFirstOrderWithin)) return;
    run_for(network_.between(0, 30));
    first_start_ = at_first_start;
    for (int lost = 0; lost < plan_.tolerance && may_lose_disk(); ++lost) {
        const MachineNumber machine = control_[static_cast<std::size_t>(lost)];
        if (network_.chance(0.5)) run_for(network_.between(0, 20));
        wipe(machine, network_.between(500, 5000));
        ++counts_.faults;
    }
    run_for(10'000);
    first_start_ = false;
    settle(kRecoverWithin);
}

// A member that has just started hears from the leader, but receives its entries late.
void ControlWorld::hold_entries_from(MachineNumber machine) {
    hold_entries(machine);
    network_.schedule(network_.now() + 15'000, [this] {
        network_.held_back = {};
        network_.release();
    });
}

void ControlWorld::hold_entries(MachineNumber machine) {
    network_.held_back = [machine](MachineNumber, MachineNumber to, const feed::Message& message) {
        const auto* said = std::get_if<consensus::Message>(&message);
        const auto* append = said == nullptr ? nullptr : std::get_if<consensus::Append>(&said->body);
        return to == machine && append != nullptr && append->entry.has_value();
    };
}

void ControlWorld::hold_records_from(const std::set<MachineNumber>& machines) {
    network_.held_back = [this, machines](MachineNumber from, MachineNumber to,
                                          const feed::Message& message) {
        const bool carries_records = std::holds_alternative<feed::Instances>(message) ||
                                     std::holds_alternative<feed::Replicate>(message);
        return machines.contains(to) && nodes_.contains(from) && carries_records;
    };
}

void ControlWorld::release_records() {
    network_.held_back = {};
    network_.release();
}

} // namespace ivyrill::lab
