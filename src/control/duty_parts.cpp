#include "control/duty_parts.hpp"

#include "base/log.hpp"
#include "base/planted_fault.hpp"
#include "duties/order_link.hpp"
#include "wire/cbor.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace ivyrill::control {

namespace {

// Slower than the configuration's group: whoever follows waits for `leaseMs` anyway.
constexpr Tenths kHeartbeat = 3'000;
constexpr Tenths kElectionTimeout = 12'000; // four heartbeats; the longest is twice as long
constexpr Tenths kHoldShare = 3;            // of a lease: for so much of it a holder acts without an answer

std::optional<duties::PartState> state_of(const consensus::Replica& replica) {
    return replica.committed() ? duties::read_part_state(replica.committed()->payload) : std::nullopt;
}

// What can't be read is never replaced.
consensus::Replica::MakePayload payload_by(DutyParts::ChangeState change) {
    return [change = std::move(change)](const std::string& newest) -> std::optional<std::string> {
        const auto state = duties::read_part_state(newest);
        const auto changed = state ? change(*state) : std::nullopt;
        if (!changed) return std::nullopt;
        return wire::to_bytes(*changed);
    };
}

} // namespace

Result<std::unique_ptr<DutyParts>> DutyParts::open(transport::Reactor& reactor,
                                                   const OpenStateFile& open_file, Options options,
                                                   SendToMember send) {
    std::unique_ptr<DutyParts> parts(new DutyParts(reactor, std::move(options), std::move(send)));
    BOOST_OUTCOME_TRYV(parts->load(open_file));
    return parts;
}

DutyParts::DutyParts(transport::Reactor& reactor, Options options, SendToMember send)
    : reactor_(reactor), options_(std::move(options)), send_(std::move(send)), opened_at_(reactor.now()) {}

Result<void> DutyParts::load(const OpenStateFile& open_file) {
    for (std::size_t number = 0; number < parts_.size(); ++number) {
        Part& part = parts_[number];
        part.disk = open_file("duties-" + std::to_string(number));
        BOOST_OUTCOME_TRY(loaded, part.disk->load());
        spoilt_ = spoilt_ || loaded.newest_is_corrupt;
        if (!loaded.bytes || loaded.newest_is_corrupt) continue;
        BOOST_OUTCOME_TRY(read, wire::from_bytes<StoredReplicaState>(*loaded.bytes));
        part.loaded = std::move(read);
    }
    return boost::outcome_v2::success();
}

void DutyParts::join(const consensus::Member& self) {
    if (has_joined()) return;
    self_ = self;
    for (std::size_t number = 0; number < parts_.size(); ++number) open_member(number, self);
    if (!founders_.empty()) found(founders_);
}

void DutyParts::open_member(std::size_t number, const consensus::Member& self) {
    Part& part = parts_[number];
    // What another disk's member had accepted or voted here is not this one's.
    const bool is_own = part.loaded.self.id == self.id && !planted(PlantedFault::kDutiesForgotten);
    const consensus::DurableState durable = is_own ? part.loaded.state : consensus::DurableState{};
    consensus::Options options;
    options.self = self, options.seed = options_.draw();
    options.heartbeat_interval = kHeartbeat, options.election_timeout = kElectionTimeout;
    options.min_copies = options_.min_copies;
    ReplicatedGroup::Callbacks callbacks;
    callbacks.send = [this, number](const consensus::Send& sent) { send_(number, sent); };
    callbacks.committed = [](const consensus::Entry&) {};
    callbacks.role_changed = [this, &part](const consensus::RoleChanged& role) { role_changed(part, role); };
    const Tenths hold = std::min(options_.lease / kHoldShare, kElectionTimeout);
    const duties::Lease::Terms terms{options_.lease, hold, duties::OrderLink::kPatience};
    part.lease = std::make_unique<duties::Lease>(terms, opened_at_);
    part.member = std::make_unique<ReplicatedGroup>(reactor_, *part.disk, std::move(options), durable,
                                                    std::move(callbacks));
    part.member->step();
}

// A disk that has been empty since is another member, and founds nothing: the founders are known by the
// identities of their disks, which are drawn anew.
void DutyParts::found(const std::vector<consensus::Member>& founders) {
    founders_ = founders;
    if (!has_joined() || std::ranges::find(founders, self_.id, &consensus::Member::id) == founders.end())
        return;
    for (Part& part : parts_)
        if (!part.member->replica().newest())
            part.member->bootstrap(founders, wire::to_bytes(duties::PartState{}));
}

void DutyParts::receive(std::size_t part, const consensus::Message& message) {
    if (part < parts_.size() && has_joined()) parts_[part].member->receive(message);
}

void DutyParts::set_member_statuses(const std::vector<consensus::MemberStatus>& candidates) {
    if (!has_joined()) return;
    for (Part& part : parts_) part.member->set_member_statuses(candidates, options_.voters, options_.voters);
}

void DutyParts::role_changed(Part& part, const consensus::RoleChanged& role) {
    const std::size_t number = static_cast<std::size_t>(&part - parts_.data());
    log_line("duties", {{"part", std::to_string(number)},
                        {"leads", role.leads ? "yes" : "no"},
                        {"fence", std::to_string(role.term)}});
    const bool acts_on = ending_ && planted(PlantedFault::kActsAfterRelease);
    if (!role.leads && acts_on) return;
    if (!role.leads) return part.lease->end(reactor_.now());
    ++part.times_led;
    part.led_since = reactor_.now();
    if (ending_) return;
    const auto state = state_of(part.member->replica());
    part.lease->begin(state && duties::was_handed_over(*state, role.term), reactor_.now());
}

void DutyParts::resign() {
    if (std::exchange(ending_, true) || !has_joined()) return;
    for (Part& part : parts_) {
        release(part);
        part.member->resign();
    }
}

// Only who has waited out all former holders may say that nobody acts any more.
void DutyParts::release(Part& part) {
    const bool says_so = part.member->replica().leads() && part.lease->is_settled(reactor_.now());
    if (!planted(PlantedFault::kActsAfterRelease)) part.lease->end(reactor_.now());
    if (!says_so) return;
    const std::uint64_t term = part.member->replica().term();
    part.member->propose_without_waiting(payload_by([term](const duties::PartState& newest) {
        duties::PartState released = planted(PlantedFault::kLedgerForgotten) ? duties::PartState{} : newest;
        released.released_term = term;
        return std::optional(std::move(released));
    }));
}

bool DutyParts::may_act(const Part& part) const {
    const consensus::Replica& replica = part.member->replica();
    const bool leads = replica.leads() || planted(PlantedFault::kActsAfterRelease);
    return leads && part.lease->may_act(replica.contact_at(), reactor_.now());
}

std::optional<std::uint64_t> DutyParts::fence(const duties::Duty& duty) const {
    if (!has_joined()) return std::nullopt;
    const Part& part = parts_[duties::part_of(duty)];
    if (!may_act(part)) return std::nullopt;
    return planted(PlantedFault::kFenceFromMemory) ? part.times_led : part.member->replica().term();
}

bool DutyParts::may_propose(const duties::Duty& duty) const {
    if (fence(duty)) return true;
    if (!has_joined() || ending_) return false;
    const Part& part = parts_[duties::part_of(duty)];
    return part.member->replica().leads() && part.lease->may_prepare(reactor_.now());
}

bool DutyParts::may_act_under(const duties::Duty& duty, std::uint64_t fence) const {
    return this->fence(duty) == fence || planted(PlantedFault::kFenceNotCheckedAtSend);
}

std::optional<duties::PartState> DutyParts::agreed(const duties::Duty& duty) const {
    return has_joined() ? state_of(parts_[duties::part_of(duty)].member->replica()) : std::nullopt;
}

void DutyParts::propose(const duties::Duty& duty, ChangeState change) {
    if (may_propose(duty))
        parts_[duties::part_of(duty)].member->propose_without_waiting(payload_by(std::move(change)));
}

std::array<DutyParts::Standing, duties::kDutyParts> DutyParts::standings() const {
    std::array<Standing, duties::kDutyParts> seen;
    for (std::size_t number = 0; has_joined() && number < parts_.size(); ++number) {
        const consensus::Replica& replica = parts_[number].member->replica();
        const Tenths led_for = replica.leads() ? reactor_.now() - parts_[number].led_since : 0;
        seen[number] = {replica.leads(), may_act(parts_[number]), replica.term(), replica.leader(), led_for};
    }
    return seen;
}

} // namespace ivyrill::control
