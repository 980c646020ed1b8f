#include "control/duty_partitions.hpp"

#include "base/log.hpp"
#include "base/planted_fault.hpp"
#include "duties/order_client.hpp"
#include "wire/cbor.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace ivyrill::control {

namespace {

// Slower than the configuration's group, because a new holder waits for `leaseMs` anyway.
constexpr Ticks kHeartbeat = 3'000;
constexpr Ticks kElectionTimeout = 12'000; // four heartbeats; randomized up to twice as long
constexpr Ticks kContactAgeDivisor = 3;    // a holder acts without contact to a majority for 1/3 of the lease

std::optional<duties::PartitionState> committed_state(const consensus::Replica& replica) {
    return replica.committed() ? duties::read_partition_state(replica.committed()->payload) : std::nullopt;
}

// State that can't be decoded is never replaced.
consensus::Replica::MakePayload make_payload(DutyPartitions::ChangeState change) {
    return [change = std::move(change)](const std::string& newest) -> std::optional<std::string> {
        const auto state = duties::read_partition_state(newest);
        const auto changed = state ? change(*state) : std::nullopt;
        if (!changed) return std::nullopt;
        return wire::to_bytes(*changed);
    };
}

} // namespace

Result<std::unique_ptr<DutyPartitions>> DutyPartitions::open(transport::Reactor& reactor,
                                                             const OpenStateFile& open_file, Options options,
                                                             SendToMember send) {
    std::unique_ptr<DutyPartitions> partitions(
        new DutyPartitions(reactor, std::move(options), std::move(send)));
    BOOST_OUTCOME_TRYV(partitions->load(open_file));
    return partitions;
}

DutyPartitions::DutyPartitions(transport::Reactor& reactor, Options options, SendToMember send)
    : reactor_(reactor), options_(std::move(options)), send_(std::move(send)), opened_at_(reactor.now()) {}

Result<void> DutyPartitions::load(const OpenStateFile& open_file) {
    for (std::size_t number = 0; number < partitions_.size(); ++number) {
        Partition& partition = partitions_[number];
        partition.disk = open_file("duties-" + std::to_string(number));
        BOOST_OUTCOME_TRY(loaded, partition.disk->load());
        has_lost_state_ = has_lost_state_ || loaded.newest_is_corrupt;
        if (!loaded.bytes || loaded.newest_is_corrupt) continue;
        BOOST_OUTCOME_TRY(read, wire::from_bytes<StoredReplicaState>(*loaded.bytes));
        partition.loaded = std::move(read);
    }
    return boost::outcome_v2::success();
}

void DutyPartitions::join(const consensus::Member& self) {
    if (has_joined()) return;
    self_ = self;
    for (std::size_t number = 0; number < partitions_.size(); ++number) open_member(number, self);
    if (!initial_voters_.empty()) bootstrap(initial_voters_);
}

void DutyPartitions::open_member(std::size_t number, const consensus::Member& self) {
    Partition& partition = partitions_[number];
    // Votes and entries accepted by a member on another disk don't belong to this member.
    const bool is_same_member =
        partition.loaded.self.id == self.id && !planted(PlantedFault::kDutiesForgotten);
    const consensus::DurableState durable =
        is_same_member ? partition.loaded.state : consensus::DurableState{};
    consensus::Options options;
    options.self = self, options.seed = options_.draw();
    options.heartbeat_interval = kHeartbeat, options.election_timeout = kElectionTimeout;
    options.min_copies = options_.min_copies;
    ReplicatedGroup::Callbacks callbacks;
    callbacks.send = [this, number](const consensus::Send& sent) { send_(number, sent); };
    callbacks.committed = [](const consensus::Entry&) {};
    callbacks.role_changed = [this, &partition](const consensus::RoleChanged& role) {
        role_changed(partition, role);
    };
    const Ticks max_contact_age = std::min(options_.lease / kContactAgeDivisor, kElectionTimeout);
    const duties::Lease::Timing timing{options_.lease, max_contact_age, duties::OrderClient::kTimeout};
    partition.lease = std::make_unique<duties::Lease>(timing, opened_at_);
    partition.member = std::make_unique<ReplicatedGroup>(reactor_, *partition.disk, std::move(options),
                                                         durable, std::move(callbacks));
    partition.member->step();
}

// A disk that has been emptied since is a different member and must not bootstrap a group: initial voters are
// identified by the random ids of their disks.
void DutyPartitions::bootstrap(const std::vector<consensus::Member>& initial_voters) {
    initial_voters_ = initial_voters;
    if (!has_joined() ||
        std::ranges::find(initial_voters, self_.id, &consensus::Member::id) == initial_voters.end())
        return;
    for (Partition& partition : partitions_)
        if (!partition.member->replica().newest())
            partition.member->bootstrap(initial_voters, wire::to_bytes(duties::PartitionState{}));
}

void DutyPartitions::receive(std::size_t partition, const consensus::Message& message) {
    if (partition < partitions_.size() && has_joined()) partitions_[partition].member->receive(message);
}

void DutyPartitions::set_member_statuses(const std::vector<consensus::MemberStatus>& member_statuses) {
    if (!has_joined()) return;
    for (Partition& partition : partitions_)
        partition.member->set_member_statuses(member_statuses, options_.voters, options_.voters);
}

void DutyPartitions::role_changed(Partition& partition, const consensus::RoleChanged& role) {
    const std::size_t number = static_cast<std::size_t>(&partition - partitions_.data());
    log_line("duties", {{"part", std::to_string(number)},
                        {"leads", role.leads ? "yes" : "no"},
                        {"fence", std::to_string(role.term)}});
    const bool keeps_acting = resigning_ && planted(PlantedFault::kActsAfterRelease);
    if (!role.leads && keeps_acting) return;
    if (!role.leads) return partition.lease->end(reactor_.now());
    ++partition.times_elected;
    partition.led_since = reactor_.now();
    if (resigning_) return;
    const auto state = committed_state(partition.member->replica());
    partition.lease->begin(state && duties::was_handed_over(*state, role.term), reactor_.now());
}

void DutyPartitions::resign() {
    if (std::exchange(resigning_, true) || !has_joined()) return;
    for (Partition& partition : partitions_) {
        release(partition);
        partition.member->resign();
    }
}

// Only a holder for which all former leases have expired may announce that nobody acts any more.
void DutyPartitions::release(Partition& partition) {
    const bool may_release =
        partition.member->replica().leads() && partition.lease->former_leases_expired(reactor_.now());
    if (!planted(PlantedFault::kActsAfterRelease)) partition.lease->end(reactor_.now());
    if (!may_release) return;
    const std::uint64_t term = partition.member->replica().term();
    partition.member->propose_without_waiting(make_payload([term](const duties::PartitionState& newest) {
        duties::PartitionState released =
            planted(PlantedFault::kLedgerForgotten) ? duties::PartitionState{} : newest;
        released.released_term = term;
        return std::optional(std::move(released));
    }));
}

bool DutyPartitions::may_act(const Partition& partition) const {
    const consensus::Replica& replica = partition.member->replica();
    const bool leads = replica.leads() || planted(PlantedFault::kActsAfterRelease);
    return leads && partition.lease->may_act(replica.contact_at(), reactor_.now());
}

std::optional<std::uint64_t> DutyPartitions::fence(const duties::Duty& duty) const {
    if (!has_joined()) return std::nullopt;
    const Partition& partition = partitions_[duties::partition_of(duty)];
    if (!may_act(partition)) return std::nullopt;
    return planted(PlantedFault::kFenceFromMemory) ? partition.times_elected
                                                   : partition.member->replica().term();
}

bool DutyPartitions::may_propose(const duties::Duty& duty) const {
    if (fence(duty)) return true;
    if (!has_joined() || resigning_) return false;
    const Partition& partition = partitions_[duties::partition_of(duty)];
    return partition.member->replica().leads() && partition.lease->may_prepare(reactor_.now());
}

bool DutyPartitions::may_act_under(const duties::Duty& duty, std::uint64_t fence) const {
    return this->fence(duty) == fence || planted(PlantedFault::kFenceNotCheckedAtSend);
}

std::optional<duties::PartitionState> DutyPartitions::committed(const duties::Duty& duty) const {
    return has_joined() ? committed_state(partitions_[duties::partition_of(duty)].member->replica())
                        : std::nullopt;
}

void DutyPartitions::propose(const duties::Duty& duty, ChangeState change) {
    if (may_propose(duty))
        partitions_[duties::partition_of(duty)].member->propose_without_waiting(
            make_payload(std::move(change)));
}

std::array<DutyPartitions::Status, duties::kDutyPartitions> DutyPartitions::statuses() const {
    std::array<Status, duties::kDutyPartitions> result;
    for (std::size_t number = 0; has_joined() && number < partitions_.size(); ++number) {
        const consensus::Replica& replica = partitions_[number].member->replica();
        const Ticks led_for = replica.leads() ? reactor_.now() - partitions_[number].led_since : 0;
        result[number] = {replica.leads(), may_act(partitions_[number]), replica.term(), replica.leader(),
                          led_for};
    }
    return result;
}

} // namespace ivyrill::control
