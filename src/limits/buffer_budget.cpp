#include "limits/buffer_budget.hpp"

#include <algorithm>
#include <utility>

namespace ivyrill::limits {

namespace {

constexpr double kWatermark = 0.6; // of the capacity; the rest is kept for small requests
// After a search that found nothing: a crowd must not search all accounts for each of its connections.
constexpr Ticks kSearchInterval = kTicksPerSecond / 50;

} // namespace

std::size_t BufferBudget::watermark() const {
    return static_cast<std::size_t>(kWatermark * static_cast<double>(capacity_));
}

bool BufferBudget::holds_most_of_it(const Account& account) const { return 2 * account.held() > held_; }

bool BufferBudget::shed_stalled(Ticks now) {
    if (searched_in_vain_at_ && now - *searched_in_vain_at_ < kSearchInterval) return false;
    Account* chosen = nullptr;
    for (Account* account : accounts_) {
        const bool waits_for_peer =
            account->phase_ == BufferPhase::kReceiving || account->phase_ == BufferPhase::kSending;
        if (!waits_for_peer || account->is_shed_ || !account->has_stalled(now)) continue;
        if (chosen == nullptr || account->held_ > chosen->held_) chosen = account;
    }
    searched_in_vain_at_.reset();
    if (chosen == nullptr) searched_in_vain_at_ = now;
    if (chosen != nullptr) chosen->shed();
    return chosen != nullptr;
}

BufferBudget::Account::Account(BufferBudget& budget, Ticks now, std::function<void()> on_shed)
    : budget_(budget), on_shed_(std::move(on_shed)),
      place_(budget.accounts_.insert(budget.accounts_.end(), this)), phase_since_(now), progressed_at_(now) {}

BufferBudget::Account::~Account() {
    budget_.held_ -= held_;
    budget_.accounts_.erase(place_);
}

void BufferBudget::Account::set_held(std::size_t bytes) {
    budget_.held_ += bytes;
    budget_.held_ -= held_;
    held_ = bytes;
}

void BufferBudget::Account::enter(BufferPhase phase, Ticks now) {
    if (phase_ == phase) return;
    phase_ = phase;
    phase_since_ = progressed_at_ = now;
    phase_mark_ = progress_mark_ = transferred_;
}

void BufferBudget::Account::record_transferred(std::uint64_t total_bytes, Ticks now) {
    transferred_ = total_bytes;
    if (total_bytes < progress_mark_ + kMinProgressBytes) return;
    progress_mark_ = total_bytes;
    progressed_at_ = now;
}

bool BufferBudget::Account::may_grow(std::size_t bytes) const {
    const bool is_small = held_ + bytes <= kSmallRequestBytes;
    // A large request that is nearly alone may use all: the limit is against many of them.
    if (is_small || budget_.holds_most_of_it(*this)) return budget_.has_room(bytes);
    return budget_.is_below_watermark(bytes);
}

bool BufferBudget::Account::has_stalled(Ticks now) const {
    if (now - progressed_at_ >= kStallTime) return true;
    const Ticks span = now - phase_since_;
    if (span < kPatience) return false;
    const auto least = kMinBytesPerSecond * static_cast<std::uint64_t>(span) / kTicksPerSecond;
    return transferred_ - phase_mark_ < least;
}

void BufferBudget::Account::shed() {
    if (std::exchange(is_shed_, true)) return;
    ++budget_.shed_count_;
    on_shed_();
}

} // namespace ivyrill::limits
