#include "control/control_node.hpp"

#include "base/log.hpp"
#include "base/planted_fault.hpp"
#include "configuration/parse.hpp"
#include "control/inspection.hpp"
#include "feed/ports.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace ivyrill::control {

namespace {

constexpr Ticks kCheckInterval = 1000;
constexpr Ticks kUsageInterval = 2500;               // between exchanges of usage counts with peers
constexpr Ticks kShutdownDelay = 4000;               // for the last replies and the leadership transfer
constexpr const char* kEngineContract = "engine";    // in deployments whose servers have stages
constexpr const char* kUsageReport = "usage_report"; // a duty of the platform
constexpr const char* kServerCount = "autoscale";    // ... if it takes server counts
constexpr std::int64_t kReservedDescriptors = 900;   // for files, peers and agents

// The port part and the host part of an address.
std::string port_text(const std::string& address) { return address.substr(address.rfind(':') + 1); }
std::string host_text(const std::string& address) { return address.substr(0, address.rfind(':')); }

duties::UsageAggregator::Options tally_options(const settings::Settings& settings) {
    duties::UsageAggregator::Options options;
    if (settings.bounds.usage_window_ms() > 0) options.window_ms = settings.bounds.usage_window_ms();
    return options;
}

} // namespace

Result<std::unique_ptr<ControlNode>> ControlNode::open(Environment environment,
                                                       const settings::Settings& settings) {
    std::unique_ptr<ControlNode> node(new ControlNode(std::move(environment), settings));
    BOOST_OUTCOME_TRYV(node->start());
    return node;
}

ControlNode::ControlNode(Environment environment, const settings::Settings& settings)
    : environment_(std::move(environment)), reactor_(environment_.reactor), settings_(settings),
      incarnation_(environment_.draw()), log_(environment_.draw()),
      usage_aggregator_(tally_options(settings)) {}

ControlNode::~ControlNode() {
    reactor_.cancel(timer_);
    reactor_.cancel(usage_timer_);
}

Result<void> ControlNode::start() {
    BOOST_OUTCOME_TRYV(open_snapshot_store());
    BOOST_OUTCOME_TRYV(open_duty_partitions());
    BOOST_OUTCOME_TRYV(open_group());
    self_ = {feed::peer_address(settings_, settings_.ip), settings_.zone, group_->self().value};
    open_registry();
    open_operator_calls();
    open_stage_duty();
    open_usage_exchange();
    open_usage_duty();
    open_autoscale_duty();
    open_peers();
    open_feed();
    restore_snapshot();
    api_ = std::make_unique<ControlApi>(*registry_, *operator_calls_, [this] { return inspect(); });
    check_periodically();
    peers_->start();
    return boost::outcome_v2::success();
}

Result<void> ControlNode::open_snapshot_store() {
    BOOST_OUTCOME_TRY(store, SnapshotStore::open(reactor_, environment_.open_file("known"),
                                                 [this] { return take_snapshot(); }));
    snapshot_store_ = std::move(store);
    return boost::outcome_v2::success();
}

// The number of disks that may be lost at once, and the number of voters that tolerates it.
std::size_t ControlNode::tolerated_losses() const {
    return static_cast<std::size_t>(std::max<std::int64_t>(0, settings_.tolerance.machines));
}
std::size_t ControlNode::min_voters() const { return std::max<std::size_t>(3, 2 * tolerated_losses() + 1); }

Result<void> ControlNode::open_duty_partitions() {
    const bool has_stages =
        std::ranges::find(settings_.contracts, kEngineContract) != settings_.contracts.end();
    if (!has_stages && settings_.cloud_api.duties.empty()) return boost::outcome_v2::success();
    DutyPartitions::Options options;
    options.min_copies = tolerated_losses() + 1, options.voters = min_voters();
    options.lease = settings_.bounds.lease_ms * (kTicksPerSecond / 1000);
    options.draw = environment_.draw;
    const auto send = [this](std::size_t partition, const consensus::Send& sent) {
        const feed::DutyMessage message{partition, sent.message};
        if (!peers_) return;
        if (!peers_->send_to_member(sent.message.to.value, message)) peers_->send(sent.address, message);
    };
    BOOST_OUTCOME_TRY(partitions,
                      DutyPartitions::open(reactor_, environment_.open_file, std::move(options), send));
    duty_partitions_ = std::move(partitions);
    return boost::outcome_v2::success();
}

Result<void> ControlNode::open_group() {
    ConfigurationGroup::Options options;
    options.zone = settings_.zone;
    options.address = feed::peer_address(settings_, settings_.ip);
    for (const std::string& seed : settings_.seed_nodes)
        options.initial_voters.push_back(feed::peer_address(settings_, host_text(seed)));
    options.first_start = settings_.first_start, options.draw = environment_.draw;
    options.disk_is_corrupt =
        snapshot_store_->is_corrupt() || (duty_partitions_ && duty_partitions_->has_lost_state());
    options.min_copies = tolerated_losses() + 1, options.min_voters = min_voters();
    options.max_voters = std::max<std::size_t>(options.min_voters, 9);
    ConfigurationGroup::Callbacks callbacks;
    callbacks.send = [this](const consensus::Send& sent) {
        if (!peers_) return;
        if (!peers_->send_to_member(sent.message.to.value, sent.message))
            peers_->send(sent.address, sent.message);
    };
    callbacks.committed = [this](const model::Configuration& configuration, const std::string& body) {
        publish_configuration(configuration, body);
    };
    callbacks.leader_changed = [this] {
        if (operator_calls_) operator_calls_->leader_changed();
    };
    callbacks.identity_changed = [this] { identity_changed(); };
    callbacks.initial_duty_voters = [this](const std::vector<consensus::Member>& initial_voters) {
        if (duty_partitions_) duty_partitions_->bootstrap(initial_voters);
    };
    BOOST_OUTCOME_TRY(group, ConfigurationGroup::open(reactor_, environment_.open_file("state"),
                                                      std::move(options), std::move(callbacks)));
    group_ = std::move(group);
    return boost::outcome_v2::success();
}

void ControlNode::publish_configuration(const model::Configuration& configuration, const std::string& body) {
    const model::Configuration* current = log_.configuration();
    if (current != nullptr && current->version >= configuration.version) return;
    log_.put(configuration);
    configuration_body_ = body;
    publish();
}

void ControlNode::open_registry() {
    InstanceRegistry::Options options;
    options.self = self_.address, options.incarnation = incarnation_;
    options.heartbeat_interval = settings_.beat_interval_ms * (kTicksPerSecond / 1000);
    // Each server keeps a connection, and the other half is for servers that connect here after another
    // node's failure.
    const std::int64_t available = settings_.limits.file_descriptors - kReservedDescriptors;
    options.max_per_owner = static_cast<std::size_t>(std::max<std::int64_t>(0, available / 2));
    InstanceRegistry::Callbacks callbacks;
    callbacks.send_to_peers = [this](const feed::Message& message) {
        if (peers_) peers_->send_to_all(message);
    };
    callbacks.send = [this](const std::string& peer, const feed::Message& message) {
        return peers_->send(peer, message);
    };
    callbacks.survives_losses = [this](const std::set<std::uint64_t>& members) {
        return group_->survives_losses(members);
    };
    callbacks.self = [this] { return self_.member; };
    callbacks.make_durable = [this](std::function<void(bool)> done) {
        snapshot_store_->make_durable(std::move(done));
    };
    callbacks.in_contact = [this] { return group_->in_contact(); };
    callbacks.may_confirm_calls = [this] { return feed_gate_.is_open(); };
    callbacks.call_address = [this](const std::string& peer) { return call_address(peer); };
    callbacks.changed = [this] { publish(); };
    callbacks.loads_changed = [this](const std::vector<model::Load>& loads) {
        if (stage_duty_) stage_duty_->reported(loads);
        publisher_->publish();
    };
    registry_ = std::make_unique<InstanceRegistry>(reactor_, log_, options, std::move(callbacks));
    registry_->set_nodes({self_.address});
}

void ControlNode::open_operator_calls() {
    OperatorCalls::Callbacks callbacks;
    callbacks.send_to_member = [this](std::uint64_t member, const feed::Message& message) {
        return peers_->send_to_member(member, message);
    };
    callbacks.send = [this](const std::string& peer, const feed::Message& message) {
        peers_->send(peer, message);
    };
    operator_calls_ = std::make_unique<OperatorCalls>(reactor_, *group_, incarnation_, std::move(callbacks));
}

void ControlNode::open_stage_duty() {
    if (!duty_partitions_) return;
    StageDuty::Callbacks callbacks;
    callbacks.fence = [this](const duties::Duty& duty) { return duty_partitions_->fence(duty); };
    callbacks.may_act_under = [this](const duties::Duty& duty, std::uint64_t fence) {
        return duty_partitions_->may_act_under(duty, fence);
    };
    callbacks.configuration = [this] { return log_.configuration(); };
    callbacks.instances = [this]() -> const feed::InstanceTable& { return registry_->table(); };
    callbacks.loads = [this]() -> const std::map<std::string, model::Load>& { return registry_->loads(); };
    callbacks.ordered = [this](const feed::StageOrdered& ordered) {
        peers_->send_to_all(feed::StageOrderNotice{{ordered}});
        publish_orders({ordered});
    };
    stage_duty_ =
        std::make_unique<StageDuty>(reactor_, environment_.orders, settings_.node_name, std::move(callbacks));
}

void ControlNode::open_usage_exchange() {
    if (settings_.bounds.usage_window_ms() <= 0) return;
    usage_exchange_ = std::make_unique<UsageExchange>(self_.address, fleet_clock_, usage_aggregator_,
                                                      environment_.time_of_day);
    exchange_usage();
}

void ControlNode::open_usage_duty() {
    const auto& platform_duties = settings_.cloud_api.duties;
    const bool is_required =
        std::ranges::find(platform_duties, kUsageReport) != platform_duties.end() && usage_exchange_;
    if (!is_required || !duty_partitions_) return;
    UsageDuty::Callbacks callbacks;
    callbacks.fence = [this] { return duty_partitions_->fence(duties::usage_report_duty()); };
    callbacks.may_propose = [this] { return duty_partitions_->may_propose(duties::usage_report_duty()); };
    callbacks.may_act_under = [this](std::uint64_t fence) {
        return duty_partitions_->may_act_under(duties::usage_report_duty(), fence);
    };
    callbacks.committed = [this]() -> std::optional<duties::UsageLedger> {
        const auto state = duty_partitions_->committed(duties::usage_report_duty());
        return state ? std::optional(state->usage) : std::nullopt;
    };
    callbacks.propose = [this](UsageDuty::ChangeLedger change) { propose_usage(std::move(change)); };
    callbacks.time = [this] { return fleet_clock_.at(reactor_.now()); };
    callbacks.sources.is_complete = [this](std::int64_t window, std::int64_t end_ms) {
        return usage_aggregator_.is_complete(window, end_ms, reactor_.now());
    };
    callbacks.sources.counts = [this](std::int64_t window) { return usage_aggregator_.counts(window); };
    callbacks.acquire_call = [this] {
        return platform_rate_limiter_.try_acquire(duties::usage_report_duty(), reactor_.now());
    };
    usage_duty_ = std::make_unique<UsageDuty>(
        reactor_, environment_.platform,
        UsageDuty::Options{settings_.node_name, settings_.bounds.usage_window_ms()}, std::move(callbacks));
}

void ControlNode::propose_usage(UsageDuty::ChangeLedger change) {
    const auto change_state = [change = std::move(change)](const duties::PartitionState& newest) {
        auto usage = change(newest.usage);
        std::optional<duties::PartitionState> changed;
        if (usage) changed = duties::PartitionState{newest.released_term, std::move(*usage)};
        return changed;
    };
    duty_partitions_->propose(duties::usage_report_duty(), change_state);
}

void ControlNode::exchange_usage() {
    usage_timer_ = reactor_.call_after(kUsageInterval, [this] { exchange_usage(); });
    usage_exchange_->tick(reactor_.now());
    for (feed::UsageCounts& counts : usage_exchange_->drain_for_peers())
        peers_->send_to_all(std::move(counts));
}

void ControlNode::merge_usage(const model::ControlNode& peer, const feed::UsageCounts& counts) {
    feed::UsageRequest wanted = usage_exchange_->merge(counts, reactor_.now());
    if (!wanted.processes.empty()) peers_->send(peer.address, std::move(wanted));
}

void ControlNode::open_autoscale_duty() {
    const std::vector<std::string>& duties = settings_.cloud_api.duties;
    if (!duty_partitions_ || std::ranges::find(duties, kServerCount) == duties.end()) return;
    AutoscaleDuty::Callbacks callbacks;
    callbacks.fence = [this](const duties::Duty& duty) { return duty_partitions_->fence(duty); };
    callbacks.may_act_under = [this](const duties::Duty& duty, std::uint64_t fence) {
        return duty_partitions_->may_act_under(duty, fence);
    };
    callbacks.configuration = [this] { return log_.configuration(); };
    callbacks.instances = [this]() -> const feed::InstanceTable& { return registry_->table(); };
    callbacks.servers = [this](const std::string& service) { return stage_duty_->servers_of(service); };
    callbacks.demand = [this](const std::string& service) {
        return stage_duty_->demand().total(service, reactor_.now());
    };
    callbacks.acquire_call = [this](const duties::Duty& duty) {
        return platform_rate_limiter_.try_acquire(duty, reactor_.now());
    };
    autoscale_duty_ = std::make_unique<AutoscaleDuty>(reactor_, environment_.platform, settings_.node_name,
                                                      std::move(callbacks));
}

void ControlNode::publish_orders(const std::vector<feed::StageOrdered>& orders) {
    for (const feed::StageOrdered& ordered : orders)
        if (registry_->table().find(ordered.instance) != nullptr) log_.put(ordered);
    publisher_->publish();
}

void ControlNode::open_peers() {
    PeerMesh::Options options;
    options.self = self_, options.incarnation = incarnation_;
    for (const std::string& seed : settings_.seed_nodes)
        options.seeds.push_back(feed::peer_address(settings_, host_text(seed)));
    PeerMesh::Callbacks callbacks;
    callbacks.received = [this](const model::ControlNode& peer, feed::Message message) {
        handle_peer_message(peer, std::move(message));
    };
    callbacks.peers_changed = [this] { peers_changed(); };
    callbacks.fill_status = [this](feed::PeerStatus& status) {
        status.sessions = publisher_->sessions();
        status.instances = registry_->digests();
        if (stage_duty_) status.demands = stage_duty_->demand().local(reactor_.now());
        if (usage_exchange_) usage_exchange_->fill_status(status, reactor_.now());
    };
    callbacks.term = [this] { return group_->term(); };
    callbacks.peer_hello = [this](const model::ControlNode& peer, std::uint64_t term) {
        group_->handle_peer_hello(peer.address, term);
        registry_->request_sync(peer);
    };
    callbacks.link_up = [this](const std::string& address) {
        if (!usage_exchange_) return;
        for (feed::UsageCounts& counts : usage_exchange_->recent()) peers_->send(address, std::move(counts));
    };
    peers_ = std::make_unique<PeerMesh>(reactor_, environment_.network, options, std::move(callbacks));
    peer_listener_ = environment_.network.listen(
        self_.address, [this](const feed::AcceptedLink& connection) { peers_->accept(connection); });
}

void ControlNode::open_feed() {
    feed::Publisher::Callbacks callbacks;
    callbacks.refuse = [this]() -> std::optional<std::string> {
        if (shutting_down_) return "this node is shutting down";
        if (!feed_gate_.is_open() && !feed_gate_.is_opening())
            return "this node has no contact with the majority";
        return std::nullopt;
    };
    callbacks.ready = [this] { return feed_gate_.is_open(); };
    callbacks.sessions_changed = [this] { publish_edge_nodes(); };
    callbacks.digests = [this] { return registry_->digests(); };
    if (usage_exchange_) {
        callbacks.usage = [this](const std::vector<model::ProcessUsage>& counts) {
            usage_exchange_->add_local_counts(counts, reactor_.now());
        };
        callbacks.time_of_day = [this](const std::string& node, std::int64_t unix_ms) {
            usage_exchange_->add_time_of_day(node, unix_ms, reactor_.now());
        };
        callbacks.fleet_time = [this] { return fleet_clock_.at(reactor_.now()); };
    }
    callbacks.instances = [this](const std::vector<model::Instance>& records) {
        registry_->merge_agent_records(records);
    };
    callbacks.loads = [this](const std::vector<model::Load>& loads) { registry_->update_loads(loads, true); };
    callbacks.demands = [this](const std::string& node, const std::vector<model::ServiceDemand>& demands) {
        if (stage_duty_) stage_duty_->demand().update_from_node(node, demands, reactor_.now());
    };
    publisher_ =
        std::make_unique<feed::Publisher>(reactor_, log_, feed::session_options(), std::move(callbacks));
    feed_listener_ = environment_.network.listen(
        feed::feed_address(settings_, settings_.ip),
        [this](const feed::AcceptedLink& connection) { publisher_->accept(connection); });
}

// The failure detector gives the restored servers their full timeouts.
void ControlNode::restore_snapshot() {
    const NodeSnapshot& loaded = snapshot_store_->loaded();
    if (loaded.version > 0 && log_.configuration() == nullptr) {
        const auto configuration = configuration::parse(loaded.body);
        if (configuration.has_value()) {
            log_.put(configuration.value());
            configuration_body_ = loaded.body;
        }
    }
    registry_->merge_agent_records(loaded.instances);
    log_line("known_state", {{"version", std::to_string(loaded.version)},
                             {"servers", std::to_string(loaded.instances.size())}});
    publish();
}

NodeSnapshot ControlNode::take_snapshot() const {
    NodeSnapshot state;
    if (const model::Configuration* configuration = log_.configuration())
        state.version = configuration->version;
    state.body = configuration_body_;
    for (const auto& [id, record] : registry_->table().records()) state.instances.push_back(record);
    return state;
}

void ControlNode::publish() {
    if (publisher_) publisher_->publish();
    snapshot_store_->changed();
}

std::string ControlNode::call_address(const std::string& peer) const {
    return host_text(peer) + ":" + port_text(settings_.listen_addrs.at("controlAddr"));
}

void ControlNode::handle_peer_message(const model::ControlNode& peer, feed::Message message) {
    if (const auto* consensus_message = std::get_if<consensus::Message>(&message)) {
        group_->receive(*consensus_message);
        if (!feed_gate_.is_open()) update_gate();
    } else if (const auto* status = std::get_if<feed::PeerStatus>(&message)) {
        registry_->handle_digests(peer, *status);
        if (stage_duty_)
            stage_duty_->demand().update_from_peer(peer.address, status->demands, reactor_.now());
        if (usage_exchange_) usage_exchange_->on_peer_status(peer.address, *status, reactor_.now());
        publish_edge_nodes();
    } else if (const auto* counts = std::get_if<feed::UsageCounts>(&message)) {
        if (usage_exchange_) merge_usage(peer, *counts);
    } else if (const auto* request = std::get_if<feed::UsageRequest>(&message)) {
        if (!usage_exchange_) return;
        for (feed::UsageCounts& counts : usage_exchange_->answer(*request))
            peers_->send(peer.address, std::move(counts));
    } else if (const auto* duty = std::get_if<feed::DutyMessage>(&message)) {
        if (duty_partitions_) duty_partitions_->receive(duty->partition, duty->message);
    } else if (const auto* ordered = std::get_if<feed::StageOrderNotice>(&message)) {
        publish_orders(ordered->orders);
    } else if (const auto* heartbeats = std::get_if<feed::HeartbeatsSeen>(&message)) {
        registry_->record_remote_heartbeats(*heartbeats);
    } else if (const auto* records = std::get_if<feed::Replicate>(&message)) {
        registry_->handle_replicate(peer, *records);
    } else if (const auto* acknowledgement = std::get_if<feed::Replicated>(&message)) {
        registry_->handle_replicate_ack(peer, *acknowledgement);
    } else if (const auto* range_request = std::get_if<feed::RangeRequest>(&message)) {
        registry_->handle_range_request(peer, *range_request);
    } else if (const auto* instances = std::get_if<feed::Instances>(&message)) {
        registry_->handle_records(peer, *instances);
        update_gate();
    } else if (auto* call = std::get_if<feed::ForwardedCall>(&message)) {
        operator_calls_->handle_forwarded_call(peer, std::move(*call));
    } else if (auto* answer = std::get_if<feed::ForwardedAnswer>(&message)) {
        operator_calls_->handle_forwarded_answer(peer, std::move(*answer));
    }
}

void ControlNode::peers_changed() {
    const std::vector<model::ControlNode> before = std::exchange(alive_, peers_->alive());
    std::vector<std::string> addresses{self_.address};
    for (const model::ControlNode& node : alive_) addresses.push_back(node.address);
    std::ranges::sort(addresses);
    registry_->set_nodes(std::move(addresses));
    group_->set_member_statuses(peers_->member_statuses());
    for (const model::ControlNode& node : before)
        if (std::ranges::find(alive_, node) == alive_.end()) operator_calls_->peer_lost(node.member);
    for (const model::ControlNode& node : alive_)
        if (std::ranges::find(before, node) == before.end()) registry_->request_sync(node);
    publish_control_nodes();
    publish_edge_nodes();
}

// The peers learn from a new hello that another member uses this address now.
void ControlNode::identity_changed() {
    self_.member = group_->self().value;
    peers_->set_member(self_.member);
    group_->set_member_statuses(peers_->member_statuses());
    publish_control_nodes();
}

void ControlNode::publish_control_nodes() {
    feed::ControlNodes item;
    item.nodes = peers_->alive();
    if (!shutting_down_) item.nodes.push_back(self_);
    std::ranges::sort(item.nodes);
    log_.put(std::move(item));
    publisher_->publish();
}

void ControlNode::publish_edge_nodes() {
    std::vector<model::EdgeNode> sessions = publisher_->sessions();
    std::ranges::move(peers_->sessions(), std::back_inserter(sessions));
    auto changed = edge_nodes_.update(sessions, reactor_.now());
    if (!changed) return;
    log_.put(feed::EdgeNodes{std::move(*changed)});
    publisher_->publish();
}

FeedConditions ControlNode::feed_conditions() const {
    return {group_->time_out_of_contact(), group_->caught_up(),
            group_->is_majority(registry_->synced_members()), shutting_down_};
}

void ControlNode::check_periodically() {
    timer_ = reactor_.call_after(kCheckInterval, [this] { check_periodically(); });
    for (const consensus::Member& voter : group_->voters())
        peers_->add_peer({voter.address, voter.zone, voter.id.value});
    group_->set_member_statuses(peers_->member_statuses());
    publish_edge_nodes(); // changes that were held back before
    update_duties();
    update_gate();
}

// The member id must be final before this node votes in any group of the duties.
void ControlNode::update_duties() {
    if (!duty_partitions_ || group_->is_bootstrapping() || shutting_down_) return;
    duty_partitions_->join(group_->self_member());
    duty_partitions_->set_member_statuses(peers_->member_statuses());
    group_->propose_initial_duty_voters(min_voters());
}

// A node may become a voter once the records of a majority are durable here: then every majority still holds
// each acknowledged departure.
void ControlNode::update_readiness() {
    if (ready_ || !group_->is_majority(registry_->synced_members())) return;
    ready_ = true;
    snapshot_store_->make_durable([this, count = partition_count_](bool is_durable) {
        if (count != partition_count_) return;
        ready_ = is_durable;
        peers_->set_ready(is_durable);
    });
}

// During the partition a majority may have acknowledged departures: this node requests all records again
// before it serves its feed, or becomes a voter if it is none yet.
void ControlNode::handle_partition() {
    ++partition_count_;
    registry_->reset_sync();
    if (planted(PlantedFault::kReadyKept)) return;
    ready_ = false;
    peers_->set_ready(false);
}

void ControlNode::update_gate() {
    update_readiness();
    if (!feed_gate_.update(feed_conditions())) return;
    log_line("feed", {{"serves", feed_gate_.is_open() ? "yes" : "no"}});
    if (feed_gate_.is_open()) return publisher_->serve_deferred();
    handle_partition();
    publisher_->close_all("this node has no contact with the majority");
}

std::uint64_t ControlNode::dropped_replies() const {
    const OperatorCalls::DroppedReplies& calls = operator_calls_->dropped_replies();
    const DroppedSyncReplies& sync = registry_->dropped_replies();
    return calls.other_process + calls.unsolicited + calls.other_peer + sync.other_process + sync.unsolicited;
}

std::string ControlNode::inspect() const {
    Inspection inspection;
    inspection.node = settings_.node_name, inspection.leads = group_->leads(),
    inspection.in_contact = group_->in_contact();
    inspection.serves_feed = feed_gate_.is_open(), inspection.version = group_->version();
    inspection.voters = group_->voters(), inspection.peers = alive_,
    inspection.edge_nodes = edge_nodes_.listed();
    for (const auto& [id, record] : registry_->table().records()) inspection.servers.push_back(record);
    if (duty_partitions_)
        std::ranges::copy(duty_partitions_->statuses(), std::back_inserter(inspection.duties));
    if (stage_duty_) inspection.orders = stage_duty_->counts();
    if (usage_duty_) inspection.usage = usage_duty_->status();
    if (autoscale_duty_)
        inspection.server_counts = autoscale_duty_->zone_statuses(),
        inspection.count_calls = autoscale_duty_->calls();
    inspection.group = group_->dropped_messages(), inspection.links = peers_->rejected_messages();
    inspection.sync_replies = registry_->dropped_replies(),
    inspection.call_replies = operator_calls_->dropped_replies();
    return to_json(inspection);
}

void ControlNode::begin_shutdown() {
    if (std::exchange(shutting_down_, true)) return;
    log_line("ending");
    group_->resign();
    if (duty_partitions_) duty_partitions_->resign();
    peers_->announce_shutdown();
    group_->set_member_statuses(peers_->member_statuses());
    publish_control_nodes();
    publisher_->close_all("this node is shutting down");
    reactor_.call_after(kShutdownDelay, [this] { reactor_.stop(); });
}

} // namespace ivyrill::control
