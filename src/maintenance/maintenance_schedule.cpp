#include "maintenance/maintenance_schedule.hpp"

#include "maintenance/codec.hpp"

#include <algorithm>
#include <cmath>

namespace ivyrill::maintenance {

namespace {

constexpr std::size_t kMaxRememberedRequests = 1000;
constexpr std::size_t kMaxJobs = 10'000;

CommandResult rejected(std::string reason) { return {false, std::move(reason)}; }
constexpr auto kAccepted = [] { return CommandResult{true, {}}; };

// State transitions that a holder may propose. All others are rejected, so that a late or duplicate command
// moves no job backwards.
bool transition_allowed(JobState from, JobState to) {
    switch (from) {
    case JobState::kGranted:
        return to == JobState::kDraining || to == JobState::kReturning || to == JobState::kProposed ||
               to == JobState::kGivenUp;
    case JobState::kDraining:
        return to == JobState::kOut || to == JobState::kReturning;
    case JobState::kOut:
        return to == JobState::kReturning;
    case JobState::kReturning:
        return to == JobState::kWarm || to == JobState::kProposed || to == JobState::kGivenUp;
    case JobState::kWarm:
        return to == JobState::kDone;
    case JobState::kProposed:
    case JobState::kDone:
    case JobState::kGivenUp:
        return false;
    }
    return false;
}

} // namespace

const char* to_string(JobState state) {
    switch (state) {
    case JobState::kProposed:
        return "proposed";
    case JobState::kGranted:
        return "granted";
    case JobState::kDraining:
        return "draining";
    case JobState::kOut:
        return "out";
    case JobState::kReturning:
        return "returning";
    case JobState::kWarm:
        return "warm";
    case JobState::kDone:
        return "done";
    case JobState::kGivenUp:
        return "given up";
    }
    return "?";
}

// ---- constraints

Constraints::Constraints(const Limits& limits, const std::map<std::string, MachineFacts>& fleet,
                         const std::set<std::string>& voters)
    : limits_(limits), fleet_(fleet), voters_(voters) {
    for (const auto& [name, facts] : fleet) {
        if (facts.front_node) {
            ++front_node_count_;
            continue;
        }
        ++server_count_, ++zone_sizes_[facts.zone];
        for (const int shard : facts.shards) shard_holders_[shard].push_back(&facts);
    }
}

// A share always allows one machine, as small fleets could not be maintained otherwise.
std::size_t Constraints::max_out(double share, std::size_t count) {
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::floor(share * static_cast<double>(count))));
}

std::string Constraints::violation(const std::string& machine, const std::set<std::string>& down) const {
    const auto found = fleet_.find(machine);
    if (found == fleet_.end()) return "unknown machine";
    const MachineFacts& facts = found->second;
    const auto count_down = [&](auto&& matches) {
        return static_cast<std::size_t>(std::ranges::count_if(down, [&](const std::string& name) {
            const auto other = fleet_.find(name);
            return name != machine && other != fleet_.end() && matches(other->second);
        }));
    };
    if (facts.front_node) {
        if (count_down([](const MachineFacts& other_facts) { return other_facts.front_node; }) + 1 >
            max_out(limits_.front_share, front_node_count_))
            return "the limit of front nodes out of service is reached";
        // A majority of the voters must stay in service.
        if (voters_.contains(machine)) {
            const std::size_t gone = count_down([&](const MachineFacts& other_facts) {
                                         return voters_.contains(other_facts.name);
                                     }) +
                                     1;
            if (voters_.size() - std::min(gone, voters_.size()) < voters_.size() / 2 + 1)
                return "the consensus group would lose its majority";
        }
        return {};
    }
    if (count_down([](const MachineFacts& other_facts) { return !other_facts.front_node; }) + 1 >
        max_out(limits_.fleet_share, server_count_))
        return "the limit of index servers out of service is reached";
    if (count_down([&](const MachineFacts& other_facts) {
            return !other_facts.front_node && other_facts.zone == facts.zone;
        }) + 1 >
        max_out(limits_.zone_share, zone_sizes_.at(facts.zone)))
        return "the limit of zone " + facts.zone + " is reached";
    for (const int shard : facts.shards) {
        double total = 0, remaining = 0;
        int available = 0;
        for (const MachineFacts* holder : shard_holders_.at(shard)) {
            total += holder->capacity;
            if (holder->name == machine || down.contains(holder->name)) continue;
            remaining += holder->capacity, ++available;
        }
        if (available < limits_.min_replicas)
            return "shard " + std::to_string(shard) + " would have " + std::to_string(available) +
                   " available replicas, " + std::to_string(limits_.min_replicas) + " must stay";
        if (remaining < total * (1 - limits_.shard_share) - 1e-9)
            return "shard " + std::to_string(shard) + " would lose too much of its capacity";
    }
    return {};
}

// ---- the state machine

std::string request_id_of(const Command& command) {
    return std::visit(
        [](const auto& command_value) -> std::string {
            if constexpr (requires { command_value.request; })
                return command_value.request;
            else
                return {};
        },
        command);
}

// A request that was already accepted is not applied again: it is repeated because its answer was lost.
CommandResult MaintenanceSchedule::apply(const Command& command) {
    ++applied_commands_;
    const std::string request = request_id_of(command);
    if (!request.empty() && std::ranges::find(requests_, request) != requests_.end()) return {true, {}};
    CommandResult outcome =
        std::visit([this](const auto& command_value) { return execute(command_value); }, command);
    if (outcome.accepted && !request.empty()) {
        requests_.push_back(request);
        if (requests_.size() > kMaxRememberedRequests) requests_.pop_front();
    }
    return outcome;
}

const MaintenanceJob* MaintenanceSchedule::job(const std::string& machine) const {
    const auto found = jobs_.find(machine);
    return found == jobs_.end() ? nullptr : &found->second;
}

std::set<std::string> MaintenanceSchedule::machines_out() const {
    std::set<std::string> names;
    for (const auto& [name, job] : jobs_)
        if (is_out(job.state)) names.insert(name);
    return names;
}

std::size_t MaintenanceSchedule::open_jobs() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(jobs_, [](auto& entry) { return !is_finished(entry.second.state); }));
}

std::string MaintenanceSchedule::violation(const std::string& machine,
                                           const std::set<std::string>& down) const {
    std::set<std::string> unavailable = machines_out();
    unavailable.insert(down.begin(), down.end());
    return Constraints(limits_, fleet_, voters_).violation(machine, unavailable);
}

MaintenanceJob* MaintenanceSchedule::job_with_fence(const std::string& machine, FencingToken fence) {
    const auto found = jobs_.find(machine);
    return found == jobs_.end() || found->second.fence != fence ? nullptr : &found->second;
}

CommandResult MaintenanceSchedule::execute(const UpdateFleet& command) {
    limits_ = command.limits, voters_ = command.voters;
    // A machine that is out of service may be missing in the list; it stays part of the fleet, and
    // unavailable.
    std::erase_if(fleet_, [this](auto& entry) {
        const MaintenanceJob* existing = job(entry.first);
        return existing == nullptr || is_finished(existing->state);
    });
    for (const MachineFacts& facts : command.fleet) fleet_[facts.name] = facts;
    return kAccepted();
}

CommandResult MaintenanceSchedule::execute(const AddJobs& command) {
    if (command.latest != 0 && command.latest <= command.earliest)
        return rejected("the latest time is not after the earliest time");
    for (const std::string& machine : command.machines) {
        if (!fleet_.contains(machine)) return rejected("unknown machine: " + machine);
        if (const MaintenanceJob* existing = job(machine);
            existing != nullptr && !is_finished(existing->state))
            return rejected(machine + " is already scheduled");
    }
    if (command.machines.empty() || jobs_.size() + command.machines.size() > kMaxJobs)
        return rejected(command.machines.empty() ? "no machine is given" : "too many machines");
    ++last_order_.value;
    for (const std::string& machine : command.machines) {
        const MaintenanceJob* previous = job(machine);
        MaintenanceJob added;
        added.machine = machine, added.order = last_order_;
        added.earliest = command.earliest, added.latest = command.latest;
        added.reason = command.note.empty() ? "added by " + command.requested_by : command.note;
        if (previous != nullptr) added.fence = previous->fence; // fencing tokens never decrease
        jobs_[machine] = std::move(added);
    }
    return kAccepted();
}

CommandResult MaintenanceSchedule::execute(const WithdrawJob& command) {
    const auto found = jobs_.find(command.machine);
    if (found == jobs_.end() || is_finished(found->second.state))
        return rejected(command.machine + " is not scheduled");
    MaintenanceJob& job = found->second;
    job.withdrawn = true, job.reason = command.reason.empty() ? "withdrawn" : command.reason;
    if (job.state == JobState::kProposed) job.state = JobState::kGivenUp;
    return kAccepted();
}

CommandResult MaintenanceSchedule::execute(const HoldSchedule& command) {
    held_ = true, hold_reason_ = command.reason;
    return kAccepted();
}

CommandResult MaintenanceSchedule::execute(const ResumeSchedule& /*command*/) {
    held_ = false, hold_reason_.clear();
    return kAccepted();
}

CommandResult MaintenanceSchedule::execute(const PrioritizeJob& command) {
    const auto found = jobs_.find(command.machine);
    if (found == jobs_.end() || is_finished(found->second.state))
        return rejected(command.machine + " is not scheduled");
    found->second.prioritized = true;
    return kAccepted();
}

// The only place where a machine may go out of service. The limits are checked here against the replicated
// state, whatever the granting node observed: a deposed leader, or one with another view of the fleet, cannot
// take a second machine.
CommandResult MaintenanceSchedule::execute(const GrantLease& command) {
    MaintenanceJob* job = job_with_fence(command.machine, command.previous_fence);
    if (job == nullptr || is_finished(job->state)) return rejected("another lease was granted first");
    const bool is_new = job->state == JobState::kProposed;
    if (!is_new && !job->holder.empty()) return rejected("the job has a holder");
    if (is_new && held_) return rejected("the schedule is on hold: " + hold_reason_);
    if (is_new && command.wall_time != 0) {
        if (command.wall_time < job->earliest) return rejected("it is before the job's earliest time");
        if (job->latest != 0 && command.wall_time > job->latest)
            return rejected("it is after the job's latest time");
    }
    if (is_new)
        if (std::string reason = violation(command.machine, command.down); !reason.empty())
            return rejected(std::move(reason));
    job->fence = last_fence_ = {last_fence_.value + 1};
    job->holder = command.holder, job->lease_confirmed = false, job->holder_time = 0;
    if (is_new) job->state = JobState::kGranted, job->recalled = false, job->reason = "granted";
    return kAccepted();
}

CommandResult MaintenanceSchedule::execute(const ConfirmLease& command) {
    MaintenanceJob* job = job_with_fence(command.machine, command.fence);
    if (job == nullptr || job->holder != command.holder) return rejected("the job belongs to another holder");
    if (command.holder_time < job->holder_time)
        return rejected("the confirmation is older than the latest one");
    job->lease_confirmed = true, job->holder_time = command.holder_time;
    return kAccepted();
}

CommandResult MaintenanceSchedule::execute(const AdvanceJob& command) {
    MaintenanceJob* job = job_with_fence(command.machine, command.fence);
    if (job == nullptr || job->holder.empty()) return rejected("the job belongs to another holder");
    if (!transition_allowed(job->state, command.to))
        return rejected("the job is in a state that does not allow this transition");
    job->state = command.to, job->lease_expiries = 0;
    if (!command.reason.empty()) job->reason = command.reason;
    job->recalled = job->recalled || command.incomplete;
    if (command.to == JobState::kProposed) {
        ++job->setbacks, job->holder.clear();
        if (job->withdrawn) job->state = JobState::kGivenUp;
    }
    if (is_finished(job->state)) job->holder.clear();
    return kAccepted();
}

// The machine stays out of service: the next holder continues from the current state.
CommandResult MaintenanceSchedule::execute(const ExpireLease& command) {
    MaintenanceJob* job = job_with_fence(command.machine, command.fence);
    if (job == nullptr || job->holder.empty()) return rejected("the lease has already expired");
    job->holder.clear(), job->lease_confirmed = false, ++job->lease_expiries;
    return kAccepted();
}

CommandResult MaintenanceSchedule::execute(const RecallJob& command) {
    MaintenanceJob* job = job_with_fence(command.machine, command.fence);
    if (job == nullptr || !is_out(job->state)) return rejected("the machine is not out of service");
    job->recalled = true, job->reason = command.reason;
    return kAccepted();
}

// ---- encoding

std::string MaintenanceSchedule::encode() const {
    codec::Json jobs = codec::Json::array(), fleet = codec::Json::array();
    for (const auto& [name, job] : jobs_) jobs.push_back(codec::encode_row(job));
    for (const auto& [name, facts] : fleet_) fleet.push_back(codec::encode_row(facts));
    return codec::pack_cbor({1, codec::encode_row(limits_), fleet, voters_, jobs, requests_, held_,
                             hold_reason_, last_fence_.value, last_order_.value, applied_commands_});
}

std::optional<MaintenanceSchedule> MaintenanceSchedule::decode(std::string_view bytes) {
    return codec::unpack_cbor<MaintenanceSchedule>(bytes, [](const codec::Json& row) {
        if (row.at(0) != 1 || row.size() != 11) throw std::out_of_range("unknown format version");
        MaintenanceSchedule schedule;
        schedule.limits_ = codec::decode_limits(row[1]);
        for (const auto& facts : row[2])
            schedule.fleet_[codec::decode_text(facts.at(0))] = codec::decode_machine(facts);
        schedule.voters_ = codec::decode_texts<std::set<std::string>>(row[3]);
        for (const auto& job : row[4]) schedule.jobs_[codec::decode_text(job.at(0))] = codec::decode_job(job);
        schedule.requests_ = codec::decode_texts<std::deque<std::string>>(row[5]);
        schedule.held_ = row[6].get<bool>(), schedule.hold_reason_ = codec::decode_text(row[7]);
        schedule.last_fence_ = {codec::decode_count(row[8])},
        schedule.last_order_ = {codec::decode_count(row[9])};
        schedule.applied_commands_ = codec::decode_count(row[10]);
        return schedule;
    });
}

} // namespace ivyrill::maintenance
