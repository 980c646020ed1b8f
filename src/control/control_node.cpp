#include "control/control_node.hpp"

#include "base/log.hpp"
#include "configuration/parse.hpp"
#include "feed/ports.hpp"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <random>
#include <utility>

namespace ivyrill::control {

namespace {

constexpr Tenths kWatchInterval = 2500;
constexpr Tenths kOutOfContact = 15'000;  // after which agents are sent elsewhere
constexpr Tenths kNodeGrace = 30'000;     // an edge node whose session ended may be back within so long
constexpr Tenths kForwardPatience = 9000; // callers turn elsewhere after a second
constexpr Tenths kLeaderPatience = 7000;  // while nobody is known to lead
constexpr Tenths kLeaderPause = 500;
constexpr std::int64_t kOtherDescriptors = 900; // 200 for files (DEPLOY), the rest for peers and agents
constexpr Tenths kEndSpan = 4000;               // for last answers and the hand-over

std::uint64_t draw() {
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U | device()) | 1U;
}

// The port part of an address.
std::string port_text(const std::string& address) { return address.substr(address.rfind(':') + 1); }
std::string host_text(const std::string& address) { return address.substr(0, address.rfind(':')); }

// Each server keeps a connection to the owner of its service: all descriptors but those for peers, agents and
// files.
http::CallServer::Options call_options(const settings::Settings& settings) {
    http::CallServer::Options options;
    const std::int64_t room = settings.limits.file_descriptors - kOtherDescriptors;
    options.most_connections =
        std::max(options.most_connections, static_cast<std::size_t>(std::max<std::int64_t>(0, room)));
    return options;
}

http::Answer to_answer(const Result<void>& result) {
    return result.has_error() ? http::error_answer(result.error()) : http::json_answer("{}");
}

Result<std::int64_t> read_if_match(std::string text) {
    std::erase(text, '"');
    std::int64_t version = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), version);
    if (failure != std::errc{} || end != text.data() + text.size() || text.empty())
        return error(ErrorKind::kInvalidInput,
                     "If-Match: not a version; name the one that is built on, 0 for the first");
    return version;
}

} // namespace

Result<std::unique_ptr<ControlNode>> ControlNode::open(transport::Reactor& reactor,
                                                       const settings::Settings& settings) {
    std::unique_ptr<ControlNode> node(new ControlNode(reactor, settings));
    BOOST_OUTCOME_TRYV(node->start());
    return node;
}

ControlNode::ControlNode(transport::Reactor& reactor, const settings::Settings& settings)
    : reactor_(reactor), settings_(settings), log_(draw()) {}

ControlNode::~ControlNode() { reactor_.cancel(timer_); }

Result<void> ControlNode::start() {
    ConfigurationGroup::Options options;
    options.data_dir = settings_.data_dir, options.zone = settings_.zone;
    options.address = feed::peer_address(settings_, settings_.ip);
    for (const std::string& seed : settings_.seed_nodes)
        options.founders.push_back(feed::peer_address(settings_, host_text(seed)));
    options.first_start = settings_.first_start, options.seed = draw();
    options.least_voters =
        static_cast<std::size_t>(std::max<std::int64_t>(3, 2 * settings_.tolerance.machines + 1));
    options.most_voters = std::max<std::size_t>(options.least_voters, 9);
    ConfigurationGroup::Callbacks callbacks;
    open_group_callbacks(callbacks);
    BOOST_OUTCOME_TRY(group, ConfigurationGroup::open(reactor_, options, std::move(callbacks)));
    group_ = std::move(group);
    self_ = {options.address, settings_.zone, group_->self().value};
    open_registry();
    open_peers();
    open_feed();
    BOOST_OUTCOME_TRYV(open_known_state());
    open_calls();
    watch();
    peers_->start();
    return boost::outcome_v2::success();
}

void ControlNode::open_group_callbacks(ConfigurationGroup::Callbacks& callbacks) {
    callbacks.send = [this](const consensus::Send& sent) {
        if (!peers_) return;
        if (!peers_->send_to_member(sent.message.to.value, sent.message))
            peers_->send(sent.address, sent.message);
    };
    callbacks.committed = [this](const model::Configuration& configuration, const std::string& body) {
        const model::Configuration* known = log_.configuration();
        if (known != nullptr && known->version >= configuration.version) return;
        log_.put(configuration);
        configuration_body_ = body;
        publish();
    };
}

void ControlNode::open_registry() {
    InstanceRegistry::Options options;
    options.self = self_.address;
    options.heartbeat = settings_.beat_interval_ms * (kTenthsPerSecond / 1000);
    InstanceRegistry::Callbacks callbacks;
    callbacks.send_to_peers = [this](const feed::Message& message) { peers_->send_to_all(message); };
    callbacks.send = [this](const std::string& peer, const feed::Message& message) {
        peers_->send(peer, message);
    };
    callbacks.further_copies = [this] { return further_copies(); };
    callbacks.in_contact = [this] { return group_->in_contact(); };
    callbacks.call_address = [this](const std::string& peer) { return call_address(peer); };
    callbacks.changed = [this] { publish(); };
    callbacks.loads_changed = [this] { publisher_->publish(); };
    registry_ = std::make_unique<InstanceRegistry>(reactor_, log_, options, std::move(callbacks));
    registry_->set_nodes({self_.address});
}

void ControlNode::open_peers() {
    PeerMesh::Options options;
    options.self = self_, options.incarnation = draw();
    for (const std::string& seed : settings_.seed_nodes)
        options.seeds.push_back(feed::peer_address(settings_, host_text(seed)));
    PeerMesh::Callbacks callbacks;
    callbacks.received = [this](const model::ControlNode& peer, feed::Message message) {
        peer_said(peer, std::move(message));
    };
    callbacks.peers_changed = [this] { peers_changed(); };
    callbacks.fill_status = [this](feed::PeerStatus& status) {
        status.sessions = publisher_->sessions();
        status.instances = registry_->digests();
        status.heard = registry_->take_heard();
    };
    peers_ = std::make_unique<PeerMesh>(reactor_, options, std::move(callbacks));
    peer_listener_ = std::make_unique<transport::Listener>(
        reactor_, self_.address, [this](int descriptor) { peers_->take(descriptor); });
}

void ControlNode::open_feed() {
    feed::Publisher::Callbacks callbacks;
    callbacks.refuse = [this]() -> std::optional<std::string> {
        if (ending_) return "this node ends";
        if (!serving_feed_) return "this node is cut off from the majority";
        return std::nullopt;
    };
    callbacks.sessions_changed = [this] { put_edge_nodes(); };
    callbacks.digests = [this] { return registry_->digests(); };
    callbacks.instances = [this](const std::vector<model::Instance>& records) {
        registry_->merge_known(records);
    };
    callbacks.loads = [this](const std::vector<model::Load>& loads) { registry_->take_loads(loads, true); };
    publisher_ =
        std::make_unique<feed::Publisher>(reactor_, log_, feed::session_options(), std::move(callbacks));
    feed_listener_ =
        std::make_unique<transport::Listener>(reactor_, feed::feed_address(settings_, settings_.ip),
                                              [this](int descriptor) { publisher_->take(descriptor); });
}

// The head start after an end of the whole fleet: what is known here is told at once, and the servers have
// their usual time to be heard from.
Result<void> ControlNode::open_known_state() {
    BOOST_OUTCOME_TRY(keeper,
                      KnownStateKeeper::open(reactor_, settings_.data_dir, [this] { return known_state(); }));
    const KnownState& loaded = keeper->loaded();
    if (loaded.version > 0 && log_.configuration() == nullptr) {
        const auto configuration = configuration::parse(loaded.body);
        if (configuration.has_value()) {
            log_.put(configuration.value());
            configuration_body_ = loaded.body;
        }
    }
    registry_->merge_known(loaded.instances);
    log_line("known_state", {{"version", std::to_string(loaded.version)},
                             {"servers", std::to_string(loaded.instances.size())}});
    known_state_ = std::move(keeper);
    publish();
    return boost::outcome_v2::success();
}

KnownState ControlNode::known_state() const {
    KnownState state;
    if (const model::Configuration* configuration = log_.configuration())
        state.version = configuration->version;
    state.body = configuration_body_;
    for (const auto& [id, record] : registry_->table().records()) state.instances.push_back(record);
    return state;
}

void ControlNode::publish() {
    if (publisher_) publisher_->publish();
    if (known_state_) known_state_->changed();
}

void ControlNode::open_calls() {
    router_.add<RegisterCall, RegisterReply>(
        {"PUT", "/instances/",
         [](const protocol::HttpMessage& message, const std::string& id) {
             return read_register_call(id, message.body);
         },
         [this](RegisterCall call) { return registry_->carry_out(std::move(call)); },
         [](const RegisterReply& reply) {
             if (reply.beat_address.empty()) return http::json_answer("{}");
             return http::json_answer("{\"beatAddr\":\"" + reply.beat_address + "\"}");
         }});
    router_.add<LeaveCall, LeaveReply>(
        {"DELETE", "/instances/",
         [](const protocol::HttpMessage&, const std::string& id) { return Result<LeaveCall>(LeaveCall{id}); },
         [this](LeaveCall call) { return registry_->carry_out(std::move(call)); },
         [](const LeaveReply&) { return http::json_answer("{}"); }});
    router_.add<ReplaceConfigurationCall, ReplaceConfigurationReply>(
        {"PUT", "/config",
         [](const protocol::HttpMessage& message, const std::string&) -> Result<ReplaceConfigurationCall> {
             BOOST_OUTCOME_TRY(version, read_if_match(std::string(message.header("if-match"))));
             return ReplaceConfigurationCall{version, message.body};
         },
         [this](ReplaceConfigurationCall call) { return carry_out(std::move(call)); },
         [](const ReplaceConfigurationReply&) { return http::json_answer("{}"); }});
    router_.add<ReadConfigurationCall, ReadConfigurationReply>(
        {"GET", "/config",
         [](const protocol::HttpMessage&, const std::string&) {
             return Result<ReadConfigurationCall>(ReadConfigurationCall{});
         },
         [this](ReadConfigurationCall call) { return carry_out(call); },
         [](const ReadConfigurationReply& reply) { return http::json_answer(reply.body); }});
    router_.add<InspectCall, InspectReply>(
        {"GET", "/inspect",
         [](const protocol::HttpMessage&, const std::string&) { return Result<InspectCall>(InspectCall{}); },
         [this](InspectCall call) { return carry_out(call); },
         [](const InspectReply& reply) { return http::json_answer(reply.body); }});
    calls_ = std::make_unique<http::CallServer>(
        reactor_, settings_.listen_addrs.at("controlAddr"), call_options(settings_),
        [this](protocol::HttpMessage message) { return router_.handle(std::move(message)); });
}

// A majority of the voters holds a record: this node's copy and so many more.
std::size_t ControlNode::further_copies() const {
    const std::size_t voters = group_->voters().size();
    return voters == 0 ? 1 : voters / 2;
}

std::string ControlNode::call_address(const std::string& peer) const {
    return host_text(peer) + ":" + port_text(settings_.listen_addrs.at("controlAddr"));
}

void ControlNode::peer_said(const model::ControlNode& peer, feed::Message message) {
    if (const auto* said = std::get_if<consensus::Message>(&message)) {
        group_->receive(*said);
    } else if (const auto* status = std::get_if<feed::PeerStatus>(&message)) {
        registry_->compare(peer.address, *status);
        put_edge_nodes();
    } else if (const auto* records = std::get_if<feed::Replicate>(&message)) {
        registry_->replicate(peer.address, *records);
    } else if (const auto* done = std::get_if<feed::Replicated>(&message)) {
        registry_->replicated(peer.address, *done);
    } else if (const auto* wanted = std::get_if<feed::WantRanges>(&message)) {
        registry_->send_ranges(peer.address, *wanted);
    } else if (auto* call = std::get_if<feed::ForwardedCall>(&message)) {
        reactor_.spawn(answer_forwarded(peer.address, std::move(*call)));
    } else if (auto* answer = std::get_if<feed::ForwardedAnswer>(&message)) {
        const auto found = forwarded_.find(answer->number);
        if (found != forwarded_.end())
            found->second->resolve({static_cast<int>(answer->status), "", std::move(answer->body)});
    }
}

void ControlNode::peers_changed() {
    std::vector<std::string> alive{self_.address};
    for (const model::ControlNode& node : peers_->alive()) alive.push_back(node.address);
    std::ranges::sort(alive);
    registry_->set_nodes(std::move(alive));
    group_->set_candidates(peers_->candidates());
    put_control_nodes();
    put_edge_nodes();
}

void ControlNode::put_control_nodes() {
    feed::ControlNodes item;
    item.nodes = peers_->alive();
    if (!ending_) item.nodes.push_back(self_);
    std::ranges::sort(item.nodes);
    log_.put(std::move(item));
    publisher_->publish();
}

void ControlNode::put_edge_nodes() {
    const Tenths now = reactor_.now();
    for (model::EdgeNode& node : publisher_->sessions()) edge_nodes_[node.name] = {node, now};
    for (model::EdgeNode& node : peers_->sessions()) edge_nodes_[node.name] = {node, now};
    std::erase_if(edge_nodes_, [now](const auto& known) { return now - known.second.second > kNodeGrace; });
    feed::EdgeNodes item;
    for (const auto& [name, known] : edge_nodes_) item.nodes.push_back(known.first);
    if (item.nodes == told_edge_nodes_) return;
    told_edge_nodes_ = item.nodes;
    log_.put(std::move(item));
    publisher_->publish();
}

void ControlNode::watch() {
    timer_ = reactor_.call_after(kWatchInterval, [this] { watch(); });
    for (const consensus::Member& voter : group_->voters())
        peers_->know({voter.address, voter.zone, voter.id.value});
    group_->set_candidates(peers_->candidates());
    const Tenths out = group_->out_of_contact();
    const bool serves = !ending_ && (out == 0 || (serving_feed_ && out < kOutOfContact));
    if (serves == serving_feed_) return;
    serving_feed_ = serves;
    log_line("feed", {{"serves", serves ? "yes" : "no"}});
    if (!serves) publisher_->end_all("this node is cut off from the majority");
}

transport::Async<Result<ReadConfigurationReply>> ControlNode::carry_out(ReadConfigurationCall) {
    http::Answer answer = co_await at_owner("GET", "", "");
    if (answer.status != 200) co_return error(ErrorKind::kUnavailable, std::move(answer.body));
    co_return ReadConfigurationReply{std::move(answer.body)};
}

transport::Async<Result<ReplaceConfigurationReply>> ControlNode::carry_out(ReplaceConfigurationCall call) {
    http::Answer answer = co_await at_owner("PUT", std::to_string(call.if_match), std::move(call.body));
    if (answer.status == 200) co_return ReplaceConfigurationReply{};
    const ErrorKind kind = answer.status == 412   ? ErrorKind::kVersionConflict
                           : answer.status == 400 ? ErrorKind::kInvalidInput
                                                  : ErrorKind::kUnavailable;
    co_return error(kind, std::move(answer.body));
}

transport::Async<http::Answer> ControlNode::decide_here(const std::string& method,
                                                        const std::string& if_match, std::string body) {
    if (method == "GET") {
        const Result<std::string> read = co_await group_->read();
        co_return read.has_error() ? http::error_answer(read.error()) : http::json_answer(read.value());
    }
    const auto version = read_if_match(if_match);
    if (version.has_error()) co_return http::error_answer(version.error());
    co_return to_answer(co_await group_->replace(version.value(), std::move(body)));
}

transport::Async<http::Answer> ControlNode::at_owner(std::string method, std::string if_match,
                                                     std::string body) {
    const Tenths patience = reactor_.now() + kLeaderPatience;
    for (;;) {
        if (group_->leads()) co_return co_await decide_here(method, if_match, std::move(body));
        const auto leader = group_->leader();
        if (leader && *leader != group_->self()) {
            const std::uint64_t number = ++count_;
            auto pending = std::make_shared<transport::Pending<http::Answer>>(reactor_);
            forwarded_[number] = pending;
            if (peers_->send_to_member(leader->value, feed::ForwardedCall{number, method, if_match, body})) {
                auto answer = co_await transport::Pending<http::Answer>::wait(pending, reactor_.now() +
                                                                                           kForwardPatience);
                forwarded_.erase(number);
                if (!answer) break;
                if (answer->status == 200) answer->fields = "Content-Type: application/json\r\n";
                co_return std::move(*answer);
            }
            forwarded_.erase(number);
        }
        if (reactor_.now() >= patience) break;
        auto pause = std::make_shared<transport::Pending<bool>>(reactor_);
        co_await transport::Pending<bool>::wait(pause, reactor_.now() + kLeaderPause);
    }
    co_return http::Answer{503, "", "no node owns the configuration now: call again or elsewhere\n"};
}

transport::Task ControlNode::answer_forwarded(std::string peer, feed::ForwardedCall call) {
    const http::Answer answer = co_await decide_here(call.method, call.if_match, std::move(call.body));
    peers_->send(peer, feed::ForwardedAnswer{call.number, answer.status, answer.body});
}

transport::Async<Result<InspectReply>> ControlNode::carry_out(InspectCall) {
    std::string servers, peers, voters, nodes;
    const auto append = [](std::string& list, std::string item) {
        if (!list.empty()) list += ",";
        list += item;
    };
    static constexpr const char* kStates[] = {"serving", "silent", "draining", "gone"};
    for (const auto& [id, record] : registry_->table().records())
        append(servers, fmt::format(R"({{"id":"{}","service":"{}","address":"{}","zone":"{}","state":"{}"}})",
                                    id, record.service, record.address, record.zone,
                                    kStates[static_cast<std::size_t>(record.state) % 4]));
    for (const model::ControlNode& node : peers_->alive())
        append(peers, fmt::format(R"({{"address":"{}","zone":"{}"}})", node.address, node.zone));
    for (const consensus::Member& voter : group_->voters())
        append(voters, fmt::format(R"({{"address":"{}","member":"{}"}})", voter.address, voter.id.value));
    for (const auto& [name, known] : edge_nodes_)
        append(nodes, fmt::format(R"({{"name":"{}","zone":"{}"}})", name, known.first.zone));
    co_return InspectReply{
        fmt::format(R"({{"node":"{}","leads":{},"inContact":{},"version":{},"voters":[{}],"peers":[{}],)"
                    R"("edgeNodes":[{}],"servers":[{}]}})",
                    settings_.node_name, group_->leads(), group_->in_contact(), group_->version(), voters,
                    peers, nodes, servers)};
}

void ControlNode::begin_end() {
    if (std::exchange(ending_, true)) return;
    log_line("ending");
    group_->resign();
    peers_->set_ending();
    group_->set_candidates(peers_->candidates());
    put_control_nodes();
    publisher_->end_all("this node ends");
    reactor_.call_after(kEndSpan, [this] { reactor_.stop(); });
}

} // namespace ivyrill::control
