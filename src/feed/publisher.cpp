#include "feed/publisher.hpp"

#include "base/log.hpp"
#include "wire/frame.hpp"

#include <algorithm>
#include <utility>

namespace ivyrill::feed {

namespace {

constexpr Ticks kTimeInterval = kTicksPerSecond; // between updates of the fleet's time
constexpr Ticks kSnapshotMaxAge = 10'000;        // a snapshot is reused for this long

// Batched as well: when many nodes join together, each one changes the list.
bool is_batched(const Item* item) {
    return std::holds_alternative<model::Load>(*item) || std::holds_alternative<EdgeNodes>(*item);
}

} // namespace

Publisher::Publisher(transport::Reactor& reactor, FeedLog& log, Options options, Callbacks callbacks)
    : reactor_(reactor), log_(log), options_(options), callbacks_(std::move(callbacks)),
      plan_(options.min_flush_interval, options.batch_delay) {
    if (options_.heartbeat > 0) send_heartbeats();
}

Publisher::~Publisher() {
    reactor_.cancel(flush_timer_);
    reactor_.cancel(heartbeat_timer_);
}

void Publisher::accept(const AcceptedLink& connection) {
    const std::uint64_t id = ++next_id_;
    Link::Callbacks callbacks;
    callbacks.received = [this, id](Message message) { received(id, std::move(message)); };
    callbacks.ended = [this, id](const std::string& reason) { drop(id, reason); };
    Subscriber& subscriber = subscribers_[id];
    subscriber.link = connection(options_.silence, std::move(callbacks));
    subscriber.link->start();
}

void Publisher::received(std::uint64_t id, Message message) {
    const auto found = subscribers_.find(id);
    if (found == subscribers_.end()) return;
    Subscriber& subscriber = found->second;
    if (auto* subscription = std::get_if<Subscribe>(&message)) return subscribe(id, std::move(*subscription));
    if (!subscriber.subscribed) return subscriber.link->end("sent a message before subscribing");
    if (const auto* known = std::get_if<Instances>(&message)) {
        if (callbacks_.instances) callbacks_.instances(known->records);
        if (known->last && std::exchange(subscriber.awaits_records, false)) {
            bring_up_to_date(subscriber);
            send_time(id);
        }
    } else if (const auto* loads = std::get_if<Loads>(&message)) {
        if (callbacks_.loads) callbacks_.loads(loads->loads);
    } else if (const auto* demands = std::get_if<Demands>(&message)) {
        if (callbacks_.demands) callbacks_.demands(subscriber.node.name, demands->demands);
    } else if (const auto* usage = std::get_if<UsageCounts>(&message)) {
        if (callbacks_.usage) callbacks_.usage(usage->counts);
    } else if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
        if (callbacks_.time_of_day && heartbeat->unix_ms != 0)
            callbacks_.time_of_day(subscriber.node.name, heartbeat->unix_ms);
    } else {
        subscriber.link->end("sent a message that is not valid from a subscriber");
    }
}

void Publisher::subscribe(std::uint64_t id, Subscribe message) {
    Subscriber& subscriber = subscribers_.at(id);
    if (callbacks_.refuse) {
        if (const auto reason = callbacks_.refuse()) {
            subscriber.link->send(SubscriptionRefused{*reason});
            return;
        }
    }
    if (callbacks_.ready && !callbacks_.ready()) {
        subscriber.deferred = std::move(message);
        return;
    }
    const bool fresh = !std::exchange(subscriber.subscribed, true);
    subscriber.node = std::move(message.node);
    subscriber.feed_id = message.feed_id, subscriber.sequence = message.sequence;
    subscriber.configuration_version = message.configuration_version;
    if (fresh) {
        log_line("session_up", {{"node", subscriber.node.name}, {"place", std::to_string(message.sequence)}});
        if (callbacks_.sessions_changed) callbacks_.sessions_changed();
    }
    if (callbacks_.digests) {
        auto ranges = InstanceTable::differing_ranges(callbacks_.digests(), message.instances);
        if (!ranges.empty() && !message.instances.ranges.empty()) {
            subscriber.awaits_records = true;
            subscriber.link->send(RangeRequest{std::move(ranges), {}});
            return;
        }
    }
    bring_up_to_date(subscriber);
    send_time(id);
}

void Publisher::serve_deferred() {
    std::vector<std::uint64_t> ids;
    for (const auto& [id, subscriber] : subscribers_)
        if (subscriber.deferred) ids.push_back(id);
    for (const std::uint64_t id : ids) {
        const auto found = subscribers_.find(id);
        if (found == subscribers_.end() || !found->second.deferred) continue;
        Subscribe message = std::move(*found->second.deferred);
        found->second.deferred.reset();
        subscribe(id, std::move(message));
    }
}

void Publisher::bring_up_to_date(Subscriber& subscriber) {
    auto items = subscriber.feed_id == log_.feed_id() ? log_.since(subscriber.sequence) : std::nullopt;
    subscriber.feed_id = log_.feed_id();
    if (!items) return send_snapshot(subscriber);
    send_batch(subscriber, {log_.feed_id(), log_.sequence(), false, std::move(*items)});
}

// Many nodes may start together, and encoding a snapshot of a large fleet takes long, so it is encoded once
// for all of them.
void Publisher::send_snapshot(Subscriber& subscriber) {
    const bool is_reusable = !snapshot_.empty() && reactor_.now() - snapshot_at_ < kSnapshotMaxAge;
    if (!is_reusable || !log_.since(snapshot_sequence_)) {
        const model::Configuration* configuration = log_.configuration();
        snapshot_ = wire::frame(to_bytes(BatchView{log_.feed_id(), log_.sequence(), true, log_.snapshot()}));
        snapshot_sequence_ = log_.sequence(), snapshot_at_ = reactor_.now();
        snapshot_version_ = configuration == nullptr ? 0 : configuration->version;
    }
    subscriber.sequence = snapshot_sequence_, subscriber.configuration_version = snapshot_version_;
    subscriber.last_sent = reactor_.now();
    if (!subscriber.link->send_frame(snapshot_))
        return; // the link ended, and the subscriber was removed with it
    if (snapshot_sequence_ == log_.sequence()) return;
    if (auto later = log_.since(snapshot_sequence_))
        send_batch(subscriber, {log_.feed_id(), log_.sequence(), false, std::move(*later)});
}

void Publisher::send_batch(Subscriber& subscriber, BatchView batch) {
    subscriber.configuration_version = replace_by_change(batch, subscriber.configuration_version);
    subscriber.sequence = batch.sequence;
    subscriber.last_sent = reactor_.now();
    subscriber.link->send_frame(wire::frame(to_bytes(batch)));
}

// Replaces the configuration by the change from the previous one if the subscriber has that. Returns the
// version that the subscriber has after the batch.
std::int64_t Publisher::replace_by_change(BatchView& batch, std::int64_t known_version) const {
    for (const Item*& item : batch.items) {
        const auto* configuration = std::get_if<model::Configuration>(item);
        if (configuration == nullptr) continue;
        const Item* change = log_.change_from(known_version);
        known_version = configuration->version;
        if (change != nullptr) item = change;
    }
    return known_version;
}

void Publisher::publish() {
    if (flushed_sequence_ == log_.sequence()) return;
    bool urgent = false;
    const auto items = log_.since(flushed_sequence_);
    if (!items)
        urgent = true;
    else
        urgent = !std::ranges::all_of(*items, is_batched);
    const Ticks at = plan_.schedule(urgent, reactor_.now());
    if (at <= reactor_.now()) return flush();
    reactor_.cancel(flush_timer_);
    flush_timer_ = reactor_.call_at(at, [this] { flush(); });
}

// Most subscribers are at the same sequence number and get the same bytes.
void Publisher::flush() {
    reactor_.cancel(flush_timer_);
    flushed_sequence_ = log_.sequence();
    plan_.flushed(reactor_.now());
    if (reactor_.now() - snapshot_at_ >= kSnapshotMaxAge) snapshot_ = {};
    std::string frame;
    std::uint64_t frame_from = 0;
    std::int64_t frame_version = 0, frame_version_after = 0;
    std::vector<std::uint64_t> ids;
    for (const auto& [id, subscriber] : subscribers_) ids.push_back(id);
    for (const std::uint64_t id : ids) {
        const auto found = subscribers_.find(id);
        if (found == subscribers_.end()) continue;
        Subscriber& subscriber = found->second;
        if (!subscriber.subscribed || subscriber.awaits_records || subscriber.sequence == flushed_sequence_)
            continue;
        if (!frame.empty() && subscriber.sequence == frame_from &&
            subscriber.configuration_version == frame_version) {
            subscriber.sequence = flushed_sequence_, subscriber.last_sent = reactor_.now();
            subscriber.configuration_version = frame_version_after;
            subscriber.link->send_frame(frame);
            continue;
        }
        auto items = log_.since(subscriber.sequence);
        if (!items) {
            bring_up_to_date(subscriber);
            continue;
        }
        BatchView batch{log_.feed_id(), flushed_sequence_, false, std::move(*items)};
        frame_from = subscriber.sequence, frame_version = subscriber.configuration_version;
        frame_version_after = subscriber.configuration_version = replace_by_change(batch, frame_version);
        frame = wire::frame(to_bytes(batch));
        subscriber.sequence = flushed_sequence_, subscriber.last_sent = reactor_.now();
        subscriber.link->send_frame(frame);
    }
}

void Publisher::send_heartbeats() {
    const Heartbeat message = heartbeat();
    for (auto& [id, subscriber] : subscribers_) {
        const bool is_idle = reactor_.now() - subscriber.last_sent >= options_.heartbeat;
        const bool is_time_due =
            message.unix_ms != 0 && reactor_.now() - subscriber.time_sent_at >= kTimeInterval;
        if (!subscriber.subscribed || (!is_idle && !is_time_due)) continue;
        reactor_.free_later([this, id = id, message] { send_heartbeat(id, message); });
    }
    heartbeat_timer_ = reactor_.call_after(options_.heartbeat, [this] { send_heartbeats(); });
}

Heartbeat Publisher::heartbeat() const {
    Heartbeat message{log_.sequence()};
    if (const auto time = callbacks_.fleet_time ? callbacks_.fleet_time() : std::nullopt)
        message.unix_ms = time->unix_ms, message.error_ms = time->error_ms;
    return message;
}

void Publisher::send_heartbeat(std::uint64_t id, const Heartbeat& heartbeat) {
    const auto found = subscribers_.find(id);
    if (found == subscribers_.end()) return;
    found->second.last_sent = reactor_.now();
    if (heartbeat.unix_ms != 0) found->second.time_sent_at = reactor_.now();
    found->second.link->send(heartbeat); // may end the link, which removes the subscriber
}

void Publisher::send_time(std::uint64_t id) {
    const Heartbeat message = heartbeat();
    if (message.unix_ms != 0) send_heartbeat(id, message);
}

void Publisher::publish_time() {
    std::vector<std::uint64_t> ids;
    for (const auto& [id, subscriber] : subscribers_)
        if (subscriber.subscribed && !subscriber.awaits_records) ids.push_back(id);
    for (const std::uint64_t id : ids) send_time(id);
}

void Publisher::drop(std::uint64_t id, const std::string& reason) {
    const auto found = subscribers_.find(id);
    if (found == subscribers_.end()) return;
    const bool subscribed = found->second.subscribed;
    if (subscribed) log_line("session_down", {{"node", found->second.node.name}, {"cause", reason}});
    auto owner = std::make_shared<std::unique_ptr<Link>>(std::move(found->second.link));
    subscribers_.erase(found);
    reactor_.free_later([owner] { owner->reset(); });
    if (subscribed && callbacks_.sessions_changed) callbacks_.sessions_changed();
}

void Publisher::close_all(const std::string& reason) {
    std::vector<std::uint64_t> ids;
    for (const auto& [id, subscriber] : subscribers_) ids.push_back(id);
    for (const std::uint64_t id : ids) {
        const auto found = subscribers_.find(id);
        if (found == subscribers_.end()) continue;
        // Sending may itself end the link, which removes the subscriber.
        if (found->second.link->send(SubscriptionRefused{reason})) found->second.link->end(reason);
    }
}

std::vector<model::EdgeNode> Publisher::sessions() const {
    std::vector<model::EdgeNode> nodes;
    for (const auto& [id, subscriber] : subscribers_)
        if (subscriber.subscribed) nodes.push_back(subscriber.node);
    return nodes;
}

} // namespace ivyrill::feed
