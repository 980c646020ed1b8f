#include "rota/steward.hpp"

#include <algorithm>
#include <cmath>

namespace ivyrill::rota {

namespace {

constexpr int kMostTrialWork = 10'000; // trials of a plan, times its machines squared
constexpr int kMostTrials = 100;
constexpr int kForget = 60; // spans until a front node that nobody sees is no machine any more
constexpr std::size_t kFailed = 100;
constexpr std::size_t kOwnTurn =
    1000; // turns that another would have to hold to be as unfit as one that is to go
constexpr double kClockSlack = 0.5;    // grants' spans, over which a clock is measured at the least
constexpr double kMeasureNoise = 0.05; // of that: what delays may make of it, beside the error assumed

} // namespace

Tenths Steward::patience() const {
    // The holder counts from when it asked, we from when we heard it agreed on: ours begins later in any
    // case. Its clock may be slow and ours fast.
    return static_cast<Tenths>(
               std::ceil(static_cast<double>(terms_.spans.grant) * (1 + 2 * terms_.spans.clock_error))) +
           1;
}

std::set<std::string> Steward::down(const Evening& evening, const Outlook& outlook) {
    std::set<std::string> names = outlook.disowned; // there, and of no use to the council
    const auto sent_out = [&](const std::string& name) {
        const Turn* turn = evening.turn(name);
        return turn != nullptr && is_out(turn->state);
    };
    for (const auto& [name, facts] : evening.fleet()) {
        if (sent_out(name)) continue;
        const auto seen = outlook.machines.find(name);
        // One that came back counts only when it is warm.
        if (seen == outlook.machines.end() || seen->second.health != Health::kWarm) names.insert(name);
    }
    return names;
}

Survey Steward::survey(Tenths now, const Evening& evening, const Outlook& outlook) {
    Survey made{terms_.limits, {}, outlook.voters};
    made.limits.council = static_cast<int>(outlook.voters.size());
    for (const auto& [name, seen] : outlook.machines) made.fleet.push_back(seen.facts);
    // Front nodes that do not answer are machines still, and so is whatever has a turn.
    for (const auto& [name, facts] : evening.fleet()) {
        const Turn* turn = evening.turn(name);
        const bool has_turn = turn != nullptr && !is_over(turn->state);
        if (outlook.machines.contains(name)) {
            missing_.erase(name);
            continue;
        }
        // A leader that has just started does not know all front nodes yet.
        const Tenths since = missing_.try_emplace(name, now).first->second;
        const bool waits = facts.front_node && now < since + kForget * terms_.spans.settle;
        if (has_turn || waits) made.fleet.push_back(facts);
    }
    return made;
}

Wanted Steward::want(Tenths now, Tenths leads_since, const Evening& evening, const Outlook& outlook) {
    Wanted wanted;
    Survey fresh = survey(now, evening, outlook);
    const auto same = [&] {
        if (fresh.limits != evening.limits() || fresh.voters != evening.voters() ||
            fresh.fleet.size() != evening.fleet().size())
            return false;
        return std::ranges::all_of(fresh.fleet, [&](const Facts& facts) {
            const auto known = evening.fleet().find(facts.name);
            return known != evening.fleet().end() && known->second == facts;
        });
    };
    if (same()) {
        settling_ = 0;
    } else if (settling_ == 0) {
        settling_ = now;
    }
    // A list that flaps is not taken up at once; the very first is.
    if (settling_ != 0 && (evening.fleet().empty() || now >= settling_ + terms_.spans.settle) &&
        !fresh.fleet.empty()) {
        wanted.commands.emplace_back(std::move(fresh));
        wanted.why = "the fleet is being surveyed";
        return wanted;
    }
    watch_grants(now, leads_since, evening, outlook, wanted);
    const std::set<std::string> down = Steward::down(evening, outlook);
    // What holds a machine's shards up has failed while it was out: what can come back is brought back first.
    const std::set<std::string> out = evening.out();
    if (terms_.answers.neighbour_down != Answer::kWait && !evening.fleet().empty()) {
        const Room room(evening.limits(), evening.fleet(), evening.voters());
        for (const std::string& machine : out) {
            const Turn& turn = *evening.turn(machine);
            if (turn.recalled || turn.withdrawn || turn.state == TurnState::kReturning) continue;
            std::set<std::string> others = out;
            others.erase(machine);
            if (!room.objection(machine, others).empty()) continue; // it is out beside them as agreed
            others.insert(down.begin(), down.end());
            const std::string why = room.objection(machine, others);
            if (why.empty()) continue;
            wanted.commands.emplace_back(Recall{machine, turn.fence, why});
            if (terms_.answers.neighbour_down == Answer::kStop && !evening.held())
                wanted.commands.emplace_back(Hold{{}, why});
        }
    }
    for (const auto& [machine, turn] : evening.turns()) {
        if (turn.state != TurnState::kProposed) continue;
        if (turn.setbacks > terms_.spans.most_setbacks)
            wanted.commands.emplace_back(
                Withdraw{{}, machine, "put back " + std::to_string(turn.setbacks) + " times"});
        else if (turn.latest != 0 && outlook.wall > turn.latest)
            wanted.commands.emplace_back(Withdraw{{}, machine, "its latest time has passed"});
    }
    let_go(now, evening, outlook, down, wanted);
    return wanted;
}

// A grant that was not said again for as long as it may last belongs to nobody; the machine stays out until
// another holder goes on with it. Its old holder has stopped by then, by its own clock.
void Steward::watch_grants(Tenths now, Tenths leads_since, const Evening& evening, const Outlook& outlook,
                           Wanted& wanted) {
    std::erase_if(heard_, [&](auto& held) {
        const Turn* turn = evening.turn(held.first);
        // It gave its turn back: perhaps it alone cannot reach the machine.
        if (turn != nullptr && turn->holder.empty() && turn->fence == held.second.fence &&
            !is_over(turn->state))
            failed_.insert(held.second.holder);
        return turn == nullptr || turn->holder.empty() || turn->fence != held.second.fence;
    });
    for (const auto& [machine, turn] : evening.turns()) {
        if (!is_out(turn.state) && turn.state != TurnState::kWarm) continue;
        if (turn.holder.empty()) {
            heard_.erase(machine);
            if (const std::string holder = holder_for(turn, evening, outlook); !holder.empty())
                wanted.commands.emplace_back(Grant{machine, holder, turn.fence, {}, outlook.wall});
            continue;
        }
        auto [place, fresh] = heard_.try_emplace(machine, Heard{turn.holder, turn.fence, turn.stamp, now});
        Heard& heard = place->second;
        if (!fresh && heard.stamp != turn.stamp) {
            measure_clock(now, turn);
            heard = {turn.holder, turn.fence, turn.stamp, now};
        }
        // A new leader does not know when the last word came: at the latest when it began to lead.
        if (now > std::max(heard.at, leads_since) + patience())
            wanted.commands.emplace_back(Lapse{machine, turn.fence}), failed_.insert(turn.holder);
        else if (turn.state != TurnState::kGranted && turn.handed == 0)
            failed_.erase(turn.holder); // it has brought a machine on
    }
}

// Grants rest on clocks that run at nearly the same rate. That is assumed, so it is looked at: each word of a
// holder bears its own time.
void Steward::measure_clock(Tenths now, const Turn& turn) {
    Clock& clock = clocks_[turn.holder];
    if (clock.stamp == 0 || turn.stamp < clock.stamp) {
        clock = {turn.stamp, now};
        return;
    }
    const auto ours = static_cast<double>(now - clock.at);
    const auto theirs = static_cast<double>(turn.stamp - clock.stamp);
    const auto span = static_cast<double>(terms_.spans.grant) * kClockSlack;
    if (ours < span) return;
    // Delays of single words weigh less the longer the span is.
    const double noise = kMeasureNoise * static_cast<double>(terms_.spans.grant) / ours;
    if (std::abs(theirs / ours - 1) > 2 * terms_.spans.clock_error + noise &&
        ours > 10 * static_cast<double>(terms_.spans.grant))
        ++wrong_clocks_, distrusted_.insert(turn.holder);
    if (ours > 100 * span) clock = {turn.stamp, now};
}

std::string Steward::holder_for(const Turn& turn, const Evening& evening, const Outlook& outlook) const {
    std::string best;
    std::size_t least = 0;
    for (const std::string& voter : outlook.voters) {
        const Turn* own = evening.turn(voter);
        const bool leaves = own != nullptr && is_out(own->state);
        if (voter == turn.machine || leaves || outlook.absent.contains(voter) ||
            distrusted_.contains(voter) || outlook.disowned.contains(voter))
            continue;
        std::size_t load = 0;
        for (const auto& [name, other] : evening.turns()) load += other.holder == voter ? 2 : 0;
        load += voter == outlook.self ? 1 : 0;                        // the leader has enough to do
        load += failed_.contains(voter) ? kFailed : 0;                // it let a grant lapse: others first
        if (own != nullptr && !is_over(own->state)) load += kOwnTurn; // it could not go while it holds one
        if (best.empty() || load < least) best = voter, least = load;
    }
    return best;
}

void Steward::let_go(Tenths now, const Evening& evening, const Outlook& outlook,
                     const std::set<std::string>& down, Wanted& wanted) {
    if (evening.held()) return void(wanted.why = "held: " + evening.held_why());
    if (!outlook.lost_site.empty()) return void(wanted.why = "site " + outlook.lost_site + " is lost");
    if (outlook.strain > terms_.spans.most_strain) {
        // It may be our own trouble: cut off from the servers, we would hold up an evening that others see
        // room for.
        if (strained_since_ == 0) strained_since_ = now;
        wanted.hand_over = now > strained_since_ + terms_.spans.grant;
        return void(wanted.why = "load leaves no room");
    }
    strained_since_ = 0;
    if (settling_ != 0) return void(wanted.why = "the fleet is changing");
    std::erase_if(put_back_, [&](auto& held) {
        const Turn* turn = evening.turn(held.first);
        return turn == nullptr || turn->state != TurnState::kProposed;
    });
    std::vector<Task> tasks;
    for (const Task& task : tasks_of(evening, outlook.wall)) {
        const Turn& turn = *evening.turn(task.machine);
        if (turn.setbacks > 0) {
            const Tenths since = put_back_.try_emplace(task.machine, now).first->second;
            if (now < since + terms_.spans.drain * turn.setbacks) continue;
        }
        if (task.earliest == 0 && turn.setbacks <= terms_.spans.most_setbacks) tasks.push_back(task);
    }
    std::string asked;
    for (const Task& task : tasks) asked += task.machine + (task.hurried ? "!" : " ");
    asked += std::to_string(evening.fleet().size());
    if (asked != planned_for_) {
        const auto size = static_cast<int>(std::max<std::size_t>(1, tasks.size()));
        const Plan plan =
            plan_well(evening, tasks, {}, terms_.seed, std::min(kMostTrials, kMostTrialWork / (size * size)));
        order_.clear(), planned_for_ = asked;
        for (const Step& step : plan.steps) order_.push_back(step.machine);
    }
    const Room room(evening.limits(), evening.fleet(), evening.voters());
    std::set<std::string> busy = evening.out();
    busy.insert(down.begin(), down.end());
    for (const std::string& machine : order_) {
        const Turn* turn = evening.turn(machine);
        if (turn == nullptr || turn->state != TurnState::kProposed) continue;
        if (std::ranges::find(tasks, machine, &Task::machine) == tasks.end()) continue;
        // One that is gone already costs nothing more; one that comes or goes by itself is waited for.
        const auto seen = outlook.machines.find(machine);
        if (down.contains(machine) && seen != outlook.machines.end() &&
            seen->second.health != Health::kGone) {
            wanted.why = machine + " is coming or going by itself";
            continue;
        }
        if (std::string why = room.objection(machine, busy); !why.empty()) {
            wanted.why = machine + ": " + why;
            continue;
        }
        // A front node that carries out turns goes once they are over.
        const bool holds =
            std::ranges::any_of(evening.turns(), [&](auto& held) { return held.second.holder == machine; });
        if (holds) {
            wanted.why = machine + " carries out other turns";
            continue;
        }
        if (outlook.voters.contains(machine) && !outlook.council_settled) {
            wanted.why = machine + ": the council is changing";
            continue;
        }
        if (machine == outlook.self) {
            wanted.hand_over = true;
            return;
        }
        const std::string holder = holder_for(*turn, evening, outlook);
        if (holder.empty()) return void(wanted.why = "no voter is there to carry it out");
        wanted.commands.emplace_back(Grant{machine, holder, turn->fence, down, outlook.wall});
        busy.insert(machine);
    }
}

} // namespace ivyrill::rota
