#include "control/usage_duty.hpp"

#include "base/log.hpp"
#include "base/planted_fault.hpp"

#include <algorithm>
#include <utility>

namespace ivyrill::control {

using duties::CommittedWindow;
using duties::PlatformOutcome;
using duties::UsageLedger;

namespace {

constexpr Ticks kProposeRetryDelay = kTicksPerSecond; // if the effect of a proposal has not shown

} // namespace

UsageDuty::UsageDuty(transport::Reactor& reactor, duties::PlatformClient& client, Options options,
                     Callbacks callbacks)
    : reactor_(reactor), client_(client), options_(std::move(options)), callbacks_(std::move(callbacks)) {
    timer_ = reactor_.call_after(kCheckInterval, [this] { run(); });
}

UsageDuty::~UsageDuty() { reactor_.cancel(timer_); }

void UsageDuty::run() {
    timer_ = reactor_.call_after(kCheckInterval, [this] { run(); });
    const auto fence = callbacks_.fence();
    const auto committed = callbacks_.committed();
    if (!committed || !callbacks_.may_propose()) return;
    propose_next(*committed);
    if (!fence) return;
    forget_settled(*committed);
    const auto uncommitted = planted(PlantedFault::kSentBeforeAgreed) ? next(*committed) : std::nullopt;
    send_pending(uncommitted ? *uncommitted : *committed, *fence);
}

// The proposal is computed when its turn comes, from the newest ledger, so a duplicate proposal changes
// nothing.
void UsageDuty::propose_next(const UsageLedger& committed) {
    const bool waits = proposed_at_ && reactor_.now() - *proposed_at_ < kProposeRetryDelay;
    if (waits || !next(committed)) return;
    proposed_at_ = reactor_.now();
    callbacks_.propose([this](const UsageLedger& newest) { return next(newest); });
}

std::optional<UsageLedger> UsageDuty::next(const UsageLedger& newest) const {
    const auto now = callbacks_.time();
    if (!now) return std::nullopt;
    // A new leader may have received only part of the counts: until it may act it commits complete windows
    // only.
    const auto counts =
        callbacks_.fence() ? duties::CountRequirement::kAllowPartial : duties::CountRequirement::kComplete;
    return duties::next_ledger(newest, *now, options_.window_ms, callbacks_.sources, settled_, counts);
}

void UsageDuty::forget_settled(const UsageLedger& committed) {
    const auto is_removed = [&](std::int64_t window) {
        return std::ranges::find(committed.committed, window, &CommittedWindow::number) ==
               committed.committed.end();
    };
    std::erase_if(settled_, is_removed);
    std::erase_if(sending_, [&](const auto& entry) { return is_removed(entry.first); });
}

void UsageDuty::send_pending(const UsageLedger& committed, std::uint64_t fence) {
    if (is_fenced_off(fence)) return;
    for (const CommittedWindow& window : committed.committed) {
        const Sending& sending = sending_[window.number];
        if (sending.is_in_flight || reactor_.now() < sending.not_before) continue;
        if (settled_.contains(window.number)) continue;
        if (in_flight() >= kMaxInFlight || !callbacks_.acquire_call()) return;
        send(window, fence);
    }
}

bool UsageDuty::is_fenced_off(std::uint64_t fence) const {
    return fence <= fenced_off_ && !planted(PlantedFault::kPlatformFenceIgnored);
}

std::size_t UsageDuty::in_flight() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(sending_, [](const auto& entry) { return entry.second.is_in_flight; }));
}

void UsageDuty::send(const CommittedWindow& window, std::uint64_t fence) {
    Sending& sending = sending_[window.number];
    sending.is_in_flight = true;
    calls_.record_sent();
    duties::PlatformCall call{"/usage", window.body, fence};
    if (planted(PlantedFault::kCountedAgain))
        call.body = duties::usage_body(window.number, callbacks_.sources.counts(window.number));
    const bool is_unchecked =
        planted(PlantedFault::kPlatformNotChecked) ||
        (planted(PlantedFault::kRetriedWithoutLease) && sending.backoff > kInitialBackoff);
    const auto may_send = [this, fence, is_unchecked] {
        return is_unchecked || (callbacks_.may_act_under(fence) && !is_fenced_off(fence));
    };
    client_.send(call, options_.holder, may_send,
                 [this, window, fence](PlatformOutcome outcome) { answered(window, fence, outcome); });
}

void UsageDuty::answered(const CommittedWindow& window, std::uint64_t fence, PlatformOutcome outcome) {
    log_line("usage_report", {{"window", std::to_string(window.number)},
                              {"fence", std::to_string(fence)},
                              {"outcome", std::string(duties::name_of(outcome))}});
    calls_.record_outcome(outcome);
    Sending& sending = sending_[window.number];
    sending.is_in_flight = false;
    if (outcome == PlatformOutcome::kFencedOff) fenced_off_ = std::max(fenced_off_, fence);
    if (outcome == PlatformOutcome::kRefused) refused(window.number, sending);
    if (outcome == PlatformOutcome::kAccepted && settled_.insert(window.number).second) ++acknowledged_;
    if (outcome == PlatformOutcome::kBusy && planted(PlantedFault::kGivenUpWhenBusy))
        settled_.insert(window.number);
    if (settled_.contains(window.number)) return;
    schedule_retry(sending);
    if (planted(PlantedFault::kRetriedWithoutLease)) send(window, fence);
}

// A report that the platform keeps refusing must not block the following ones forever.
void UsageDuty::refused(std::int64_t window, Sending& sending) {
    if (++sending.refusals < kMaxRefusals) return;
    log_line("usage_report_given_up",
             {{"window", std::to_string(window)}, {"refusals", std::to_string(sending.refusals)}});
    ++given_up_;
    settled_.insert(window);
}

void UsageDuty::schedule_retry(Sending& sending) const {
    sending.not_before = reactor_.now() + sending.backoff;
    sending.backoff = std::min(2 * sending.backoff, kMaxBackoff);
}

UsageDuty::Status UsageDuty::status() const {
    Status result;
    result.fence = callbacks_.fence();
    result.acknowledged = acknowledged_, result.given_up = given_up_, result.calls = calls_;
    const auto committed = callbacks_.committed();
    if (!committed) return result;
    result.next_window = committed->next_window;
    result.due = static_cast<std::size_t>(
        std::ranges::count_if(committed->committed, [this](const CommittedWindow& window) {
            return !settled_.contains(window.number);
        }));
    return result;
}

} // namespace ivyrill::control
