// ControlWorld: checks of the guarantees during a history.
#include "lab/control_world.hpp"

#include "wire/cbor.hpp"

#include <algorithm>
#include <utility>

namespace ivyrill::lab {

namespace {

constexpr Ticks kWatchInterval = 1000;
constexpr Ticks kCatchUp = 4 * kTicksPerSecond;     // after which a lost disk no longer counts
constexpr Ticks kCutOffBound = 3 * kTicksPerSecond; // deadline for an isolated machine to stop serving
constexpr Ticks kOpeningBound = 12'000;             // deadline for a replaced leader to stop
constexpr Ticks kAnswerUnderWay = kTicksPerSecond;  // maximum
constexpr Ticks kLeavingKnownWithin = 500;          // at the leader
constexpr Ticks kJoiningBound = 5000; // after an acknowledged leave; a membership change was in progress
constexpr int kMostVoters = 9;
constexpr Ticks kReplacedBound = 18'000; // from the disk's first message, or after 2 s of silence

} // namespace

void ControlWorld::watch() {
    network_.schedule(network_.now() + kWatchInterval, [this] { watch(); });
    for (const MachineNumber machine : control_) {
        watch_contact(machine);
        watch_lost_disk(machine);
        watch_opening(machine);
        watch_identity(machine);
    }
    watch_voters();
}

// The machine at a voter's address, which may hold another disk by now.
MachineNumber ControlWorld::machine_of(const consensus::Member& voter) const {
    return *std::ranges::find_if(
        control_, [&](MachineNumber machine) { return voter.address == peer_address(machine); });
}

void ControlWorld::watch_voters() {
    const auto leading = leader();
    if (!leading || !node(*leading)->group().in_contact()) {
        disk_replaced_for_ = 0;
        return;
    }
    const std::vector<consensus::Member> voters = node(*leading)->group().voters();
    std::set<std::uint64_t> listed;
    for (const consensus::Member& voter : voters) {
        listed.insert(voter.id.value);
        const bool is_new = !voters_.empty() && !voters_.contains(voter.id.value);
        const MachineNumber machine = machine_of(voter);
        if (is_new && is_live(machine) && node(machine)->group().self() == voter.id) check_joining(machine);
    }
    voters_ = std::move(listed);
    watch_replaced_disks(voters);
}

// A joining voter knows what the voters know: every majority keeps the record of a leave.
void ControlWorld::check_joining(MachineNumber machine) {
    for (const Server& server : servers_) {
        const bool was_acknowledged =
            server.leaving_acknowledged && network_.now() - *server.leaving_acknowledged > kJoiningBound;
        const model::Instance* known = node(machine)->registry().table().find(server.id);
        if (was_acknowledged && known != nullptr && known->is_routable())
            report_violation("machine " + std::to_string(machine) + " votes without knowing that " +
                             server.id + " left");
    }
}

// If another disk holds a voter's address, the group soon tolerates as many further losses as one formed by
// all present machines. (A voter lost without a replacement is detected by its silence, which takes longer.)
void ControlWorld::watch_replaced_disks(const std::vector<consensus::Member>& voters) {
    int there = 0;
    bool is_replaced = false, is_missing = false;
    for (const consensus::Member& voter : voters) {
        const MachineNumber machine = machine_of(voter);
        const bool is_running = is_live(machine) && !node(machine)->group().is_bootstrapping();
        const bool is_same = is_running && node(machine)->group().self() == voter.id;
        there += is_same ? 1 : 0;
        is_replaced = is_replaced || (is_running && !is_same);
        is_missing = is_missing || !is_running;
    }
    const auto losses_tolerated = [](int alive, int listed) { return alive - (listed / 2 + 1); };
    const auto machines = static_cast<int>(
        std::ranges::count_if(control_, [this](MachineNumber machine) { return is_live(machine); }));
    const bool tolerates_fewer = losses_tolerated(there, static_cast<int>(voters.size())) <
                                 losses_tolerated(machines, std::min(machines, kMostVoters));
    const bool counts = is_replaced && !is_missing && tolerates_fewer && is_calm();
    disk_replaced_for_ = counts ? disk_replaced_for_ + kWatchInterval : 0;
    if (disk_replaced_for_ > kReplacedBound)
        report_violation("the group tolerates fewer losses than it could after a disk was replaced");
}

bool ControlWorld::reach_each_other(MachineNumber a, MachineNumber b) const {
    return network_.is_up(b) && network_.reaches(a, b) && network_.reaches(b, a);
}

// Neither the machine nor any machine it reaches can reach a majority of the voters known to that machine.
bool ControlWorld::is_cut_off(MachineNumber machine) const {
    if (!is_live(machine)) return false;
    if (node(machine)->group().voters().empty()) return false;
    const auto reaches_majority = [&](MachineNumber from) {
        if (from != machine && !reach_each_other(machine, from)) return false;
        const std::vector<consensus::Member> voters = node(from)->group().voters();
        const auto reached = std::ranges::count_if(voters, [&](const consensus::Member& voter) {
            const MachineNumber to = machine_of(voter);
            return to == from || reach_each_other(from, to);
        });
        return 2 * static_cast<std::size_t>(reached) > voters.size();
    };
    return std::ranges::none_of(control_, reaches_majority);
}

void ControlWorld::watch_all_contact() {
    for (const MachineNumber machine : control_) watch_contact(machine);
}

// A machine without a connection to the majority stops serving within the bound.
void ControlWorld::watch_contact(MachineNumber machine) {
    Node& here = nodes_.at(machine);
    if (!is_cut_off(machine)) {
        here.cut_off_since.reset();
        return;
    }
    if (!here.cut_off_since) here.cut_off_since = network_.now();
    if (network_.now() - *here.cut_off_since > kCutOffBound && node(machine)->serves_feed())
        report_violation("machine " + std::to_string(machine) + " is isolated and serves its feed");
}

bool ControlWorld::is_calm() {
    if (active_cuts_ > 0) return false;
    return std::ranges::all_of(control_, [this](MachineNumber machine) {
        if (nodes_.at(machine).is_gone) return true;
        return is_live(machine) && network_.now() >= network_.disk(machine).stalled_until &&
               network_.now() >= network_.disk(machine).full_until;
    });
}

void ControlWorld::watch_identity(MachineNumber machine) {
    const control::ControlNode* process = node(machine);
    if (process == nullptr || process->group().is_bootstrapping()) return;
    if (lost_identities_.contains(process->group().self().value))
        report_violation("machine " + std::to_string(machine) + " has the identity of a lost disk");
}

// A feed that opens includes what was acknowledged before the member heard of the current leader.
void ControlWorld::watch_opening(MachineNumber machine) {
    Node& here = nodes_.at(machine);
    const bool serves = is_live(machine) && node(machine)->serves_feed();
    if (serves && !here.was_serving) {
        record_event("machine " + std::to_string(machine) + " opens its feed");
        const std::int64_t known = history_.known_before(network_.now() - kOpeningBound);
        const model::Configuration* configuration = node(machine)->log().configuration();
        const std::int64_t version = configuration == nullptr ? 0 : configuration->version;
        if (version < known)
            report_violation("machine " + std::to_string(machine) + " opens its feed with version " +
                             std::to_string(version) + " after " + std::to_string(known));
    }
    if (is_live(machine)) here.was_serving = serves;
}

// The version on its disk, committed or not; 0 for none.
std::int64_t ControlWorld::version_on_disk(MachineNumber machine) const {
    const auto& values = network_.disk(machine).values;
    const auto state = values.find("state");
    if (state == values.end() || !state->second.durable) return 0;
    const auto order = order_in(*state->second.durable);
    return order ? history_.order(*order).version : 0;
}

// A machine that held the acknowledged version may have been lost while the answer was in transit between
// nodes.
bool ControlWorld::lost_a_disk_lately() const { return network_.now() - last_disk_loss_ < kAnswerUnderWay; }

// An acknowledged version is on more disks of remaining machines than may be lost at once.
void ControlWorld::check_order_lasts(OrderNumber order) {
    if (!answered_orders_.insert(order).second) return; // copies may be lost later
    if (lost_a_disk_lately()) return;
    int copies = 0;
    for (const MachineNumber machine : control_) {
        const Node& here = nodes_.at(machine);
        const bool leaves = here.leaving_since && network_.now() - *here.leaving_since > kLeavingKnownWithin;
        const bool is_known = active_cuts_ == 0 && !message_faults_;
        if (here.is_gone || (leaves && is_known)) continue;
        copies += version_on_disk(machine) >= history_.order(order).version ? 1 : 0;
    }
    if (copies <= plan_.tolerance)
        report_violation("order " + std::to_string(history_.order(order).version) + " is acknowledged on " +
                         std::to_string(copies) + " disks");
}

// An acknowledged leave is on the disks of a majority of the voters.
void ControlWorld::check_leaving_lasts(const std::string& server, MachineNumber answering) {
    if (!answered_leavings_.insert(server).second) return;
    if (lost_a_disk_lately()) return;
    const std::vector<consensus::Member> voters = node(answering)->group().voters();
    std::size_t copies = 0;
    for (const MachineNumber machine : control_) {
        const std::string address = peer_address(machine);
        const control::ControlNode* process = node(machine);
        const bool votes = process && std::ranges::any_of(voters, [&](const consensus::Member& voter) {
                               return voter.address == address && voter.id == process->group().self();
                           });
        if (!votes) continue;
        const auto known = network_.disk(machine).values.find("known");
        if (known == network_.disk(machine).values.end() || !known->second.durable) continue;
        const auto state = wire::from_bytes<control::NodeSnapshot>(*known->second.durable);
        const auto record = std::ranges::find(state.value().instances, server, &model::Instance::id);
        const bool holds = record != state.value().instances.end() && !record->is_routable();
        copies += holds ? 1 : 0;
    }
    const auto down = static_cast<std::size_t>(std::ranges::count_if(control_, [this](MachineNumber machine) {
        return !nodes_.at(machine).is_gone && !network_.is_up(machine);
    }));
    if (2 * (copies + down) <= voters.size()) // machines that are down may hold it
        report_violation("the leave of " + server + " is acknowledged on " + std::to_string(copies) +
                         " disks of " + std::to_string(voters.size()) + " voters");
}

void ControlWorld::watch_lost_disk(MachineNumber machine) {
    Node& here = nodes_.at(machine);
    if (!here.disk_counts_as_lost || !is_calm()) {
        here.calm_for = 0;
        return;
    }
    here.calm_for += kWatchInterval;
    if (here.calm_for >= kCatchUp) here.disk_counts_as_lost = false;
}

} // namespace ivyrill::lab
