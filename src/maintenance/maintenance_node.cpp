#include "maintenance/maintenance_node.hpp"

#include "maintenance/codec.hpp"

#include <algorithm>

namespace ivyrill::maintenance {

namespace {

using codec::Json;
using membership::MemberState;

constexpr std::size_t kMaxPeerBuckets = 2'000, kMaxPendingRequests = 200;
constexpr double kBurstSeconds = 0.5;          // capacity of a token bucket, in seconds of its rate
constexpr int kScheduleRequestHeartbeats = 10; // heartbeats between two requests for the schedule
constexpr int kProposalRetryHeartbeats = 6;    // heartbeats until an unconfirmed proposal is repeated
constexpr int kMaxForwards = 2;                // hops of a proposal on its way to the leader
constexpr Ticks kMaxRequestAge = 300 * kTicksPerSecond; // older operators' requests are refused
constexpr Ticks kRequestTimeout = 10 * kTicksPerSecond;
// Lease durations without a leader until any node may bring machines back.
constexpr int kLeaderlessLeases = 3;
// A zone counts as lost if this share of its machines is gone outside of maintenance.
constexpr double kLostZoneShare = 0.6;

membership::MemberListOptions member_list_options(const MaintenanceNodeSettings& settings) {
    membership::MemberListOptions result;
    result.name = settings.name, result.address = settings.address, result.peers = settings.peers;
    for (const Candidate& candidate : settings.candidates)
        if (std::ranges::find(result.peers, candidate.address) == result.peers.end())
            result.peers.push_back(candidate.address);
    result.incarnation = settings.incarnation, result.seed = settings.seed ^ 0x5eedULL;
    result.probe_interval = settings.probe_interval, result.probe_timeout = settings.probe_interval / 5;
    return result;
}

ConsensusSettings consensus_settings(const MaintenanceNodeSettings& settings) {
    ConsensusSettings result;
    result.name = settings.name, result.voter_count = settings.voter_count,
    result.heartbeat = settings.heartbeat;
    for (const Candidate& candidate : settings.candidates) result.candidates.push_back(candidate.name);
    result.seed = settings.seed ^ 0xc0ffeeULL;
    return result;
}

bool may_vote(const MaintenanceNodeSettings& settings, const RaftStore* store) {
    return store != nullptr && std::ranges::find(settings.candidates, settings.name, &Candidate::name) !=
                                   settings.candidates.end();
}

std::string milliseconds_text(Ticks time) { return std::to_string(time * 1000 / kTicksPerSecond); }

Json job_json(const MaintenanceJob& job) {
    return {{"machine", job.machine},     {"state", to_string(job.state)}, {"holder", job.holder},
            {"fence", job.fence.value},   {"order", job.order.value},      {"hurried", job.prioritized},
            {"withdrawn", job.withdrawn}, {"recalled", job.recalled},      {"setbacks", job.setbacks},
            {"why", job.reason}};
}

} // namespace

MaintenanceNode::MaintenanceNode(MaintenanceNodeSettings settings, RaftStore* store, Ticks now,
                                 Ticks wall_time)
    : settings_(std::move(settings)), now_(now), started_at_(now), wall_time_(wall_time),
      datagram_codec_(settings_.secret), member_list_(member_list_options(settings_), now),
      transport_(settings_.name, settings_.address, datagram_codec_,
                 // A later process must not reuse the serials of this one.
                 (settings_.seed ^ static_cast<std::uint64_t>(wall_time) * 0x9e3779b97f4a7c15ULL) >> 16U),
      scheduler_({settings_.limits, settings_.timing, settings_.failure_policy, settings_.seed}),
      executor_({settings_.name, settings_.timing, settings_.failure_policy}),
      random_(settings_.seed ^ 0xace5ULL) {
    if (may_vote(settings_, store)) {
        consensus_ = std::make_unique<ConsensusNode>(consensus_settings(settings_), *store, now);
        consensus_->on_applied = [this](const Command& command, const CommandResult& outcome) {
            on_command_applied(command, outcome);
        };
    }
    executor_at_ = now;
}

// A candidate that is not a voter receives the schedule from a voter like all other nodes.
bool MaintenanceNode::is_voter() const { return consensus_ && consensus_->is_voter(); }

const MaintenanceSchedule& MaintenanceNode::schedule() const {
    return is_voter() ? consensus_->schedule() : remote_schedule_;
}

Ticks MaintenanceNode::schedule_age(Ticks now) const {
    const Ticks at = is_voter() ? consensus_->last_leader_contact() : remote_schedule_at_;
    return at == 0 ? now : now - at;
}

// There has been no leader for so long that no lease can still be valid.
bool MaintenanceNode::leaderless() const {
    const Ticks since = std::max(started_at_, consensus_->last_leader_contact());
    return now_ > since + kLeaderlessLeases * settings_.timing.lease;
}

std::string MaintenanceNode::leader() const { return is_voter() ? consensus_->leader() : remote_leader_; }

const std::string* MaintenanceNode::address_of(const std::string& name) const {
    if (const std::string* known = member_list_.address_of(name)) return known;
    const auto found = std::ranges::find(settings_.candidates, name, &Candidate::name);
    return found == settings_.candidates.end() ? nullptr : &found->address;
}

void MaintenanceNode::log_event(std::string event, std::vector<std::pair<std::string, std::string>> fields,
                                bool is_error) {
    effects_.emplace_back(LogLine{is_error, std::move(event), std::move(fields)});
}

// ---- input

bool MaintenanceNode::take_token(Ticks now, TokenBucket& bucket, double rate) const {
    const double capacity = rate * kBurstSeconds;
    if (bucket.refilled_at == 0) bucket.tokens = capacity;
    bucket.tokens = std::min(capacity, bucket.tokens + rate * static_cast<double>(now - bucket.refilled_at) /
                                                           static_cast<double>(kTicksPerSecond));
    bucket.refilled_at = now;
    return bucket.tokens >= 1 ? (bucket.tokens -= 1, true) : false;
}

void MaintenanceNode::receive(Ticks now, const std::string& from, std::string_view bytes) {
    now_ = std::max(now_, now);
    ++counts_.datagrams;
    if (peer_buckets_.size() >= kMaxPeerBuckets) peer_buckets_.clear();
    if (!take_token(now_, total_bucket_, settings_.max_datagrams_per_second) ||
        !take_token(now_, peer_buckets_[from], settings_.max_datagrams_per_peer))
        return void(++counts_.rate_limited);
    if (!FragmentTransport::is_fragment(bytes)) {
        if (const auto datagram = datagram_codec_.decode(bytes))
            handle_member_list_effects(member_list_.receive(now_, *datagram));
        return;
    }
    if (const auto message = transport_.receive(now_, bytes)) dispatch(*message);
    for (auto& datagram : transport_.take_datagrams())
        effects_.emplace_back(SendDatagram{std::move(datagram.address), std::move(datagram.bytes)});
}

void MaintenanceNode::dispatch(const PeerMessage& message) {
    switch (message.kind) {
    case MessageKind::kConsensus:
        if (consensus_) consensus_->receive(now_, message.from, message.bytes), send_consensus_messages();
        return;
    case MessageKind::kProposal:
        return handle_proposal(message);
    case MessageKind::kProposalResult:
        return handle_proposal_result(message);
    case MessageKind::kScheduleRequest:
        if (is_voter()) send_schedule(message.address);
        return;
    case MessageKind::kSchedule:
        return handle_schedule(message);
    case MessageKind::kOperatorRequest:
        return handle_operator_request(message);
    case MessageKind::kOperatorReply:
    case MessageKind::kResendRequest:
        return;
    }
}

void MaintenanceNode::handle_member_list_effects(std::vector<membership::Effect> effects) {
    for (auto& effect : effects) {
        if (const auto* sent = std::get_if<membership::SendDatagram>(&effect)) {
            if (auto bytes = datagram_codec_.encode(sent->datagram))
                effects_.emplace_back(SendDatagram{sent->address, std::move(*bytes)});
            continue;
        }
        const auto& changed = std::get<membership::MemberChanged>(effect);
        static constexpr const char* kStateNames[] = {"alive", "suspect", "failed", "left"};
        log_event("member", {{"name", changed.name},
                             {"standing", kStateNames[static_cast<int>(changed.state)]},
                             {"incarnation", std::to_string(changed.incarnation)}});
    }
    if (const std::size_t present = member_list_.present_count(); present != present_members_) {
        present_members_ = present;
        effects_.emplace_back(MemberCount{present});
    }
}

void MaintenanceNode::update_servers(const std::map<std::string, ObservedMachine>& servers,
                                     double rejected_search_share) {
    servers_ = servers, rejected_search_share_ = rejected_search_share;
}

void MaintenanceNode::on_machine_status(Ticks now, std::uint64_t serial, const std::string& machine,
                                        MachineStatus status) {
    now_ = std::max(now_, now);
    executor_.on_status(now_, serial, machine, status);
    executor_at_ = now_;
}

// ---- output

void MaintenanceNode::send(const std::string& name, MessageKind kind, const std::string& bytes) {
    if (const std::string* address = address_of(name)) send_to(*address, kind, bytes);
}

void MaintenanceNode::send_to(const std::string& address, MessageKind kind, const std::string& bytes) {
    transport_.send(now_, address, kind, bytes);
    for (auto& datagram : transport_.take_datagrams())
        effects_.emplace_back(SendDatagram{std::move(datagram.address), std::move(datagram.bytes)});
}

void MaintenanceNode::send_consensus_messages() {
    for (const ConsensusMessage& message : consensus_->take_messages())
        send(message.to, MessageKind::kConsensus, message.bytes);
}

void MaintenanceNode::propose(const Command& command, const std::string& requested_by, int forwards) {
    ++counts_.proposals;
    const std::string request = request_id_of(command);
    if (consensus_ && consensus_->is_leader()) {
        if (!request.empty() && !requested_by.empty()) requesters_[request] = requested_by;
        consensus_->propose(command);
        return send_consensus_messages();
    }
    std::string to = leader();
    if (to == settings_.name || forwards >= kMaxForwards) return;
    if (to.empty()) { // a voter may know the leader
        std::vector<std::string> voters(remote_voters_.begin(), remote_voters_.end());
        if (is_voter()) return;
        if (voters.empty()) {
            for (const Candidate& candidate : settings_.candidates) voters.push_back(candidate.name);
        }
        if (voters.empty()) return;
        to = voters[static_cast<std::size_t>(random_.unit() * static_cast<double>(voters.size()))];
    }
    ++counts_.forwarded;
    send(to, MessageKind::kProposal,
         codec::pack_cbor(Json::array({forwards + 1, requested_by.empty() ? settings_.address : requested_by,
                                       Json::binary(std::vector<std::uint8_t>([&] {
                                           const std::string bytes = encode(command);
                                           return std::vector<std::uint8_t>(bytes.begin(), bytes.end());
                                       }()))})));
}

void MaintenanceNode::handle_proposal(const PeerMessage& message) {
    if (!consensus_) return;
    try {
        const Json row = Json::from_cbor(message.bytes.begin(), message.bytes.end());
        const auto forwards = codec::decode_count(row.at(0));
        const std::string requested_by = codec::decode_text(row.at(1));
        const auto& bytes = row.at(2).get_binary();
        const auto command = decode(std::string(bytes.begin(), bytes.end()));
        // Commands that only a leader may issue are not accepted from other nodes.
        if (!command || std::holds_alternative<UpdateFleet>(*command) ||
            std::holds_alternative<GrantLease>(*command) || std::holds_alternative<RecallJob>(*command))
            return;
        if (forwards <= kMaxForwards) propose(*command, requested_by, static_cast<int>(forwards));
    } catch (const std::exception&) { return; }
}

// Called for each command when it is applied, as on every other node.
void MaintenanceNode::on_command_applied(const Command& command, const CommandResult& outcome) {
    if (on_committed) on_committed(command, outcome);
    scheduler_at_ = executor_at_ = now_; // the schedule has changed
    if (!outcome.accepted) ++counts_.rejected_commands;
    const std::string request = request_id_of(command);
    if (const auto requester = requesters_.find(request);
        !request.empty() && requester != requesters_.end()) {
        send_to(requester->second, MessageKind::kProposalResult,
                codec::pack_cbor(Json::array({request, outcome.accepted, outcome.reason})));
        requesters_.erase(requester);
    }
    if (!outcome.accepted || std::holds_alternative<ConfirmLease>(command)) return;
    const std::string machine = std::visit(
        [](const auto& value) -> std::string {
            if constexpr (requires { value.machine; })
                return value.machine;
            else
                return {};
        },
        command);
    if (machine.empty()) return log_event("rota", {{"agreed", describe(command)}});
    const MaintenanceJob* job = schedule().job(machine);
    if (job == nullptr) return;
    log_event("turn", {{"machine", machine},
                       {"state", to_string(job->state)},
                       {"holder", job->holder.empty() ? "-" : job->holder},
                       {"fence", std::to_string(job->fence.value)},
                       {"at_ms", milliseconds_text(wall_time_)},
                       {"why", job->reason}});
}

// ---- timers

void MaintenanceNode::step(Ticks now, Ticks wall_time) {
    now_ = std::max(now_, now), wall_time_ = wall_time;
    if (now_ >= member_list_.next_step()) handle_member_list_effects(member_list_.step(now_));
    transport_.step(now_);
    if (consensus_) {
        if (now_ >= consensus_->next_step()) consensus_->step(now_);
        run_scheduler();
        send_consensus_messages();
    }
    if (!settings_.candidates.empty() && !is_voter() && now_ >= request_schedule_at_) request_schedule();
    if (!settings_.candidates.empty() && now_ >= executor_at_) {
        ExecutorOutput output = executor_.run(now_, schedule(), observe_fleet());
        if (is_voter() && leaderless()) {
            if (now_ >= uncommitted_refresh_at_)
                uncommitted_schedule_ = consensus_->uncommitted_schedule(),
                uncommitted_refresh_at_ = now_ + settings_.timing.lease;
            auto actions = executor_.recover_without_leader(now_, uncommitted_schedule_);
            output.actions.insert(output.actions.end(), actions.begin(), actions.end());
        } else {
            executor_.leader_available();
        }
        for (const Command& command : output.commands) propose(command);
        for (MachineCommand& command : output.actions) {
            log_event("act", {{"machine", command.machine},
                              {"act", to_string(command.action)},
                              {"fence", std::to_string(command.fence.value)}});
            effects_.emplace_back(std::move(command));
        }
        for (const std::string& notification : output.notifications)
            log_event("call", {{"why", notification}}, true);
        executor_at_ = executor_.next_step(now_);
        if (is_voter() && leaderless()) executor_at_ = std::min(executor_at_, now_ + settings_.timing.action);
    }
    for (auto next = pending_requests_.begin(); next != pending_requests_.end();) {
        auto& [request, pending] = *next;
        if (now_ >= pending.deadline) {
            send_to(pending.address, MessageKind::kOperatorReply,
                    codec::pack_cbor(Json::array(
                        {request, false, "not committed in time: no majority is reachable; try again"})));
            next = pending_requests_.erase(next);
            continue;
        }
        if (now_ >= pending.retry_at) {
            pending.retry_at = now_ + kProposalRetryHeartbeats * settings_.heartbeat;
            propose(pending.command, settings_.address);
        }
        ++next;
    }
    for (auto& datagram : transport_.take_datagrams())
        effects_.emplace_back(SendDatagram{std::move(datagram.address), std::move(datagram.bytes)});
}

Ticks MaintenanceNode::next_step() const {
    Ticks first = std::min(member_list_.next_step(), transport_.next_step().value_or(now_ + kTicksPerSecond));
    if (!settings_.candidates.empty()) first = std::min(first, executor_at_);
    if (consensus_) first = std::min(first, consensus_->next_step());
    if (consensus_ && consensus_->is_leader() && pending_proposals_ == 0)
        first = std::min(first, scheduler_at_);
    if (!is_voter() && !settings_.candidates.empty()) first = std::min(first, request_schedule_at_);
    for (const auto& [request, pending] : pending_requests_) first = std::min(first, pending.retry_at);
    return std::max(first, now_ + 1);
}

FleetObservation MaintenanceNode::observe_fleet() const {
    FleetObservation observed;
    observed.self = settings_.name, observed.wall_time = wall_time_,
    observed.rejected_search_share = rejected_search_share_;
    observed.machines = servers_;
    observed.voters = is_voter() ? consensus_->voters() : remote_voters_;
    const auto add_front_node = [&](const std::string& name, bool reachable) {
        ObservedMachine machine;
        machine.facts.name = name, machine.facts.front_node = true;
        machine.facts.duration = settings_.front_node_duration;
        machine.health = reachable ? MachineHealth::kWarm : MachineHealth::kGone;
        observed.machines[name] = std::move(machine);
        if (!reachable) observed.unreachable.insert(name);
    };
    add_front_node(settings_.name, true);
    for (const auto& member : member_list_.members()) {
        if (member.state == MemberState::kLeft && !schedule().fleet().contains(member.name)) continue;
        add_front_node(member.name,
                       member.state == MemberState::kAlive || member.state == MemberState::kSuspect);
        if (member.state != MemberState::kAlive) observed.unreachable.insert(member.name);
    }
    for (const std::string& voter : observed.voters) {
        if (voter == settings_.name) continue;
        if (member_list_.address_of(voter) == nullptr) observed.unreachable.insert(voter);
        // A voter that has lost its store is reachable but cannot vote.
        const auto incarnation = consensus_ ? consensus_->known_incarnations().find(voter)
                                            : std::map<std::string, VoterIncarnation>::const_iterator{};
        if (consensus_ && consensus_->is_leader() && incarnation != consensus_->known_incarnations().end() &&
            !consensus_->votes_as(voter, incarnation->second) && observed.machines.contains(voter))
            observed.lost_store.insert(voter);
    }
    observed.voters_settled =
        consensus_ && !consensus_->membership_changing() && observed.voters == schedule().voters() &&
        observed.voters.size() >= std::min(settings_.voter_count, settings_.candidates.size());
    std::map<std::string, std::pair<int, int>> zones; // gone machines, all machines
    for (const auto& [name, machine] : servers_) {
        const MaintenanceJob* job = schedule().job(name);
        auto& [gone, total] = zones[machine.facts.zone];
        ++total;
        gone += machine.health == MachineHealth::kGone && (job == nullptr || !is_out(job->state)) ? 1 : 0;
    }
    for (const auto& [zone, count] : zones)
        if (count.second > 1 && count.first >= kLostZoneShare * count.second) observed.lost_zone = zone;
    return observed;
}

void MaintenanceNode::run_scheduler() {
    const bool leads = consensus_->is_leader();
    if (leads && !std::exchange(was_leader_, true)) {
        ++leadership_count_, pending_proposals_ = 0, scheduler_at_ = now_;
        scheduler_.reset(), voter_gone_since_.clear();
        log_event("rota", {{"leader", settings_.name}, {"term", std::to_string(consensus_->term())}});
    }
    if (!leads) {
        was_leader_ = false, requesters_.clear();
        return;
    }
    if (!consensus_->is_up_to_date() || pending_proposals_ > 0 || now_ < scheduler_at_)
        return; // the latest proposals are not committed yet
    scheduler_at_ = now_ + settings_.heartbeat / 2;
    const FleetObservation observed = observe_fleet();
    const SchedulerDecision decision =
        scheduler_.decide(now_, consensus_->leader_since(), schedule(), observed);
    wait_reason_ = decision.reason;
    for (const Command& command : decision.commands) {
        const std::uint64_t leadership = leadership_count_;
        ++pending_proposals_;
        const bool sent = consensus_->propose(command, [this, leadership](bool) {
            if (leadership == leadership_count_ && pending_proposals_ > 0) --pending_proposals_;
        });
        if (!sent && pending_proposals_ > 0) --pending_proposals_;
    }
    if (decision.transfer_leadership) transfer_leadership(observed);
    if (decision.commands.empty()) manage_voters(observed);
}

void MaintenanceNode::transfer_leadership(const FleetObservation& observed) {
    std::set<std::string> eligible;
    for (const std::string& voter : observed.voters) {
        const MaintenanceJob* job = schedule().job(voter);
        if (!observed.unreachable.contains(voter) && !observed.lost_store.contains(voter) &&
            (job == nullptr || !is_out(job->state)))
            eligible.insert(voter);
    }
    consensus_->transfer_leadership(eligible);
}

// Removes a voter that has been gone for long or has lost its store, and adds a reachable candidate in its
// place.
void MaintenanceNode::manage_voters(const FleetObservation& observed) {
    if (consensus_->membership_changing()) return;
    const std::set<std::string> voters = consensus_->voters();
    const auto reachable = [&](const std::string& name) { return !observed.unreachable.contains(name); };
    const auto is_out_by_schedule = [&](const std::string& name) {
        const MaintenanceJob* job = schedule().job(name);
        return job != nullptr && is_out(job->state);
    };
    // The voters do not change while one of them is out for maintenance: its return is part of the plan.
    if (std::ranges::any_of(voters, is_out_by_schedule)) return;
    for (const std::string& voter : voters) {
        if (voter == settings_.name) continue;
        if (observed.lost_store.contains(voter)) {
            const bool started = consensus_->remove_voter(voter);
            return log_event("seat", {{"lost", voter},
                                      {"why", "its store was lost or replaced"},
                                      {"trouble", started ? "" : consensus_->last_error()}});
        }
        if (reachable(voter)) {
            voter_gone_since_.erase(voter);
            continue;
        }
        const Ticks since = voter_gone_since_.try_emplace(voter, now_).first->second;
        const bool replacement_available =
            std::ranges::any_of(settings_.candidates, [&](const Candidate& other) {
                return !voters.contains(other.name) && reachable(other.name) &&
                       consensus_->known_incarnations().contains(other.name);
            });
        if (now_ < since + settings_.replace_voter_after || !replacement_available) continue;
        const bool started = consensus_->remove_voter(voter);
        return log_event("seat", {{"lost", voter},
                                  {"why", "it has been unreachable for too long"},
                                  {"trouble", started ? "" : consensus_->last_error()}});
    }
    if (voters.size() >= settings_.voter_count) return;
    for (const Candidate& candidate : settings_.candidates) {
        const auto incarnation = consensus_->known_incarnations().find(candidate.name);
        if (voters.contains(candidate.name) || !reachable(candidate.name) ||
            is_out_by_schedule(candidate.name) || incarnation == consensus_->known_incarnations().end())
            continue;
        if (consensus_->add_voter(candidate.name, incarnation->second))
            log_event("seat",
                      {{"taken", candidate.name}, {"seat", std::to_string(incarnation->second.identity)}});
        return;
    }
}

// Orderly shutdown: tells the other nodes and releases the leases, so that they need not wait for an expiry.
void MaintenanceNode::leave(Ticks now) {
    now_ = std::max(now_, now);
    if (!settings_.candidates.empty())
        for (const Command& command : executor_.release_leases(schedule())) propose(command);
    if (consensus_ && consensus_->is_leader())
        transfer_leadership(observe_fleet()), send_consensus_messages();
    handle_member_list_effects(member_list_.leave(now_));
}

// ---- schedule copies of nodes that do not vote

void MaintenanceNode::request_schedule() {
    request_schedule_at_ = now_ + kScheduleRequestHeartbeats * settings_.heartbeat;
    std::vector<std::string> voters(remote_voters_.begin(), remote_voters_.end());
    if (voters.empty())
        for (const Candidate& candidate : settings_.candidates) voters.push_back(candidate.name);
    std::erase(voters, settings_.name);
    if (voters.empty()) return;
    ++counts_.schedule_requests;
    send(voters[static_cast<std::size_t>(random_.unit() * static_cast<double>(voters.size()))],
         MessageKind::kScheduleRequest, {});
}

void MaintenanceNode::send_schedule(const std::string& address) {
    const std::string state = schedule().encode();
    send_to(address, MessageKind::kSchedule,
            codec::pack_cbor(Json::array(
                {leader(), consensus_->voters(), schedule_age(now_), schedule().applied_commands(),
                 Json::binary(std::vector<std::uint8_t>(state.begin(), state.end()))})));
}

void MaintenanceNode::handle_schedule(const PeerMessage& message) {
    if (is_voter()) return;
    try {
        const Json row = Json::from_cbor(message.bytes.begin(), message.bytes.end());
        const auto& bytes = row.at(4).get_binary();
        const auto age = static_cast<Ticks>(codec::decode_count(row.at(2)));
        if (now_ - age < remote_schedule_at_ ||
            codec::decode_count(row.at(3)) < remote_schedule_.applied_commands())
            return; // older than the local copy
        auto state = MaintenanceSchedule::decode(std::string(bytes.begin(), bytes.end()));
        if (!state) return;
        ++counts_.schedules_received;
        remote_schedule_ = std::move(*state), remote_leader_ = codec::decode_text(row.at(0));
        remote_voters_ = codec::decode_texts<std::set<std::string>>(row.at(1));
        remote_schedule_at_ = now_ - age;
    } catch (const std::exception&) { return; }
}

// ---- operators

void MaintenanceNode::handle_operator_request(const PeerMessage& message) {
    ++counts_.operator_requests;
    const auto reply = [&](const std::string& request, bool done, const std::string& text) {
        send_to(message.address, MessageKind::kOperatorReply,
                codec::pack_cbor(Json::array({request, done, text})));
    };
    Json query;
    try {
        query = Json::from_cbor(message.bytes.begin(), message.bytes.end());
        const std::string request = codec::decode_text(query.at("request")),
                          verb = codec::decode_text(query.at("verb"));
        const auto sent_at = static_cast<Ticks>(codec::decode_count(query.at("wall")));
        if (std::abs(sent_at - wall_time_) >
            kMaxRequestAge) { // a replayed request, or clocks that are far apart
            ++counts_.stale_operator_requests;
            return reply(request, false,
                         "the request's timestamp is too far from this node's time: check the clocks");
        }
        if (verb == "show" || verb == "plan" || verb == "explain")
            return reply(request, true, answer_query(query).dump());
        if (settings_.candidates.empty())
            return reply(request, false,
                         "maintenance is not configured on this node: there are no candidates");
        const auto text = [&](const char* name) { return codec::decode_text(query.value(name, Json(""))); };
        std::optional<Command> command;
        if (verb == "add")
            command = AddJobs{request,
                              text("by"),
                              text("note"),
                              codec::decode_texts<std::vector<std::string>>(query.at("machines")),
                              static_cast<Ticks>(codec::decode_count(query.value("earliest", Json(0U)))),
                              static_cast<Ticks>(codec::decode_count(query.value("latest", Json(0U))))};
        if (verb == "withdraw") command = WithdrawJob{request, text("machine"), "withdrawn by " + text("by")};
        if (verb == "hold")
            command = HoldSchedule{request, text("why").empty() ? "held by " + text("by") : text("why")};
        if (verb == "resume") command = ResumeSchedule{request};
        if (verb == "hurry") command = PrioritizeJob{request, text("machine")};
        if (!command) return reply(request, false, "unknown request: " + verb);
        if (pending_requests_.size() >= kMaxPendingRequests && !pending_requests_.contains(request))
            return reply(request, false, "too many requests are pending");
        pending_requests_[request] = {message.address, now_ + kRequestTimeout,
                                      now_ + kProposalRetryHeartbeats * settings_.heartbeat, *command};
        log_event("asked", {{"by", message.from}, {"what", describe(*command)}});
        propose(*command, settings_.address);
    } catch (const std::exception&) { return reply("", false, "the request is malformed"); }
}

void MaintenanceNode::handle_proposal_result(const PeerMessage& message) {
    try {
        const Json row = Json::from_cbor(message.bytes.begin(), message.bytes.end());
        const auto found = pending_requests_.find(codec::decode_text(row.at(0)));
        if (found == pending_requests_.end()) return;
        send_to(found->second.address, MessageKind::kOperatorReply, message.bytes);
        pending_requests_.erase(found);
        request_schedule_at_ = now_;
    } catch (const std::exception&) { return; }
}

Json MaintenanceNode::answer_query(const Json& query) {
    const std::string verb = query.value("verb", "show");
    const MaintenanceSchedule& state = schedule();
    const FleetObservation observed = observe_fleet();
    const std::set<std::string> down = Scheduler::down(state, observed);
    Json result{{"node", settings_.name},
                {"age_ms", schedule_age(now_) * 1000 / kTicksPerSecond},
                {"leader", leader()},
                {"voters", observed.voters},
                {"members", member_list_.present_count()},
                {"held", state.held()},
                {"held_why", state.hold_reason()},
                {"applied", state.applied_commands()}};
    if (consensus_) {
        static constexpr const char* kPhases[] = {"roll call", "takes part", "disowned", "unable"};
        result["phase"] = kPhases[static_cast<int>(consensus_->phase())];
        result["term"] = consensus_->term();
        if (consensus_->is_leader()) result["waits_for"] = wait_reason_;
    }
    if (verb == "show") {
        result["turns"] = Json::array();
        for (const auto& [name, job] : state.jobs()) result["turns"].push_back(job_json(job));
        result["machines"] = state.fleet().size(), result["down"] = down;
        return result;
    }
    std::vector<PlannedJob> jobs_to_plan = pending_jobs(state, wall_time_);
    if (query.contains("machines")) { // a plan for machines that are not scheduled yet
        jobs_to_plan.clear();
        for (const std::string& name : codec::decode_texts<std::vector<std::string>>(query["machines"])) {
            const auto facts = state.fleet().find(name);
            jobs_to_plan.push_back(
                {name, facts == state.fleet().end() ? 0 : facts->second.duration, false, 0});
        }
    }
    const Constraints constraints(state.limits(), state.fleet(), state.voters());
    if (verb == "plan") {
        const auto size = static_cast<int>(std::max<std::size_t>(1, jobs_to_plan.size()));
        const Plan plan =
            plan_optimized(state, jobs_to_plan, down, settings_.seed, std::min(200, 40'000 / (size * size)));
        result["length_ms"] = plan.duration * 1000 / kTicksPerSecond;
        result["first_come_ms"] =
            plan_first_come_first_served(constraints, jobs_to_plan, down).duration * 1000 / kTicksPerSecond;
        result["least_ms"] = duration_lower_bound(state, jobs_to_plan) * 1000 / kTicksPerSecond;
        result["steps"] = Json::array();
        for (const PlanStep& step : plan.steps)
            result["steps"].push_back({{"machine", step.machine},
                                       {"begins_ms", step.start * 1000 / kTicksPerSecond},
                                       {"ends_ms", step.end * 1000 / kTicksPerSecond},
                                       {"why", step.reason}});
        result["never"] = plan.impossible;
        return result;
    }
    const std::string machine = query.value("machine", "");
    result["machine"] = machine;
    if (const MaintenanceJob* job = state.job(machine)) result["turn"] = job_json(*job);
    const auto health = observed.machines.find(machine);
    static constexpr const char* kHealth[] = {"warm", "cold", "drains", "gone"};
    result["health"] =
        health == observed.machines.end() ? "unknown" : kHealth[static_cast<int>(health->second.health)];
    std::set<std::string> unavailable = state.machines_out();
    unavailable.insert(down.begin(), down.end());
    const std::string violation = constraints.violation(machine, unavailable);
    result["objection"] = violation.empty() ? "none: it may go out of service" : violation;
    return result;
}

} // namespace ivyrill::maintenance
