#include "control/configuration_group.hpp"

#include "base/hash.hpp"
#include "base/log.hpp"
#include "configuration/parse.hpp"
#include "wire/cbor.hpp"

#include <algorithm>
#include <utility>

namespace ivyrill::control {

namespace {

constexpr Ticks kProposalTimeout = 9'000; // below the callers' timeout of 1 s, after which they retry
constexpr Ticks kReadTimeout = 8'000;
constexpr Ticks kBootstrapDelay = 16'000;   // any member of an existing group connects within this time
constexpr Ticks kBootstrapTimeout = 25'000; // then an unreachable initial voter is no longer waited for
constexpr Ticks kBootstrapCheckInterval = 500;
constexpr std::uint64_t kBootstrapTerm = 1;   // a higher term proves an election
constexpr Ticks kElectionTimeout = 4'000;     // four heartbeats; randomized up to twice this value
constexpr Ticks kVoterContactTimeout = 9'000; // since a leader is known to have had a majority
constexpr Ticks kLearnerContactTimeout = 12'000;

consensus::MemberId initial_voter_id(const std::string& address) { return {hash_text(address) | 1U}; }

Error not_leading() {
    return error(ErrorKind::kUnavailable,
                 "this node is not the leader of the configuration group: retry or call another node");
}

} // namespace

Result<std::unique_ptr<ConfigurationGroup>> ConfigurationGroup::open(transport::Reactor& reactor,
                                                                     std::unique_ptr<StateFile> file,
                                                                     Options options, Callbacks callbacks) {
    std::unique_ptr<ConfigurationGroup> group(
        new ConfigurationGroup(reactor, std::move(file), std::move(options), std::move(callbacks)));
    BOOST_OUTCOME_TRYV(group->load());
    group->group_->step();
    return group;
}

ConfigurationGroup::ConfigurationGroup(transport::Reactor& reactor, std::unique_ptr<StateFile> file,
                                       Options options, Callbacks callbacks)
    : reactor_(reactor), options_(std::move(options)), callbacks_(std::move(callbacks)),
      file_(std::move(file)), opened_at_(reactor.now()) {}

ConfigurationGroup::~ConfigurationGroup() { reactor_.cancel(bootstrap_timer_); }

Result<void> ConfigurationGroup::load() {
    BOOST_OUTCOME_TRY(file, file_->load());
    // The lost data may include a vote or an acknowledged entry, so the former member id must not be used
    // again.
    const bool is_corrupt = file.newest_is_corrupt || options_.disk_is_corrupt;
    const bool discarded = is_corrupt && !planted(PlantedFault::kOlderFileUsed);
    if (discarded) log_line("state_corrupt", {{"remedy", "this node joins as a new member; check the disk"}});
    StoredReplicaState stored;
    if (file.bytes && !discarded) {
        BOOST_OUTCOME_TRY(read, wire::from_bytes<StoredReplicaState>(*file.bytes));
        stored = std::move(read);
        if (stored.self.address != options_.address)
            log_line("address_changed", {{"was", stored.self.address}, {"is", options_.address}});
    }
    const bool is_empty = !file.bytes && !is_corrupt;
    bootstrapping_ =
        is_empty && options_.first_start &&
        std::ranges::find(options_.initial_voters, options_.address) != options_.initial_voters.end();
    if (bootstrapping_)
        stored.self.id = initial_voter_id(options_.address);
    else if (is_empty || discarded)
        stored.self.id = {options_.draw()};
    self_ = {stored.self.id, options_.address, options_.zone};
    open_group(stored.state);
    log_line("group_opened", {{"member", std::to_string(self_.id.value)},
                              {"initial_voter", bootstrapping_ ? "yes" : "no"},
                              {"entry", stored.state.entry ? "yes" : "no"}});
    if (!bootstrapping_) return boost::outcome_v2::success();
    if (options_.initial_voters.size() == 1 || planted(PlantedFault::kFoundsAgain))
        bootstrap();
    else
        bootstrap_timer_ = reactor_.call_after(kBootstrapDelay, [this] { bootstrap_if_unopposed(); });
    return boost::outcome_v2::success();
}

void ConfigurationGroup::open_group(const consensus::DurableState& durable) {
    consensus::Options options;
    options.self = self_, options.seed = options_.draw();
    options.election_timeout = kElectionTimeout;
    options.min_copies = options_.min_copies;
    ReplicatedGroup::Callbacks callbacks;
    callbacks.send = callbacks_.send;
    callbacks.committed = [this](const consensus::Entry& entry) { publish(entry); };
    callbacks.role_changed = [](const consensus::RoleChanged& role) {
        log_line("role", {{"leads", role.leads ? "yes" : "no"}, {"term", std::to_string(role.term)}});
    };
    callbacks.stepped = [this] { check_leader(); };
    group_ = std::make_unique<ReplicatedGroup>(reactor_, *file_, std::move(options), durable,
                                               std::move(callbacks));
}

// Creates the same entry at each initial voter.
void ConfigurationGroup::bootstrap() {
    bootstrapping_ = false;
    reactor_.cancel(bootstrap_timer_);
    std::vector<consensus::Member> initial_voters;
    for (const std::string& address : options_.initial_voters)
        initial_voters.push_back({initial_voter_id(address), address, ""});
    std::ranges::sort(initial_voters, {}, &consensus::Member::address);
    group_->bootstrap(std::move(initial_voters), wire::to_bytes(ConfigurationState{}));
    log_line("group_bootstrapped");
}

// An initial voter that returns with an empty disk while its settings still announce a first start must not
// vote again: any peer that knows of an election reports its term. Initial voters that can't be reached are
// waited for until a timeout; then a majority that knows of no election is enough.
void ConfigurationGroup::bootstrap_if_unopposed() {
    if (!bootstrapping_) return;
    const std::size_t unaware = contacted_initial_voters_.size() + 1;
    const bool timed_out = reactor_.now() - opened_at_ >= kBootstrapTimeout;
    const std::size_t required =
        timed_out ? options_.initial_voters.size() / 2 + 1 : options_.initial_voters.size();
    if (unaware >= required) return bootstrap();
    bootstrap_timer_ = reactor_.call_after(kBootstrapCheckInterval, [this] { bootstrap_if_unopposed(); });
}

void ConfigurationGroup::handle_peer_hello(const std::string& address, std::uint64_t term) {
    if (!bootstrapping_) return;
    if (term > kBootstrapTerm) return join_as_new_member();
    if (std::ranges::find(options_.initial_voters, address) != options_.initial_voters.end())
        contacted_initial_voters_.insert(address);
}

void ConfigurationGroup::join_as_new_member() {
    bootstrapping_ = false;
    reactor_.cancel(bootstrap_timer_);
    self_.id = {options_.draw()};
    open_group({});
    log_line("group_exists", {{"member", std::to_string(self_.id.value)}});
    callbacks_.identity_changed();
    group_->step();
}

void ConfigurationGroup::receive(const consensus::Message& message) {
    if (!bootstrapping_) group_->receive(message);
}

void ConfigurationGroup::set_member_statuses(std::vector<consensus::MemberStatus> statuses) {
    group_->set_member_statuses(std::move(statuses), options_.min_voters, options_.max_voters);
}

void ConfigurationGroup::resign() { group_->resign(); }

void ConfigurationGroup::propose_initial_duty_voters(std::size_t count) {
    if (!leads() || replica().proposal_under_way()) return;
    const auto current = wire::from_bytes<ConfigurationState>(replica().committed()->payload);
    if (current.has_error() || !current.value().initial_duty_voters.empty()) return;
    std::vector<consensus::Member> initial_voters = voters();
    if (initial_voters.size() < count) return;
    std::ranges::sort(initial_voters, {}, &consensus::Member::address);
    initial_voters.resize(count);
    group_->propose_without_waiting(
        [initial_voters](const std::string& payload) -> std::optional<std::string> {
            auto state = wire::from_bytes<ConfigurationState>(payload);
            if (state.has_error() || !state.value().initial_duty_voters.empty()) return std::nullopt;
            state.value().initial_duty_voters = initial_voters;
            return wire::to_bytes(state.value());
        });
}

void ConfigurationGroup::check_leader() {
    const auto leader = replica().leader();
    if (leader == reported_leader_) return;
    reported_leader_ = leader;
    if (callbacks_.leader_changed) callbacks_.leader_changed();
}

void ConfigurationGroup::publish(const consensus::Entry& entry) {
    const auto state = wire::from_bytes<ConfigurationState>(entry.payload);
    if (state.has_error()) return;
    if (!state.value().initial_duty_voters.empty() && callbacks_.initial_duty_voters)
        callbacks_.initial_duty_voters(state.value().initial_duty_voters);
    if (state.value().version <= published_version_) return;
    const auto configuration = configuration::parse(state.value().body);
    if (configuration.has_error()) {
        log_line("configuration_unreadable", {{"cause", configuration.error().message}});
        return;
    }
    published_version_ = state.value().version;
    log_line("configuration", {{"version", std::to_string(published_version_)}});
    callbacks_.committed(configuration.value(), state.value().body);
}

bool ConfigurationGroup::in_contact() const {
    const Ticks span = leads()                ? kElectionTimeout
                       : replica().is_voter() ? kVoterContactTimeout
                                              : kLearnerContactTimeout;
    const auto contact_at = replica().contact_at();
    return contact_at && reactor_.now() - *contact_at <= span;
}

Ticks ConfigurationGroup::time_out_of_contact() const {
    return in_contact() ? 0 : reactor_.now() - replica().contact_at().value_or(opened_at_);
}

std::vector<consensus::Member> ConfigurationGroup::voters() const {
    const auto& newest = replica().newest();
    return newest ? newest->voters : std::vector<consensus::Member>{};
}

bool ConfigurationGroup::survives_losses(const std::set<std::uint64_t>& members) const {
    if (planted(PlantedFault::kLeavingHeldByAnyone))
        return !voters().empty() && 2 * members.size() > voters().size();
    const auto holds = [&](consensus::MemberId id) { return members.contains(id.value); };
    return replica().survives_losses(holds, false);
}

bool ConfigurationGroup::is_majority(const std::set<std::uint64_t>& members) const {
    return replica().is_majority(
        [&](consensus::MemberId id) { return id == self_.id || members.contains(id.value); });
}

transport::Async<Result<void>> ConfigurationGroup::replace(std::int64_t if_match, std::string body) {
    const auto parsed = configuration::parse(body);
    if (parsed.has_error()) co_return parsed.error();
    if (!leads()) co_return not_leading();
    auto verdict = std::make_shared<std::optional<Verdict>>();
    const ReplaceCall call{if_match, parsed.value().version, std::move(body)};
    const auto make = [verdict, call](const std::string& current) -> std::optional<std::string> {
        const auto state = wire::from_bytes<ConfigurationState>(current);
        if (state.has_error()) return std::nullopt;
        const Decision decision = decide(state.value(), call);
        *verdict = decision.verdict;
        if (!decision.next) return std::nullopt;
        return wire::to_bytes(*decision.next);
    };
    const auto outcome = co_await group_->propose(make, kProposalTimeout);
    if (outcome == consensus::ProposalOutcome::kCommitted) co_return boost::outcome_v2::success();
    if (!*verdict || **verdict == Verdict::kAccept) co_return not_leading();
    // A rejection, or a confirmation of an earlier accepted call, depends on this node's state being current:
    // a majority has to confirm its leadership first.
    if (!planted(PlantedFault::kRefusalUnconfirmed) && !co_await group_->confirm_leadership(kReadTimeout))
        co_return not_leading();
    if (**verdict == Verdict::kAlreadyAccepted) co_return boost::outcome_v2::success();
    if (**verdict == Verdict::kStaleVersion)
        co_return error(ErrorKind::kInvalidInput,
                        "version: not above the current version; read /config and raise it");
    co_return error(ErrorKind::kVersionConflict,
                    "If-Match: not the current version; read /config and base the change on it");
}

transport::Async<Result<std::optional<std::string>>> ConfigurationGroup::read() {
    if (!planted(PlantedFault::kReadUnconfirmed)) {
        if (!leads() || !co_await group_->confirm_leadership(kReadTimeout)) co_return not_leading();
    }
    const auto& committed = replica().committed();
    if (!committed) co_return not_leading();
    auto state = wire::from_bytes<ConfigurationState>(committed->payload);
    if (state.has_error()) co_return state.error();
    if (state.value().version == 0) co_return std::optional<std::string>();
    co_return std::optional(std::move(state.value().body));
}

} // namespace ivyrill::control
