#include "control/instance_registry.hpp"

#include "base/log.hpp"
#include "base/planted_fault.hpp"

#include <algorithm>
#include <utility>

namespace ivyrill::control {

using model::Instance;
using model::InstanceState;

namespace {

constexpr Ticks kCheckInterval = 2500;
constexpr Ticks kReplicationTimeout = 8000; // below the servers' timeout of 1 s
constexpr Ticks kGoneRetention =
    60 * kTicksPerSecond;                  // how long gone servers are remembered, to reject late messages
constexpr int kMismatchesBeforeRepair = 2; // consecutive; a single one may be due to messages in transit

Error not_durable() {
    return error(ErrorKind::kUnavailable,
                 "no majority of the control nodes can be reached: call another one");
}

// Whether the records differ in nothing but their revision.
bool is_same_content(const Instance& a, const Instance& b) {
    Instance copy = a;
    copy.revision = b.revision;
    return copy == b;
}

} // namespace

InstanceRegistry::InstanceRegistry(transport::Reactor& reactor, feed::FeedLog& log, Options options,
                                   Callbacks callbacks)
    : reactor_(reactor), log_(log), options_(std::move(options)), callbacks_(std::move(callbacks)),
      partitions_(options_.max_per_owner), failure_detector_(options_.heartbeat_interval),
      sync_tracker_(options_.incarnation) {
    check_failures();
}

InstanceRegistry::~InstanceRegistry() { reactor_.cancel(timer_); }

bool InstanceRegistry::accept(const Instance& record) {
    if (!table_.merge(record, reactor_.now())) return false;
    log_.put(*table_.find(record.id));
    if (record.state == InstanceState::kGone) failure_detector_.forget(record.id);
    return true;
}

// A server that starts at an address replaces any earlier server at it, which must be gone.
void InstanceRegistry::retire_predecessors(const Instance& record) {
    std::vector<Instance> ended;
    for (const auto& [id, other] : table_.records())
        if (id != record.id && other.address == record.address && other.state != InstanceState::kGone)
            ended.push_back(other);
    for (Instance& other : ended) {
        other.state = InstanceState::kGone, other.revision = model::kFinalRevision;
        accept(other);
        callbacks_.send_to_peers(feed::Replicate{{}, {other}, {}});
    }
}

transport::Async<Result<RegisterReply>> InstanceRegistry::handle(RegisterCall call) {
    Instance record = std::move(call.instance);
    const Instance* known = table_.find(record.id);
    const bool finished = known != nullptr && known->revision == model::kFinalRevision;
    record_heartbeat(record.id);
    if (partitions_.owner(record.service) != options_.self) queue_notifications(record);
    if (!finished &&
        (known == nullptr || (record.revision > known->revision && !is_same_content(record, *known)))) {
        const bool inserted = known == nullptr;
        if (inserted) retire_predecessors(record);
        if (accept(record)) {
            callbacks_.changed();
            if (record.state == InstanceState::kServing)
                callbacks_.send_to_peers(feed::Replicate{{}, {record}, {}});
            if (inserted)
                log_line("server_up", {{"id", record.id},
                                       {"address", record.address},
                                       {"stage", std::to_string(static_cast<int>(record.stage))}});
        }
    }
    known = table_.find(record.id);
    const std::string target = partitions_.heartbeat_target(known->service, known->id);
    const bool is_leaving = known->state == InstanceState::kDraining || known->state == InstanceState::kGone;
    if (is_leaving && !durable_departures_.contains(record.id)) {
        std::vector<Instance> records(1, *known);
        if (!co_await replicate_durably(std::move(records))) co_return not_durable();
        durable_departures_.insert(record.id);
    }
    // The heartbeat was used, but it can't be confirmed: the leader may not learn of it from this node.
    if (!is_leaving && !callbacks_.may_confirm_calls()) co_return not_durable();
    co_return RegisterReply{target.empty() || target == options_.self ? "" : callbacks_.call_address(target)};
}

transport::Async<Result<DeregisterReply>> InstanceRegistry::handle(DeregisterCall call) {
    const Instance* known = table_.find(call.instance);
    Instance record;
    if (known != nullptr) record = *known;
    record.id = call.instance, record.state = InstanceState::kGone, record.revision = model::kFinalRevision;
    if (accept(record)) {
        callbacks_.changed();
        log_line("server_left", {{"id", record.id}});
    }
    std::vector<Instance> records(1, *table_.find(call.instance));
    if (!co_await replicate_durably(std::move(records))) co_return not_durable();
    co_return DeregisterReply{};
}

transport::Async<bool> InstanceRegistry::replicate_durably(std::vector<Instance> records) {
    const feed::RequestId id = sync_tracker_.next_id();
    auto pending = std::make_shared<transport::Pending<bool>>(reactor_);
    pending_departures_[id.number] = {{}, pending};
    callbacks_.send_to_peers(feed::Replicate{id, std::move(records), {}});
    if (planted(PlantedFault::kLeavingInMemoryOnly))
        record_copy(id.number, callbacks_.self());
    else
        callbacks_.make_durable([this, number = id.number](bool is_durable) {
            if (is_durable) record_copy(number, callbacks_.self());
        });
    const auto result =
        co_await transport::Pending<bool>::wait(pending, reactor_.now() + kReplicationTimeout);
    pending_departures_.erase(id.number);
    co_return result.value_or(false);
}

void InstanceRegistry::record_copy(std::uint64_t number, std::uint64_t member) {
    const auto found = pending_departures_.find(number);
    if (found == pending_departures_.end()) return;
    found->second.members.insert(member);
    if (callbacks_.survives_losses(found->second.members)) found->second.durable->resolve(true);
}

void InstanceRegistry::handle_replicate_ack(const model::ControlNode& peer, const feed::Replicated& message) {
    if (!sync_tracker_.is_own_request(message.id)) return;
    if (!pending_departures_.contains(message.id.number)) return sync_tracker_.count_unsolicited();
    record_copy(message.id.number, peer.member);
}

bool InstanceRegistry::merge(const std::vector<Instance>& records) {
    bool changed = false;
    for (const Instance& record : records) {
        const Instance* known = table_.find(record.id);
        // A newer revision proves a heartbeat that another node has received.
        const bool later = known == nullptr || record.revision > known->revision;
        if (!accept(record)) continue;
        changed = true;
        if (later && record.state != InstanceState::kGone) record_heartbeat(record.id);
    }
    return changed;
}

void InstanceRegistry::handle_replicate(const model::ControlNode& peer, const feed::Replicate& message) {
    if (merge(message.instances)) callbacks_.changed();
    if (!message.loads.empty()) update_loads(message.loads, false);
    if (message.id.number == 0) return;
    if (planted(PlantedFault::kLeavingInMemoryOnly)) {
        callbacks_.send(peer.address, feed::Replicated{message.id});
        return;
    }
    callbacks_.make_durable([this, address = peer.address, id = message.id](bool is_durable) {
        if (is_durable) callbacks_.send(address, feed::Replicated{id});
    });
}

void InstanceRegistry::update_loads(const std::vector<model::Load>& loads, bool from_agent) {
    std::vector<model::Load> changed;
    for (const model::Load& load : loads) {
        const Instance* known = table_.find(load.instance);
        if (known == nullptr || known->state == InstanceState::kGone) continue;
        const auto [entry, inserted] = loads_.try_emplace(load.instance, load);
        if (!inserted && !model::supersedes(load, entry->second)) continue;
        entry->second = load;
        log_.put(load);
        changed.push_back(load);
    }
    if (changed.empty()) return;
    if (from_agent) callbacks_.send_to_peers(feed::Replicate{{}, {}, changed});
    callbacks_.loads_changed(changed);
}

void InstanceRegistry::handle_digests(const model::ControlNode& peer, const feed::PeerStatus& status) {
    request_sync(peer);
    const auto ranges = feed::InstanceTable::differing_ranges(digests(), status.instances);
    int& mismatches = digest_mismatches_[peer.address];
    mismatches = ranges.empty() ? 0 : mismatches + 1;
    if (mismatches < kMismatchesBeforeRepair) return;
    mismatches = 0;
    callbacks_.send(peer.address, feed::RangeRequest{ranges, {}});
}

void InstanceRegistry::request_sync(const model::ControlNode& peer) {
    const auto request = sync_tracker_.request(peer.member, reactor_.now());
    if (request && !callbacks_.send(peer.address, *request)) sync_tracker_.request_failed(peer.member);
}

void InstanceRegistry::handle_range_request(const model::ControlNode& peer,
                                            const feed::RangeRequest& wanted) {
    callbacks_.send(peer.address, feed::Instances{table_.records_in_ranges(wanted.ranges), true, wanted.id});
}

void InstanceRegistry::handle_records(const model::ControlNode& peer, const feed::Instances& records) {
    if (merge(records.records)) callbacks_.changed();
    sync_tracker_.reply_received(peer.member, records.in_reply_to);
}

void InstanceRegistry::merge_agent_records(const std::vector<Instance>& records) {
    bool changed = false;
    for (const Instance& record : records) {
        if (!merge({record})) continue;
        changed = true;
        callbacks_.send_to_peers(feed::Replicate{{}, {record}, {}});
    }
    if (changed) callbacks_.changed();
}

void InstanceRegistry::set_nodes(std::vector<std::string> alive) {
    if (alive == partitions_.nodes()) return;
    const std::vector<std::string> before = partitions_.nodes();
    partitions_.set_nodes(std::move(alive));
    std::map<std::string, bool> taken_over; // by service
    // The new owner of a partition has not received its servers' heartbeats so far: their timeouts restart.
    for (const auto& [id, record] : table_.records()) {
        const auto [entry, inserted] = taken_over.try_emplace(record.service, false);
        if (inserted)
            entry->second = is_owner(record.service) && owner_of(record.service, before) != options_.self;
        if (entry->second) record_heartbeat(id);
    }
}

void InstanceRegistry::queue_notifications(const Instance& record) {
    for (const std::string& node : partitions_.watchers(record.service))
        if (node != options_.self) pending_notifications_[node].insert(record.id);
}

void InstanceRegistry::notify_watchers() {
    for (const auto& [node, ids] : std::exchange(pending_notifications_, {}))
        callbacks_.send(node, feed::HeartbeatsSeen{{ids.begin(), ids.end()}});
}

void InstanceRegistry::record_remote_heartbeats(const feed::HeartbeatsSeen& message) {
    for (const std::string& id : message.instances) record_heartbeat(id);
}

void InstanceRegistry::check_failures() {
    timer_ = reactor_.call_after(kCheckInterval, [this] { check_failures(); });
    notify_watchers();
    partitions_.count_servers(table_);
    if (const Ticks suspended = reactor_.stalled_for(); suspended > kCheckInterval / 5)
        failure_detector_.exclude_suspension(suspended);
    std::vector<Instance> changes;
    const bool in_contact = callbacks_.in_contact();
    if (in_contact && std::exchange(was_out_of_contact_, false))
        failure_detector_.restart_timeouts(reactor_.now());
    was_out_of_contact_ = !in_contact;
    if (in_contact)
        changes = failure_detector_.check(
            table_, [this](const std::string& service) { return is_owner(service); }, reactor_.now());
    for (const Instance& record : changes) {
        log_line("server_silent", {{"id", record.id}, {"address", record.address}});
        accept(record);
    }
    if (!changes.empty()) callbacks_.send_to_peers(feed::Replicate{{}, changes, {}});
    const bool removed = remove_gone();
    if (!changes.empty() || removed) callbacks_.changed();
}

bool InstanceRegistry::remove_gone() {
    bool removed = false;
    for (const std::string& id : table_.remove_expired(kGoneRetention, reactor_.now())) {
        log_.forget_instance(id);
        durable_departures_.erase(id), failure_detector_.forget(id), loads_.erase(id);
        removed = true;
    }
    return removed;
}

} // namespace ivyrill::control
