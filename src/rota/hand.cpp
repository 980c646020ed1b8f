#include "rota/hand.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace ivyrill::rota {

namespace {

constexpr int kRenewals = 3; // in one grant's span
constexpr int kLooks = 8;    // at a machine, in one act's span
constexpr int kMostSilent = 4;
constexpr int kMostHanded = 2; // times that a turn passes from holder to holder in one state
constexpr std::size_t kMostAsked = 16;

constexpr std::array<const char*, 4> kActs{"state", "drain", "out", "back"};
constexpr std::array<const char*, 9> kKept{"serving",  "draining", "drained", "working", "worked",
                                           "starting", "broken",   "refused", "unknown"};

} // namespace

const char* word_of(Act act) { return kActs[static_cast<std::size_t>(act)]; }
const char* word_of(Kept kept) { return kKept[static_cast<std::size_t>(kept)]; }
std::optional<Kept> kept_named(std::string_view word) {
    for (std::size_t i = 0; i < kKept.size(); ++i)
        if (word == kKept[i]) return static_cast<Kept>(i);
    return {};
}

bool Hand::holds(const std::string& machine, Tenths now) const { return now < held_until(machine); }

Tenths Hand::held_until(const std::string& machine) const {
    const auto found = tasks_.find(machine);
    return found == tasks_.end() ? 0 : found->second.until;
}

Tenths Hand::next(Tenths now) const {
    Tenths first = now + terms_.spans.grant;
    for (const auto& [machine, task] : tasks_) {
        first = std::min(first, task.ask_at);
        if (task.out)
            first = std::min(first, task.act_by);
        else if (task.act_at > now) // else it waits for what others agree on
            first = std::min(first, task.act_at);
    }
    return std::max(first, now + 1);
}

std::vector<KeeperAct> Hand::foster(Tenths now, const Evening& perhaps) {
    HandOut out;
    for (const auto& [machine, turn] : perhaps.turns()) {
        if (!is_out(turn.state)) continue;
        Task& task = fosters_[machine];
        if (task.fence != turn.fence) task = {}, task.fence = turn.fence;
        if (task.out && now >= task.act_by) task.out.reset(), task.kept = Kept::kUnknown;
        if (task.refused) continue;
        const bool idle =
            task.kept == Kept::kWorked || task.kept == Kept::kDrained || task.kept == Kept::kDraining;
        if (!task.out && now >= task.act_at) ++counts_.unled;
        act(now, machine, task, idle ? Act::kBack : Act::kLook, out);
    }
    return std::move(out.acts);
}

HandOut Hand::carry(Tenths now, const Evening& evening, const Outlook& outlook) {
    HandOut out;
    std::erase_if(tasks_, [&](auto& held) {
        const Turn* turn = evening.turn(held.first);
        return turn == nullptr || turn->holder != terms_.self || turn->fence != held.second.fence ||
               is_over(turn->state);
    });
    for (const auto& [machine, turn] : evening.turns()) {
        if (turn.holder != terms_.self || is_over(turn.state)) continue;
        auto [place, fresh] = tasks_.try_emplace(machine);
        Task& task = place->second;
        if (fresh) task.fence = turn.fence;
        if (fresh || task.state != turn.state) task.state = turn.state, task.since = now, task.called = false;
        if (task.given) { // said again until it is agreed on
            if (now < task.ask_at) continue;
            task.ask_at = now + terms_.spans.act;
            out.commands.emplace_back(Lapse{machine, turn.fence});
            continue;
        }
        // Only a word of this life counts, and from the moment that we gave it.
        if (turn.taken && task.asked.contains(turn.stamp))
            task.until = std::max(task.until, static_cast<Tenths>(turn.stamp) + terms_.spans.grant);
        if (now >= task.ask_at) {
            task.ask_at = now + terms_.spans.grant / kRenewals / 2;
            if (now + terms_.spans.grant - terms_.spans.grant / kRenewals >= task.until) {
                const auto stamp = static_cast<std::uint64_t>(now);
                task.asked.insert(stamp);
                if (task.asked.size() > kMostAsked) task.asked.erase(task.asked.begin());
                out.commands.emplace_back(Take{machine, terms_.self, turn.fence, stamp});
            }
        }
        if (task.out && now >= task.act_by) {
            ++counts_.late, ++task.silent;
            task.out.reset();
            task.kept = Kept::kUnknown;
        }
        if (task.out || now < task.act_at || task.refused) continue;
        if (!holds(machine, now)) {
            if (task.until != 0) ++counts_.lapsed;
            continue;
        }
        tend(now, turn, task, evening, outlook, out);
    }
    return out;
}

// One step of one turn: what the machine is like now, against what it should come to.
void Hand::tend(Tenths now, const Turn& turn, Task& task, const Evening& evening, const Outlook& outlook,
                HandOut& out) {
    const bool undo = turn.withdrawn || turn.recalled;
    const Tenths waited = now - task.since;
    // Whatever our forerunner has left under way: its keeper hears our number before we rely on anything.
    if (!task.claimed || task.kept == Kept::kUnknown) {
        // Its keeper may be silent to us alone: others try before anything is made of it.
        if (task.silent >= kMostSilent && turn.handed < kMostHanded) {
            // From here on it is not ours, whatever the grant says: another may have it before we hear so.
            task.given = true, task.until = 0;
            task.ask_at = now + terms_.spans.act;
            out.commands.emplace_back(Lapse{turn.machine, turn.fence});
            return;
        }
        if (task.silent >= kMostSilent && !task.called && turn.state != TurnState::kGranted)
            answer(now, terms_.answers.broken, turn, task, "its keeper does not answer", evening, out);
        // Somebody may have told it to drain, and the answer was lost: it has to be brought back for sure.
        if (task.silent >= kMostSilent && turn.state == TurnState::kGranted)
            return move(now, turn, task, TurnState::kReturning, "its keeper does not answer", out);
        return act(now, turn.machine, task, Act::kLook, out);
    }
    const Kept kept = task.kept;
    switch (turn.state) {
    case TurnState::kGranted:
        if (kept == Kept::kBroken) // it was broken before: the operator's, not ours
            return move(now, turn, task, TurnState::kProposed, "it is broken", out);
        if (undo) return move(now, turn, task, TurnState::kReturning, turn.why, out);
        if (kept == Kept::kServing || kept == Kept::kStarting)
            return act(now, turn.machine, task, Act::kDrain, out);
        return move(now, turn, task, TurnState::kDraining, "", out); // it drains, or further than that
    case TurnState::kDraining:
        if (undo) return move(now, turn, task, TurnState::kReturning, turn.why, out);
        if (kept == Kept::kWorking || kept == Kept::kWorked)
            return move(now, turn, task, TurnState::kOut, "", out);
        if (kept == Kept::kDrained) return act(now, turn.machine, task, Act::kOut, out);
        if (kept == Kept::kServing) return act(now, turn.machine, task, Act::kDrain, out); // it forgot
        if (waited > terms_.spans.drain)
            return answer(now, terms_.answers.drain_late, turn, task, "it does not drain", evening, out);
        return act(now, turn.machine, task, Act::kLook, out);
    case TurnState::kOut:
        if (undo || kept == Kept::kWorked)
            return move(now, turn, task, TurnState::kReturning, undo ? turn.why : "its work is done", out);
        if (kept == Kept::kServing || kept == Kept::kStarting) // somebody brought it back
            return move(now, turn, task, TurnState::kReturning, "it came back by itself", out);
        if (kept == Kept::kBroken)
            return answer(now, terms_.answers.broken, turn, task, "it broke during its work", evening, out);
        if (waited > terms_.spans.work)
            return answer(now, terms_.answers.work_late, turn, task, "its work does not end", evening, out);
        return act(now, turn.machine, task, Act::kLook, out);
    case TurnState::kReturning: {
        if (kept == Kept::kBroken)
            return answer(now, terms_.answers.broken, turn, task, "it came back broken", evening, out);
        if (kept != Kept::kServing && kept != Kept::kStarting) {
            if (waited > terms_.spans.back)
                answer(now, terms_.answers.back_late, turn, task, "it does not come back", evening, out);
            return act(now, turn.machine, task, Act::kBack, out);
        }
        const auto seen = outlook.machines.find(turn.machine);
        const bool warm = seen != outlook.machines.end() && seen->second.health == Health::kWarm;
        if (kept == Kept::kServing && warm) {
            if (undo) return move(now, turn, task, TurnState::kProposed, turn.why, out);
            return move(now, turn, task, TurnState::kWarm, "", out);
        }
        const bool unseen = seen == outlook.machines.end() || seen->second.health == Health::kGone;
        if (waited > terms_.spans.back + terms_.spans.warm && kept == Kept::kServing && unseen) {
            // Neither cold nor broken by any word of its own: whoever can look at it is told.
            if (!std::exchange(task.called, true))
                out.calls.push_back(turn.machine + ": its keeper says that it serves, and nobody sees it");
        } else if (waited > terms_.spans.back + terms_.spans.warm)
            answer(now, kept == Kept::kServing ? terms_.answers.cold_late : terms_.answers.back_late, turn,
                   task, kept == Kept::kServing ? "it stays cold" : "it does not come back", evening, out);
        return act(now, turn.machine, task, Act::kLook, out);
    }
    case TurnState::kWarm:
        return move(now, turn, task, TurnState::kDone, "", out);
    case TurnState::kProposed:
    case TurnState::kDone:
    case TurnState::kGivenUp:
        return;
    }
}

void Hand::answer(Tenths now, Answer how, const Turn& turn, Task& task, const std::string& why,
                  const Evening& evening, HandOut& out) {
    const std::string words = turn.machine + ": " + why;
    const bool said = std::exchange(task.called, true);
    switch (how) {
    case Answer::kWait:
        break;
    case Answer::kSkip:
        if (turn.state == TurnState::kReturning) return move(now, turn, task, TurnState::kGivenUp, why, out);
        [[fallthrough]];
    case Answer::kPutBack:
        if (turn.state != TurnState::kReturning)
            return move(now, turn, task, TurnState::kReturning, why, out);
        break;
    case Answer::kCall:
        if (!said) out.calls.push_back(words);
        [[fallthrough]];
    case Answer::kStop:
        if (!evening.held() && !said) out.commands.emplace_back(Hold{{}, words});
        break;
    }
    // It may still come to that; one that is to come back is told so again instead.
    if (turn.state != TurnState::kReturning || task.kept == Kept::kUnknown || task.kept == Kept::kBroken)
        act(now, turn.machine, task, Act::kLook, out);
}

void Hand::act(Tenths now, const std::string& machine, Task& task, Act what, HandOut& out) {
    if (task.out || now < task.act_at) return;
    ++counts_.acts;
    task.out = KeeperAct{++serial_, machine, what, task.fence};
    task.act_by = now + terms_.spans.act;
    out.acts.push_back(*task.out);
}

void Hand::move(Tenths now, const Turn& turn, Task& task, TurnState to, std::string why, HandOut& out) {
    if (now < task.move_at) return;
    task.move_at = task.act_at = now + terms_.spans.act / kLooks; // said again until it is agreed on
    const bool undone = to == TurnState::kReturning && task.kept != Kept::kWorked;
    out.commands.emplace_back(Move{turn.machine, turn.fence, to, std::move(why), undone});
}

void Hand::hear(Tenths now, std::uint64_t serial, const std::string& machine, Kept kept) {
    Task* waiting = nullptr;
    for (auto* tasks : {&tasks_, &fosters_})
        if (const auto found = tasks->find(machine);
            found != tasks->end() && found->second.out && found->second.out->serial == serial)
            waiting = &found->second;
    if (waiting == nullptr) return void(++counts_.strange); // twice, late, or of another machine
    Task& task = *waiting;
    ++counts_.answers;
    const Act what = task.out->act;
    task.out.reset();
    if (kept == Kept::kRefused) {
        // Somebody holds a later grant: we have slept. Nothing more is done until we hear what holds.
        ++counts_.refused, task.refused = true, task.until = 0;
        return;
    }
    task.silent = kept == Kept::kUnknown ? task.silent + 1 : 0;
    task.claimed = task.claimed || kept != Kept::kUnknown;
    task.kept = kept;
    // After an act the machine is looked at soon, while nothing happens by and by.
    task.act_at = now + (what == Act::kLook ? terms_.spans.act / kLooks : 1);
}

std::vector<Command> Hand::give_back(const Evening& evening) {
    std::vector<Command> commands;
    for (auto& [machine, task] : tasks_) {
        task.given = true, task.until = 0;
        const Turn* turn = evening.turn(machine);
        if (turn != nullptr && turn->holder == terms_.self && !is_over(turn->state))
            commands.emplace_back(Lapse{machine, turn->fence});
    }
    return commands;
}

} // namespace ivyrill::rota
