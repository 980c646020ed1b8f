#include "control/configuration_group.hpp"

#include "base/hash.hpp"
#include "base/log.hpp"
#include "configuration/parse.hpp"
#include "wire/cbor.hpp"

#include <algorithm>
#include <utility>

namespace ivyrill::control {

namespace {

constexpr Tenths kProposalPatience = 9'000; // callers give up after a second, and send the call again
constexpr Tenths kReadPatience = 8'000;
constexpr Tenths kFoundingDelay = 16'000; // in which any member of a group that exists already gets in touch
constexpr Tenths kFoundingPatience = 25'000; // for a founder that can't be asked whether it does
constexpr Tenths kFoundingLook = 500;
constexpr std::uint64_t kFoundingTerm = 1; // a higher one was reached by an election
constexpr Tenths kElectionTimeout = 4'000; // four heartbeats; the longest is twice as long
constexpr Tenths kVoterContact = 9'000;    // since a leader certainly had a majority
constexpr Tenths kLearnerContact = 12'000;

consensus::MemberId founder_id(const std::string& address) { return {hash_text(address) | 1U}; }

Error not_leading() {
    return error(ErrorKind::kUnavailable,
                 "this node does not own the configuration now: call again or elsewhere");
}

} // namespace

Result<std::unique_ptr<ConfigurationGroup>> ConfigurationGroup::open(transport::Reactor& reactor,
                                                                     std::unique_ptr<StateFile> file,
                                                                     Options options, Callbacks callbacks) {
    std::unique_ptr<ConfigurationGroup> group(
        new ConfigurationGroup(reactor, std::move(file), std::move(options), std::move(callbacks)));
    BOOST_OUTCOME_TRYV(group->load());
    group->member_->step();
    return group;
}

ConfigurationGroup::ConfigurationGroup(transport::Reactor& reactor, std::unique_ptr<StateFile> file,
                                       Options options, Callbacks callbacks)
    : reactor_(reactor), options_(std::move(options)), callbacks_(std::move(callbacks)),
      disk_(std::move(file)), opened_at_(reactor.now()) {}

ConfigurationGroup::~ConfigurationGroup() { reactor_.cancel(founding_timer_); }

Result<void> ConfigurationGroup::load() {
    BOOST_OUTCOME_TRY(loaded, disk_->load());
    // What the disk has forgotten may be a vote or an acknowledged entry: the member that it was is lost.
    const bool rotten = loaded.newest_is_corrupt || options_.disk_is_corrupt;
    const bool spoilt = rotten && !planted(PlantedFault::kOlderFileUsed);
    if (spoilt) log_line("state_spoilt", {{"remedy", "it joins as a new member; check the disk"}});
    StoredReplicaState held;
    if (loaded.bytes && !spoilt) {
        BOOST_OUTCOME_TRY(read, wire::from_bytes<StoredReplicaState>(*loaded.bytes));
        held = std::move(read);
        if (held.self.address != options_.address)
            log_line("address_changed", {{"was", held.self.address}, {"is", options_.address}});
    }
    const bool is_empty = !loaded.bytes && !rotten;
    founding_ = is_empty && options_.first_start &&
                std::ranges::find(options_.initial_voters, options_.address) != options_.initial_voters.end();
    if (founding_)
        held.self.id = founder_id(options_.address);
    else if (is_empty || spoilt)
        held.self.id = {options_.draw()};
    self_ = {held.self.id, options_.address, options_.zone};
    open_member(held.state);
    log_line("group_opened", {{"member", std::to_string(self_.id.value)},
                              {"founder", founding_ ? "yes" : "no"},
                              {"entry", held.state.entry ? "yes" : "no"}});
    if (!founding_) return boost::outcome_v2::success();
    if (options_.initial_voters.size() == 1 || planted(PlantedFault::kFoundsAgain))
        bootstrap();
    else
        founding_timer_ = reactor_.call_after(kFoundingDelay, [this] { bootstrap_if_unopposed(); });
    return boost::outcome_v2::success();
}

void ConfigurationGroup::open_member(const consensus::DurableState& durable) {
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
    callbacks.stepped = [this] { watch_leader(); };
    member_ = std::make_unique<ReplicatedGroup>(reactor_, *disk_, std::move(options), durable,
                                                std::move(callbacks));
}

// The same entry at each founder.
void ConfigurationGroup::bootstrap() {
    founding_ = false;
    reactor_.cancel(founding_timer_);
    std::vector<consensus::Member> initial_voters;
    for (const std::string& address : options_.initial_voters)
        initial_voters.push_back({founder_id(address), address, ""});
    std::ranges::sort(initial_voters, {}, &consensus::Member::address);
    member_->bootstrap(std::move(initial_voters), wire::to_bytes(ConfigurationState{}));
    log_line("group_founded");
}

// A founder whose empty disk comes back while its settings still say that all starts for the first time must
// not vote again: anybody who knows of an election tells it. One of the initial_voters that can't be asked is
// waited for; then a majority of them that know of none is enough.
void ConfigurationGroup::bootstrap_if_unopposed() {
    if (!founding_) return;
    const std::size_t know_of_none = met_founders_.size() + 1;
    const bool waited = reactor_.now() - opened_at_ >= kFoundingPatience;
    const std::size_t wanted =
        waited ? options_.initial_voters.size() / 2 + 1 : options_.initial_voters.size();
    if (know_of_none >= wanted) return bootstrap();
    founding_timer_ = reactor_.call_after(kFoundingLook, [this] { bootstrap_if_unopposed(); });
}

void ConfigurationGroup::handle_peer_hello(const std::string& address, std::uint64_t term) {
    if (!founding_) return;
    if (term > kFoundingTerm) return join_as_new_disk();
    if (std::ranges::find(options_.initial_voters, address) != options_.initial_voters.end())
        met_founders_.insert(address);
}

void ConfigurationGroup::join_as_new_disk() {
    founding_ = false;
    reactor_.cancel(founding_timer_);
    self_.id = {options_.draw()};
    open_member({});
    log_line("group_exists", {{"member", std::to_string(self_.id.value)}});
    callbacks_.identity_changed();
    member_->step();
}

void ConfigurationGroup::receive(const consensus::Message& message) {
    if (!founding_) member_->receive(message);
}

void ConfigurationGroup::set_member_statuses(std::vector<consensus::MemberStatus> candidates) {
    member_->set_member_statuses(std::move(candidates), options_.min_voters, options_.max_voters);
}

void ConfigurationGroup::resign() { member_->resign(); }

void ConfigurationGroup::propose_initial_duty_voters(std::size_t count) {
    if (!leads() || replica().proposal_under_way()) return;
    const auto current = wire::from_bytes<ConfigurationState>(replica().committed()->payload);
    if (current.has_error() || !current.value().initial_duty_voters.empty()) return;
    std::vector<consensus::Member> initial_voters = voters();
    if (initial_voters.size() < count) return;
    std::ranges::sort(initial_voters, {}, &consensus::Member::address);
    initial_voters.resize(count);
    member_->propose_without_waiting(
        [initial_voters](const std::string& payload) -> std::optional<std::string> {
            auto state = wire::from_bytes<ConfigurationState>(payload);
            if (state.has_error() || !state.value().initial_duty_voters.empty()) return std::nullopt;
            state.value().initial_duty_voters = initial_voters;
            return wire::to_bytes(state.value());
        });
}

void ConfigurationGroup::watch_leader() {
    const auto leader = replica().leader();
    if (leader == told_leader_) return;
    told_leader_ = leader;
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
    const Tenths span = leads() ? kElectionTimeout : replica().is_voter() ? kVoterContact : kLearnerContact;
    const auto contact_at = replica().contact_at();
    return contact_at && reactor_.now() - *contact_at <= span;
}

Tenths ConfigurationGroup::time_out_of_contact() const {
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
    const auto outcome = co_await member_->propose(make, kProposalPatience);
    if (outcome == consensus::ProposalOutcome::kCommitted) co_return boost::outcome_v2::success();
    if (!*verdict || **verdict == Verdict::kAccept) co_return not_leading();
    // A refusal, or a word on what was taken before, is only as good as this node's knowledge: proven by a
    // majority.
    if (!planted(PlantedFault::kRefusalUnconfirmed) && !co_await member_->confirm_leadership(kReadPatience))
        co_return not_leading();
    if (**verdict == Verdict::kAlreadyAccepted) co_return boost::outcome_v2::success();
    if (**verdict == Verdict::kStaleVersion)
        co_return error(ErrorKind::kInvalidInput,
                        "version: not above the current one; read /config and raise it");
    co_return error(ErrorKind::kVersionConflict,
                    "If-Match: another version is current; read /config and build on it");
}

transport::Async<Result<std::optional<std::string>>> ConfigurationGroup::read() {
    if (!planted(PlantedFault::kReadUnconfirmed)) {
        if (!leads() || !co_await member_->confirm_leadership(kReadPatience)) co_return not_leading();
    }
    const auto& committed = replica().committed();
    if (!committed) co_return not_leading();
    auto state = wire::from_bytes<ConfigurationState>(committed->payload);
    if (state.has_error()) co_return state.error();
    if (state.value().version == 0) co_return std::optional<std::string>();
    co_return std::optional(std::move(state.value().body));
}

} // namespace ivyrill::control
