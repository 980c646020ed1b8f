#include "lab/heartbeats.hpp"

#include "protocol/json.hpp"

#include <algorithm>

namespace ivyrill::lab {

namespace {

constexpr int kMostRedirects = 2;
constexpr Ticks kFirstPause = kTicksPerSecond / 10, kLongestPause = kTicksPerSecond;
constexpr std::string_view kScheme = "http://";

std::string address_in(const std::string& location) {
    if (!location.starts_with(kScheme)) return {};
    const std::size_t end = location.find('/', kScheme.size());
    return location.substr(kScheme.size(), end == std::string::npos ? end : end - kScheme.size());
}

std::string named_in(const std::string& body) {
    try {
        const protocol::Json json = protocol::read_json(body);
        const protocol::Json* named = json.find("beatAddr");
        return named ? named->as_text("beatAddr") : std::string{};
    } catch (const std::exception&) { return {}; }
}

} // namespace

HeartbeatKind Heartbeats::kind_at(Ticks now) const {
    if (!left_at_) return HeartbeatKind::kServing;
    return now >= *leave_by_ ? HeartbeatKind::kLeave : HeartbeatKind::kDraining;
}

std::optional<Ticks> Heartbeats::due() const {
    if (ended_ || under_way_) return std::nullopt;
    return leave_by_ ? std::min(next_, *leave_by_) : next_;
}

std::optional<HeartbeatCall> Heartbeats::begin(Ticks now) {
    const auto at = due();
    if (!at || *at > now) return std::nullopt;
    if (plan_.control.empty()) {
        ended_ = left_at_ && now >= *leave_by_;
        next_ = now + plan_.interval;
        return std::nullopt;
    }
    under_way_ = kind_at(now);
    std::string address = plan_.control[node_ % plan_.control.size()];
    if (!named_.empty()) address = named_;
    if (!redirected_.empty()) address = std::exchange(redirected_, {});
    return HeartbeatCall{*under_way_, address, ++sequence_};
}

void Heartbeats::leave(Ticks now) {
    if (left_at_) return;
    left_at_ = now;
    leave_by_ = now + plan_.drain_unacknowledged;
    next_ = now;
}

void Heartbeats::answered(const HeartbeatAnswer& answer, Ticks now) {
    if (answer.status >= 200 && answer.status < 300 && answer.body.size() <= kMostAnswer)
        return acknowledge(answer.body, now);
    const std::string location = answer.status == 307 ? address_in(answer.location) : std::string{};
    if (location.empty() || redirects_ >= kMostRedirects) return failed(now);
    ++redirects_;
    redirected_ = location;
    under_way_.reset();
    next_ = now;
}

void Heartbeats::acknowledge(const std::string& body, Ticks now) {
    const HeartbeatKind kind = *std::exchange(under_way_, std::nullopt);
    ++acknowledged_;
    failures_ = redirects_ = 0;
    ended_ = kind == HeartbeatKind::kLeave;
    if (const std::string named = named_in(body); !named.empty()) named_ = named;
    if (kind == HeartbeatKind::kDraining && !std::exchange(drain_acknowledged_, true))
        leave_by_ = now + plan_.drain + plan_.drain_more;
    // A heartbeat that was in flight when the server was told to leave still said `serving`.
    next_ = kind == HeartbeatKind::kServing && left_at_ ? now : now + plan_.interval;
}

// The next node is called at once; after all nodes have failed, with an increasing delay.
void Heartbeats::failed(Ticks now) {
    const HeartbeatKind kind = *std::exchange(under_way_, std::nullopt);
    redirects_ = 0;
    if (named_.empty())
        ++node_;
    else
        named_.clear();
    ++failures_;
    const auto nodes = static_cast<std::int64_t>(plan_.control.size());
    const std::int64_t rounds = std::min<std::int64_t>(failures_ / nodes, 4);
    next_ = rounds == 0 ? now : now + std::min(kLongestPause, kFirstPause << (rounds - 1));
    ended_ = kind == HeartbeatKind::kLeave && rounds > 0;
}

} // namespace ivyrill::lab
