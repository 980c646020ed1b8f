#include "rota/evening.hpp"

#include "rota/words.hpp"

#include <algorithm>
#include <cmath>

namespace ivyrill::rota {

namespace {

constexpr std::size_t kMostRequests = 1000; // remembered
constexpr std::size_t kMostTurns = 10'000;

Verdict refused(std::string why) { return {false, std::move(why)}; }
constexpr auto kDone = [] { return Verdict{true, {}}; };

// What may follow what, by the holder's word. Everything else is refused, so that a word heard late or twice
// takes no turn back.
bool may_follow(TurnState from, TurnState to) {
    switch (from) {
    case TurnState::kGranted:
        return to == TurnState::kDraining || to == TurnState::kReturning || to == TurnState::kProposed ||
               to == TurnState::kGivenUp;
    case TurnState::kDraining:
        return to == TurnState::kOut || to == TurnState::kReturning;
    case TurnState::kOut:
        return to == TurnState::kReturning;
    case TurnState::kReturning:
        return to == TurnState::kWarm || to == TurnState::kProposed || to == TurnState::kGivenUp;
    case TurnState::kWarm:
        return to == TurnState::kDone;
    case TurnState::kProposed:
    case TurnState::kDone:
    case TurnState::kGivenUp:
        return false;
    }
    return false;
}

} // namespace

const char* word_of(TurnState state) {
    switch (state) {
    case TurnState::kProposed:
        return "proposed";
    case TurnState::kGranted:
        return "granted";
    case TurnState::kDraining:
        return "draining";
    case TurnState::kOut:
        return "out";
    case TurnState::kReturning:
        return "returning";
    case TurnState::kWarm:
        return "warm";
    case TurnState::kDone:
        return "done";
    case TurnState::kGivenUp:
        return "given up";
    }
    return "?";
}

// ---- what may go with what

Room::Room(const Limits& limits, const std::map<std::string, Facts>& fleet,
           const std::set<std::string>& voters)
    : limits_(limits), fleet_(fleet), voters_(voters) {
    for (const auto& [name, facts] : fleet) {
        if (facts.front_node) {
            ++fronts_;
            continue;
        }
        ++servers_, ++zones_[facts.zone];
        for (const int shard : facts.shards) holders_[shard].push_back(&facts);
    }
}

// A share always lets one go, or small fleets would never be worked on.
std::size_t Room::most_of(double share, std::size_t count) {
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::floor(share * static_cast<double>(count))));
}

std::string Room::objection(const std::string& machine, const std::set<std::string>& down) const {
    const auto found = fleet_.find(machine);
    if (found == fleet_.end()) return "no machine of that name is known";
    const Facts& facts = found->second;
    const auto counted = [&](auto&& like) {
        return static_cast<std::size_t>(std::ranges::count_if(down, [&](const std::string& name) {
            const auto other = fleet_.find(name);
            return name != machine && other != fleet_.end() && like(other->second);
        }));
    };
    if (facts.front_node) {
        if (counted([](const Facts& f) { return f.front_node; }) + 1 > most_of(limits_.front_share, fronts_))
            return "as many front nodes as may be are out";
        // The council never gives its own majority away.
        if (voters_.contains(machine)) {
            const std::size_t gone = counted([&](const Facts& f) { return voters_.contains(f.name); }) + 1;
            if (voters_.size() - std::min(gone, voters_.size()) < voters_.size() / 2 + 1)
                return "the council would lose its majority";
        }
        return {};
    }
    if (counted([](const Facts& f) { return !f.front_node; }) + 1 > most_of(limits_.fleet_share, servers_))
        return "as many index servers as may be are out";
    if (counted([&](const Facts& f) { return !f.front_node && f.zone == facts.zone; }) + 1 >
        most_of(limits_.zone_share, zones_.at(facts.zone)))
        return "as much of zone " + facts.zone + " as may be is out";
    for (const int shard : facts.shards) {
        double all = 0, left = 0;
        int sound = 0;
        for (const Facts* holder : holders_.at(shard)) {
            all += holder->power;
            if (holder->name == machine || down.contains(holder->name)) continue;
            left += holder->power, ++sound;
        }
        if (sound < limits_.floor)
            return "shard " + std::to_string(shard) + " would have " + std::to_string(sound) +
                   " sound replicas, " + std::to_string(limits_.floor) + " must stay";
        if (left < all * (1 - limits_.shard_share) - 1e-9)
            return "shard " + std::to_string(shard) + " would lose too much of its power";
    }
    return {};
}

// ---- the state machine

std::string request_of(const Command& command) {
    return std::visit(
        [](const auto& what) -> std::string {
            if constexpr (requires { what.request; })
                return what.request;
            else
                return {};
        },
        command);
}

// A request that was done is not done again: its answer was lost on the way.
Verdict Evening::apply(const Command& command) {
    ++applied_;
    const std::string request = request_of(command);
    if (!request.empty() && std::ranges::find(requests_, request) != requests_.end()) return {true, {}};
    Verdict verdict = std::visit([this](const auto& what) { return take(what); }, command);
    if (verdict.done && !request.empty()) {
        requests_.push_back(request);
        if (requests_.size() > kMostRequests) requests_.pop_front();
    }
    return verdict;
}

const Turn* Evening::turn(const std::string& machine) const {
    const auto found = turns_.find(machine);
    return found == turns_.end() ? nullptr : &found->second;
}

std::set<std::string> Evening::out() const {
    std::set<std::string> names;
    for (const auto& [name, turn] : turns_)
        if (is_out(turn.state)) names.insert(name);
    return names;
}

std::size_t Evening::open() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(turns_, [](auto& held) { return !is_over(held.second.state); }));
}

std::string Evening::objection(const std::string& machine, const std::set<std::string>& down) const {
    std::set<std::string> all = out();
    all.insert(down.begin(), down.end());
    return Room(limits_, fleet_, voters_).objection(machine, all);
}

Turn* Evening::fenced(const std::string& machine, Fence fence) {
    const auto found = turns_.find(machine);
    return found == turns_.end() || found->second.fence != fence ? nullptr : &found->second;
}

Verdict Evening::take(const Survey& command) {
    limits_ = command.limits, voters_ = command.voters;
    // A machine that is out may well be in no list: it is still one, and still down.
    std::erase_if(fleet_, [this](auto& held) {
        const Turn* there = turn(held.first);
        return there == nullptr || is_over(there->state);
    });
    for (const Facts& facts : command.fleet) fleet_[facts.name] = facts;
    return kDone();
}

Verdict Evening::take(const Add& command) {
    if (command.latest != 0 && command.latest <= command.earliest) return refused("it ends before it begins");
    for (const std::string& machine : command.machines) {
        if (!fleet_.contains(machine)) return refused("no machine is named " + machine);
        if (const Turn* there = turn(machine); there != nullptr && !is_over(there->state))
            return refused(machine + " stands in the order already");
    }
    if (command.machines.empty() || turns_.size() + command.machines.size() > kMostTurns)
        return refused(command.machines.empty() ? "no machine is named" : "too many machines");
    ++last_order_.value;
    for (const std::string& machine : command.machines) {
        const Turn* old = turn(machine);
        Turn fresh;
        fresh.machine = machine, fresh.order = last_order_;
        fresh.earliest = command.earliest, fresh.latest = command.latest;
        fresh.why = command.note.empty() ? "added by " + command.asked_by : command.note;
        if (old != nullptr) fresh.fence = old->fence; // it never falls
        turns_[machine] = std::move(fresh);
    }
    return kDone();
}

Verdict Evening::take(const Withdraw& command) {
    const auto found = turns_.find(command.machine);
    if (found == turns_.end() || is_over(found->second.state))
        return refused(command.machine + " does not stand in the order");
    Turn& turn = found->second;
    turn.withdrawn = true, turn.why = command.why.empty() ? "withdrawn" : command.why;
    if (turn.state == TurnState::kProposed) turn.state = TurnState::kGivenUp;
    return kDone();
}

Verdict Evening::take(const Hold& command) {
    held_ = true, held_why_ = command.why;
    return kDone();
}

Verdict Evening::take(const Resume& /*command*/) {
    held_ = false, held_why_.clear();
    return kDone();
}

Verdict Evening::take(const Hurry& command) {
    const auto found = turns_.find(command.machine);
    if (found == turns_.end() || is_over(found->second.state))
        return refused(command.machine + " does not stand in the order");
    found->second.hurried = true;
    return kDone();
}

// The one place where a machine may go out. The floor is looked at here once more, by what all know, however
// the giver came to its choice: a leader that has been deposed, or sees another fleet, takes no second one.
Verdict Evening::take(const Grant& command) {
    Turn* turn = fenced(command.machine, command.before);
    if (turn == nullptr || is_over(turn->state)) return refused("another grant came first");
    const bool fresh = turn->state == TurnState::kProposed;
    if (!fresh && !turn->holder.empty()) return refused("it has a holder");
    if (fresh && held_) return refused("the evening is held: " + held_why_);
    if (fresh && command.wall != 0) {
        if (command.wall < turn->earliest) return refused("it is too early");
        if (turn->latest != 0 && command.wall > turn->latest) return refused("it is too late");
    }
    if (fresh)
        if (std::string why = objection(command.machine, command.down); !why.empty())
            return refused(std::move(why));
    turn->fence = fence_ = {fence_.value + 1};
    turn->holder = command.holder, turn->taken = false, turn->stamp = 0;
    if (fresh) turn->state = TurnState::kGranted, turn->recalled = false, turn->why = "granted";
    return kDone();
}

Verdict Evening::take(const Take& command) {
    Turn* turn = fenced(command.machine, command.fence);
    if (turn == nullptr || turn->holder != command.holder) return refused("it belongs to another");
    if (command.stamp < turn->stamp) return refused("an older word");
    turn->taken = true, turn->stamp = command.stamp;
    return kDone();
}

Verdict Evening::take(const Move& command) {
    Turn* turn = fenced(command.machine, command.fence);
    if (turn == nullptr || turn->holder.empty()) return refused("it belongs to another");
    if (!may_follow(turn->state, command.to)) return refused("it is not there");
    turn->state = command.to, turn->handed = 0;
    if (!command.why.empty()) turn->why = command.why;
    turn->recalled = turn->recalled || command.undone;
    if (command.to == TurnState::kProposed) {
        ++turn->setbacks, turn->holder.clear();
        if (turn->withdrawn) turn->state = TurnState::kGivenUp;
    }
    if (is_over(turn->state)) turn->holder.clear();
    return kDone();
}

// The machine stays out: whoever gets the turn next goes on where it stands.
Verdict Evening::take(const Lapse& command) {
    Turn* turn = fenced(command.machine, command.fence);
    if (turn == nullptr || turn->holder.empty()) return refused("it has lapsed already");
    turn->holder.clear(), turn->taken = false, ++turn->handed;
    return kDone();
}

Verdict Evening::take(const Recall& command) {
    Turn* turn = fenced(command.machine, command.fence);
    if (turn == nullptr || !is_out(turn->state)) return refused("it is not out");
    turn->recalled = true, turn->why = command.why;
    return kDone();
}

// ---- as bytes

std::string Evening::encode() const {
    words::Json turns = words::Json::array(), fleet = words::Json::array();
    for (const auto& [name, turn] : turns_) turns.push_back(words::row_of(turn));
    for (const auto& [name, facts] : fleet_) fleet.push_back(words::row_of(facts));
    return words::pack({1, words::row_of(limits_), fleet, voters_, turns, requests_, held_, held_why_,
                        fence_.value, last_order_.value, applied_});
}

std::optional<Evening> Evening::decode(std::string_view bytes) {
    return words::unpacked<Evening>(bytes, [](const words::Json& row) {
        if (row.at(0) != 1 || row.size() != 11) throw std::out_of_range("another version");
        Evening made;
        made.limits_ = words::limits_in(row[1]);
        for (const auto& facts : row[2]) made.fleet_[words::text_in(facts.at(0))] = words::facts_in(facts);
        made.voters_ = words::texts_in<std::set<std::string>>(row[3]);
        for (const auto& turn : row[4]) made.turns_[words::text_in(turn.at(0))] = words::turn_in(turn);
        made.requests_ = words::texts_in<std::deque<std::string>>(row[5]);
        made.held_ = row[6].get<bool>(), made.held_why_ = words::text_in(row[7]);
        made.fence_ = {words::count_in(row[8])}, made.last_order_ = {words::count_in(row[9])};
        made.applied_ = words::count_in(row[10]);
        return made;
    });
}

} // namespace ivyrill::rota
