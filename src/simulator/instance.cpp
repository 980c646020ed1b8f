#include "simulator/instance.hpp"

#include <limits>

namespace ivyrill::simulator {

namespace {

constexpr std::int64_t kMaxId = std::numeric_limits<std::uint32_t>::max();
constexpr std::int64_t kMaxIndex = std::numeric_limits<std::int32_t>::max();
constexpr std::int64_t kMaxJob = std::numeric_limits<std::int64_t>::max();

std::uint32_t request_id(const Message& message) {
    return static_cast<std::uint32_t>(message.integer_within("Id", 0, kMaxId));
}

std::int32_t index(const Message& message, std::string_view field) {
    return message.has(field) ? static_cast<std::int32_t>(message.integer_within(field, 0, kMaxIndex)) : 0;
}

std::string number(std::uint32_t value) { return std::to_string(value); }

} // namespace

ServerId SimulatedFrontNode::server_of(std::string_view name) {
    if (const auto found = ids_.find(name); found != ids_.end()) return found->second;
    const ServerId id{static_cast<std::uint32_t>(names_.size())};
    ids_.emplace(name, id);
    names_.emplace_back(name);
    return id;
}

void SimulatedFrontNode::apply(Ticks now, const Message& message) {
    if (message.name() == "ACCEPT") {
        const JobNo job{static_cast<std::uint64_t>(message.integer_within("JobNo", 0, kMaxJob))};
        const std::int64_t shard = message.integer_within("SegmentNo", -kMaxIndex, kMaxIndex);
        if (shard < 0)
            scheduler_->handle(
                now, SearchAccepted{SearchId{request_id(message)}, job,
                                    RequestClassNo{index(message, "Kind")}, TenantNo{index(message, "Realm")},
                                    ticks_rounded_down(message.integer("TtlUs")), message.flag("IsRetry")});
        else
            scheduler_->handle(now, PartAdded{PartId{request_id(message)}, job,
                                              ShardNo{static_cast<std::int32_t>(shard)},
                                              message.number("SizeOrWeight", 0)});
    } else if (message.name() == "RETURNED") {
        const AttemptNo attempt{static_cast<std::uint32_t>(message.integer_within("Copy", 0, kMaxId))};
        const Ticks elapsed = ticks_rounded_down(message.integer("DelaySeenUs", 0));
        Outcome outcome = read_outcome(message.text("How"));
        // The wire has one value for both outcomes: an attempt that took less than the time-out was refused.
        if (outcome == Outcome::kConnectTimeout && elapsed < connect_timeout_)
            outcome = Outcome::kConnectionRefused;
        scheduler_->handle(now, AttemptEnded{PartId{request_id(message)}, attempt,
                                             server_of(message.text("Server")), outcome, elapsed,
                                             read_report(message)});
    } else if (message.name() == "CHECKED") {
        scheduler_->handle(now, ProbeEnded{server_of(message.text("Server")), message.text("How") == "pass",
                                           ticks_rounded_down(message.integer("DelaySeenUs", 0)),
                                           read_report(message)});
    } else if (message.name() == "LAPSED") {
        scheduler_->handle(now, SearchAbandoned{SearchId{request_id(message)}});
    }
    // RING only triggers the decision that follows every event. Other messages are ignored.
}

void SimulatedFrontNode::apply_list(Ticks now, ServerListKind kind, const EndpointList& endpoints) {
    ServerListUpdate update{kind, {}};
    for (const ListedEndpoint& row : endpoints) {
        update.entries.push_back(row.entry);
        update.entries.back().server = server_of(row.server);
    }
    scheduler_->handle(now, update);
}

std::string SimulatedFrontNode::decide(Ticks now) {
    actions_.clear();
    scheduler_->decide(now, *this);
    return std::move(actions_);
}

// The simulator sends at once, so there is no send deadline.
void SimulatedFrontNode::attempt(PartId part, ServerId server, Ticks time_out, Ticks) {
    actions_ += "ISSUE Id=" + number(part.value) + " TimeoutUs=" + std::to_string(to_micros(time_out)) +
                " Server=" + names_.at(server.value) + "\n";
}

void SimulatedFrontNode::cancel_attempt(PartId part, AttemptNo attempt) {
    actions_ += "REVOKE Id=" + number(part.value) + " Copy=" + number(attempt.value) + "\n";
}

void SimulatedFrontNode::answer(SearchId search, bool whole) {
    actions_ += "SETTLE_QUERY Id=" + number(search.value) + " On=" + (whole ? "1" : "0") + "\n";
}

void SimulatedFrontNode::reject(SearchId search, Ticks retry_after) {
    actions_ += "REJECT Id=" + number(search.value);
    if (retry_after > 0) actions_ += " BackoffUs=" + std::to_string(to_micros(retry_after));
    actions_ += "\n";
}

void SimulatedFrontNode::fail(SearchId search) { actions_ += "END_FAILED Id=" + number(search.value) + "\n"; }

void SimulatedFrontNode::probe(ServerId server) {
    actions_ += "ASK_LOAD Server=" + names_.at(server.value) + "\n";
}

void SimulatedFrontNode::close_idle_connections(ServerId server) {
    actions_ += "HANG_UP Server=" + names_.at(server.value) + "\n";
}

void SimulatedFrontNode::schedule_wakeup(Ticks in) {
    actions_ += "SCHEDULE Mark=0 InUs=" + std::to_string(to_micros(in)) + "\n";
}

void SimulatedFrontNode::subscribe() { actions_ += "LISTEN On=1\n"; }

} // namespace ivyrill::simulator
