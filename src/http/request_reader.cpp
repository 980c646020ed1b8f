#include "http/request_reader.hpp"

#include <algorithm>
#include <utility>

namespace ivyrill::http {

namespace {

constexpr Ticks kMaxPause = kTicksPerSecond; // for stalled requests to be shed, and others to end
constexpr Ticks kPauseInterval = kTicksPerSecond / 10;
constexpr Ticks kBodyTimeout = 60 * kTicksPerSecond; // and the time that its bytes take at the least rate
constexpr std::uint64_t kMinBytesPerSecond = limits::BufferBudget::Account::kMinBytesPerSecond;

} // namespace

RequestReader::RequestReader(transport::Stream& stream, protocol::HttpParser& parser,
                             limits::BufferBudget& budget, limits::BufferBudget::Account& account,
                             BodyLimit body_limit)
    : stream_(stream), parser_(parser), budget_(budget), account_(account),
      body_limit_(std::move(body_limit)) {}

RequestReader::Step RequestReader::read(Ticks now) {
    if (!stream_.unread() || parser_.complete() || parser_.broken() != 0) {
        update_account(now);
        return Step::kNothing;
    }
    if (!account_.may_grow(stream_.unread_bytes())) return pause(now);
    paused_since_.reset();
    if (!parser_.begun()) begun_at_ = now;
    received_at_ = now;
    received_bytes_ += stream_.feed(parser_);
    limit_body();
    update_account(now);
    return Step::kAdvanced;
}

RequestReader::Step RequestReader::pause(Ticks now) {
    if (!paused_since_) paused_since_ = now;
    if (now - *paused_since_ >= kMaxPause) return Step::kNoRoom;
    account_.enter(limits::BufferPhase::kPaused, now);
    budget_.shed_stalled(now);
    resume_at_ = now + kPauseInterval;
    received_at_ = now; // silence of the peer is not known while nothing is read
    return Step::kPaused;
}

void RequestReader::limit_body() {
    if (!body_limit_ || body_limited_ || !parser_.head_complete()) return;
    body_limited_ = true;
    parser_.limit_body(body_limit_(parser_.message()));
}

// The body counts twice: it is copied into what is sent on.
void RequestReader::update_account(Ticks now) {
    using limits::BufferPhase;
    const bool sends = stream_.unwritten() > 0;
    account_.enter(parser_.begun() ? BufferPhase::kReceiving
                   : sends         ? BufferPhase::kSending
                                   : BufferPhase::kIdle,
                   now);
    account_.record_transferred(stream_.transferred_bytes(), now);
    account_.set_held(stream_.buffered_bytes() + parser_.buffered_bytes() + parser_.message().body.size());
}

Ticks RequestReader::body_deadline(Ticks max_silence) const {
    const auto at_least_rate = static_cast<Ticks>(received_bytes_ * kTicksPerSecond / kMinBytesPerSecond);
    return std::min(begun_at_ + kBodyTimeout + at_least_rate, received_at_ + max_silence);
}

void RequestReader::request_taken() {
    body_limited_ = false;
    paused_since_.reset();
    received_bytes_ = 0;
}

} // namespace ivyrill::http
