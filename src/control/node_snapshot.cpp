#include "control/node_snapshot.hpp"

#include "base/log.hpp"
#include "wire/cbor.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace ivyrill::control {

namespace {

constexpr Ticks kWriteDelay = 500;      // changes within this time are written together
constexpr Ticks kUrgentWriteDelay = 20; // ... if a caller waits for them
constexpr Ticks kRetryDelay = 10'000;   // after a failed write

} // namespace

Result<std::unique_ptr<SnapshotStore>> SnapshotStore::open(transport::Reactor& reactor,
                                                           std::unique_ptr<StateFile> file,
                                                           std::function<NodeSnapshot()> collect) {
    std::unique_ptr<SnapshotStore> store(new SnapshotStore(reactor, std::move(file), std::move(collect)));
    BOOST_OUTCOME_TRY(found, store->file_->load());
    store->file_is_corrupt_ = found.newest_is_corrupt;
    if (!found.bytes) return store;
    auto read = wire::from_bytes<NodeSnapshot>(*found.bytes);
    if (read.has_value())
        store->loaded_ = std::move(read.value());
    else
        log_line("known_state_unreadable", {{"remedy", "the state is fetched again from the other nodes"}});
    return store;
}

SnapshotStore::SnapshotStore(transport::Reactor& reactor, std::unique_ptr<StateFile> file,
                             std::function<NodeSnapshot()> collect)
    : reactor_(reactor), collect_(std::move(collect)), file_(std::move(file)) {}

SnapshotStore::~SnapshotStore() { reactor_.cancel(timer_); }

void SnapshotStore::changed() {
    ++change_;
    schedule_write(kWriteDelay);
}

void SnapshotStore::make_durable(std::function<void(bool)> done) {
    if (durable_change_ == change_) return done(true);
    waiters_.push_back({change_, std::move(done)});
    schedule_write(kUrgentWriteDelay);
}

// Keeps an earlier scheduled write.
void SnapshotStore::schedule_write(Ticks delay) {
    const Ticks at = reactor_.now() + delay;
    if (writing_ || (scheduled_ && scheduled_at_ <= at)) return;
    reactor_.cancel(timer_);
    scheduled_ = true, scheduled_at_ = at;
    timer_ = reactor_.call_at(at, [this] { write(); });
}

void SnapshotStore::write() {
    scheduled_ = false, writing_ = true;
    file_->save(wire::to_bytes(collect_()),
                [this, change = change_](const Result<void>& result) { write_done(result, change); });
}

void SnapshotStore::write_done(const Result<void>& result, std::uint64_t change) {
    writing_ = false;
    if (result.has_error())
        log_line("known_state_not_stored", {{"cause", result.error().message}});
    else
        durable_change_ = change;
    std::vector<Waiter> completed;
    const auto first_later = std::ranges::stable_partition(
        waiters_, [change](const Waiter& waiter) { return waiter.change <= change; });
    completed.assign(std::make_move_iterator(waiters_.begin()), std::make_move_iterator(first_later.begin()));
    waiters_.erase(waiters_.begin(), first_later.begin());
    if (!waiters_.empty())
        schedule_write(kUrgentWriteDelay);
    else if (result.has_error())
        schedule_write(kRetryDelay);
    else if (durable_change_ != change_)
        schedule_write(kWriteDelay);
    for (const Waiter& waiter : completed) waiter.done(result.has_value());
}

} // namespace ivyrill::control
