#include "feed/subscriber.hpp"

#include "base/log.hpp"

#include <algorithm>
#include <utility>

namespace ivyrill::feed {

Subscriber::Subscriber(transport::Reactor& reactor, LinkNetwork& network, Options options,
                       Callbacks callbacks)
    : reactor_(reactor), network_(network), options_(std::move(options)), callbacks_(std::move(callbacks)),
      backoff_(options_.initial_backoff) {}

Subscriber::~Subscriber() {
    reactor_.cancel(timer_);
    reactor_.cancel(heartbeat_timer_);
}

void Subscriber::start() {
    try_next();
    if (options_.heartbeat > 0) send_heartbeat();
}

void Subscriber::try_next() {
    if (candidates_.empty()) {
        candidates_ = callbacks_.publishers();
        std::ranges::reverse(candidates_); // candidates are taken from the back
        if (candidates_.empty()) return try_later();
    }
    address_ = candidates_.back();
    candidates_.pop_back();
    Link::Callbacks callbacks;
    callbacks.up = [this] { subscribe(); };
    callbacks.received = [this](Message message) { received(std::move(message)); };
    callbacks.ended = [this](const std::string& reason) { link_ended(reason); };
    synchronized_ = false;
    link_ = network_.connect(address_, options_.silence, std::move(callbacks));
    if (!link_) return candidates_.empty() ? try_later() : try_next();
    reactor_.cancel(timer_);
    timer_ = reactor_.call_after(options_.connect_timeout, [this] {
        if (!synchronized_ && link_ != nullptr) link_->end("timeout waiting for the first batch");
    });
    link_->start();
}

void Subscriber::try_later() {
    reactor_.cancel(timer_);
    timer_ = reactor_.call_after(backoff_, [this] { try_next(); });
    backoff_ = std::min(backoff_ * 2, options_.max_backoff);
}

void Subscriber::subscribe() {
    Subscribe message;
    message.node = options_.node;
    message.feed_id = tables_.feed_id(), message.sequence = tables_.sequence();
    if (tables_.configuration()) message.configuration_version = tables_.configuration()->version;
    if (options_.offers_records) message.instances = tables_.instances().digests();
    link_->send(std::move(message));
}

void Subscriber::received(Message message) {
    if (const auto* batch = std::get_if<Batch>(&message)) {
        apply(*batch);
    } else if (const auto* wanted = std::get_if<RangeRequest>(&message)) {
        link_->send(Instances{tables_.instances().records_in_ranges(wanted->ranges), true, {}});
    } else if (const auto* refused = std::get_if<SubscriptionRefused>(&message)) {
        link_->end("refused: " + refused->reason);
    } else if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
        if (callbacks_.fleet_time && heartbeat->unix_ms != 0)
            callbacks_.fleet_time({heartbeat->unix_ms, heartbeat->error_ms});
    } else {
        link_->end("sent a message that is not valid from a publisher");
    }
}

void Subscriber::apply(const Batch& batch) {
    const Tables::Applied applied = tables_.apply(batch, reactor_.now());
    if (!applied.is_applicable) {
        tables_.forget_sequence();
        return subscribe();
    }
    if (!std::exchange(synchronized_, true)) {
        log_line("feed_up", {{"publisher", address_}, {"place", std::to_string(batch.sequence)}});
        backoff_ = options_.initial_backoff;
        candidates_.clear();
        if (callbacks_.synchronized) callbacks_.synchronized();
    }
    if (callbacks_.applied) callbacks_.applied(applied);
}

void Subscriber::link_ended(const std::string& reason) {
    const bool was_synchronized = std::exchange(synchronized_, false);
    if (was_synchronized) log_line("feed_down", {{"publisher", address_}, {"cause", reason}});
    auto owner = std::make_shared<std::unique_ptr<Link>>(std::move(link_));
    reactor_.free_later([owner] { owner->reset(); });
    reactor_.cancel(timer_);
    if (was_synchronized && callbacks_.ended) callbacks_.ended();
    // A failure is followed by the next address at once, a whole round of failures by a pause.
    if (was_synchronized || !candidates_.empty())
        timer_ = reactor_.call_after(1, [this] { try_next(); });
    else
        try_later();
}

void Subscriber::disconnect(const std::string& reason) {
    if (link_ != nullptr) link_->end(reason);
}

void Subscriber::send_heartbeat() {
    const std::int64_t unix_ms = callbacks_.time_of_day ? callbacks_.time_of_day() : 0;
    if (connected()) send(Heartbeat{tables_.sequence(), unix_ms, 0});
    heartbeat_timer_ = reactor_.call_after(options_.heartbeat, [this] { send_heartbeat(); });
}

} // namespace ivyrill::feed
