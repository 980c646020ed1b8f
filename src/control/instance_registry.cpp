#include "control/instance_registry.hpp"

#include "base/log.hpp"
#include "base/planted_fault.hpp"

#include <algorithm>
#include <utility>

namespace ivyrill::control {

using model::Instance;
using model::InstanceState;

namespace {

constexpr Tenths kCheckInterval = 2500;
constexpr Tenths kSecurePatience = 8000; // servers turn elsewhere after a second
constexpr Tenths kGoneSpan =
    60 * kTenthsPerSecond;       // so long is what is gone remembered, for words that come late
constexpr int kDiffersOften = 2; // statuses in a row: what is on its way is no difference

Error not_held() {
    return error(ErrorKind::kUnavailable, "no majority of the control nodes can be told: call another one");
}

// What a heartbeat may repeat without its being news.
bool says_the_same(const Instance& a, const Instance& b) {
    Instance alike = a;
    alike.revision = b.revision;
    return alike == b;
}

} // namespace

InstanceRegistry::InstanceRegistry(transport::Reactor& reactor, feed::FeedLog& log, Options options,
                                   Callbacks callbacks)
    : reactor_(reactor), log_(log), options_(std::move(options)), callbacks_(std::move(callbacks)),
      parts_(options_.max_per_owner), silence_(options_.heartbeat), copies_(options_.incarnation) {
    check_silence();
}

InstanceRegistry::~InstanceRegistry() { reactor_.cancel(timer_); }

bool InstanceRegistry::accept(const Instance& record) {
    if (!table_.merge(record, reactor_.now())) return false;
    log_.put(*table_.find(record.id));
    if (record.state == InstanceState::kGone) silence_.forget(record.id);
    return true;
}

// A server that starts at an address ends whatever record stood there before.
void InstanceRegistry::end_predecessors(const Instance& record) {
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
    heard(record.id);
    if (parts_.owner(record.service) != options_.self) note_for_watchers(record);
    if (!finished &&
        (known == nullptr || (record.revision > known->revision && !says_the_same(record, *known)))) {
        const bool fresh = known == nullptr;
        if (fresh) end_predecessors(record);
        if (accept(record)) {
            callbacks_.changed();
            if (record.state == InstanceState::kServing)
                callbacks_.send_to_peers(feed::Replicate{{}, {record}, {}});
            if (fresh)
                log_line("server_up", {{"id", record.id},
                                       {"address", record.address},
                                       {"stage", std::to_string(static_cast<int>(record.stage))}});
        }
    }
    known = table_.find(record.id);
    const std::string target = parts_.heartbeat_target(known->service, known->id);
    const bool leaves = known->state == InstanceState::kDraining || known->state == InstanceState::kGone;
    if (leaves && !secured_.contains(record.id)) {
        std::vector<Instance> held(1, *known);
        if (!co_await secure(std::move(held))) co_return not_held();
        secured_.insert(record.id);
    }
    // What was heard is used all the same; but whoever leads may not learn of it from here.
    if (!leaves && !callbacks_.serves()) co_return not_held();
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
    std::vector<Instance> held(1, *table_.find(call.instance));
    if (!co_await secure(std::move(held))) co_return not_held();
    co_return DeregisterReply{};
}

transport::Async<bool> InstanceRegistry::secure(std::vector<Instance> records) {
    const feed::CallId id = copies_.next_id();
    auto pending = std::make_shared<transport::Pending<bool>>(reactor_);
    leavings_[id.number] = {{}, pending};
    callbacks_.send_to_peers(feed::Replicate{id, std::move(records), {}});
    if (planted(PlantedFault::kLeavingInMemoryOnly))
        stored_at(id.number, callbacks_.self());
    else
        callbacks_.make_durable([this, number = id.number](bool is_durable) {
            if (is_durable) stored_at(number, callbacks_.self());
        });
    const auto result = co_await transport::Pending<bool>::wait(pending, reactor_.now() + kSecurePatience);
    leavings_.erase(id.number);
    co_return result.value_or(false);
}

void InstanceRegistry::stored_at(std::uint64_t number, std::uint64_t member) {
    const auto found = leavings_.find(number);
    if (found == leavings_.end()) return;
    found->second.members.insert(member);
    if (callbacks_.survives_losses(found->second.members)) found->second.enough->resolve(true);
}

void InstanceRegistry::replicated(const model::ControlNode& peer, const feed::Replicated& message) {
    if (!copies_.is_own_request(message.id)) return;
    if (!leavings_.contains(message.id.number)) return copies_.count_unsolicited();
    stored_at(message.id.number, peer.member);
}

bool InstanceRegistry::merge(const std::vector<Instance>& records) {
    bool news = false;
    for (const Instance& record : records) {
        const Instance* known = table_.find(record.id);
        // A later heartbeat than the one known came to somebody: the server was heard.
        const bool later = known == nullptr || record.revision > known->revision;
        if (!accept(record)) continue;
        news = true;
        if (later && record.state != InstanceState::kGone) heard(record.id);
    }
    return news;
}

void InstanceRegistry::replicate(const model::ControlNode& peer, const feed::Replicate& message) {
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

void InstanceRegistry::update_loads(const std::vector<model::Load>& loads, bool first_hand) {
    std::vector<model::Load> news;
    for (const model::Load& load : loads) {
        const Instance* known = table_.find(load.instance);
        if (known == nullptr || known->state == InstanceState::kGone) continue;
        const auto [place, fresh] = loads_.try_emplace(load.instance, load);
        if (!fresh && !model::supersedes(load, place->second)) continue;
        place->second = load;
        log_.put(load);
        news.push_back(load);
    }
    if (news.empty()) return;
    if (first_hand) callbacks_.send_to_peers(feed::Replicate{{}, {}, news});
    callbacks_.loads_changed(news);
}

void InstanceRegistry::compare(const model::ControlNode& peer, const feed::PeerStatus& status) {
    request_sync(peer);
    const auto ranges = feed::InstanceTable::differing(digests(), status.instances);
    int& times = differs_[peer.address];
    times = ranges.empty() ? 0 : times + 1;
    if (times < kDiffersOften) return;
    times = 0;
    callbacks_.send(peer.address, feed::WantRanges{ranges, {}});
}

void InstanceRegistry::request_sync(const model::ControlNode& peer) {
    const auto question = copies_.request(peer.member, reactor_.now());
    if (question && !callbacks_.send(peer.address, *question)) copies_.request_failed(peer.member);
}

void InstanceRegistry::send_ranges(const model::ControlNode& peer, const feed::WantRanges& wanted) {
    callbacks_.send(peer.address, feed::Instances{table_.in_ranges(wanted.ranges), true, wanted.id});
}

void InstanceRegistry::receive_records(const model::ControlNode& peer, const feed::Instances& records) {
    if (merge(records.records)) callbacks_.changed();
    copies_.reply_received(peer.member, records.answers);
}

void InstanceRegistry::merge_agent_records(const std::vector<Instance>& records) {
    bool news = false;
    for (const Instance& record : records) {
        if (!merge({record})) continue;
        news = true;
        callbacks_.send_to_peers(feed::Replicate{{}, {record}, {}});
    }
    if (news) callbacks_.changed();
}

void InstanceRegistry::set_nodes(std::vector<std::string> alive) {
    if (alive == parts_.nodes()) return;
    const std::vector<std::string> before = parts_.nodes();
    parts_.set_nodes(std::move(alive));
    std::map<std::string, bool> taken_over; // by service
    // Whoever takes a part over has not heard its servers yet: they get their whole time.
    for (const auto& [id, record] : table_.records()) {
        const auto [place, fresh] = taken_over.try_emplace(record.service, false);
        if (fresh)
            place->second = is_owner(record.service) && owner_of(record.service, before) != options_.self;
        if (place->second) heard(id);
    }
}

void InstanceRegistry::note_for_watchers(const Instance& record) {
    for (const std::string& node : parts_.watchers(record.service))
        if (node != options_.self) heard_for_others_[node].insert(record.id);
}

void InstanceRegistry::tell_watchers() {
    for (const auto& [node, ids] : std::exchange(heard_for_others_, {}))
        callbacks_.send(node, feed::Heard{{ids.begin(), ids.end()}});
}

void InstanceRegistry::record_remote_heartbeats(const feed::Heard& message) {
    for (const std::string& id : message.instances) heard(id);
}

void InstanceRegistry::check_silence() {
    timer_ = reactor_.call_after(kCheckInterval, [this] { check_silence(); });
    tell_watchers();
    parts_.count_servers(table_);
    if (const Tenths slept = reactor_.overslept(); slept > kCheckInterval / 5) silence_.discount_pause(slept);
    std::vector<Instance> judged;
    const bool may_judge = callbacks_.in_contact();
    if (may_judge && std::exchange(was_blind_, false)) silence_.restart_timeouts(reactor_.now());
    was_blind_ = !may_judge;
    if (may_judge)
        judged = silence_.judge(
            table_, [this](const std::string& service) { return is_owner(service); }, reactor_.now());
    for (const Instance& judgement : judged) {
        log_line("server_silent", {{"id", judgement.id}, {"address", judgement.address}});
        accept(judgement);
    }
    if (!judged.empty()) callbacks_.send_to_peers(feed::Replicate{{}, judged, {}});
    const bool forgot = forget_gone();
    if (!judged.empty() || forgot) callbacks_.changed();
}

bool InstanceRegistry::forget_gone() {
    bool forgot = false;
    for (const std::string& id : table_.forget_gone(kGoneSpan, reactor_.now())) {
        log_.forget_instance(id);
        secured_.erase(id), silence_.forget(id), loads_.erase(id);
        forgot = true;
    }
    return forgot;
}

} // namespace ivyrill::control
