#include "control/node_snapshot.hpp"

#include "base/log.hpp"
#include "wire/cbor.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace ivyrill::control {

namespace {

constexpr Tenths kGather = 500;        // changes within it are written together
constexpr Tenths kUrgentGather = 20;   // ... where somebody waits for them
constexpr Tenths kRetryPause = 10'000; // after a disk that refused

} // namespace

Result<std::unique_ptr<SnapshotStore>> SnapshotStore::open(transport::Reactor& reactor,
                                                           std::unique_ptr<StateFile> file,
                                                           std::function<NodeSnapshot()> collect) {
    std::unique_ptr<SnapshotStore> keeper(new SnapshotStore(reactor, std::move(file), std::move(collect)));
    BOOST_OUTCOME_TRY(found, keeper->disk_->load());
    keeper->corrupt_ = found.newest_is_corrupt;
    if (!found.bytes) return keeper;
    auto read = wire::from_bytes<NodeSnapshot>(*found.bytes);
    if (read.has_value())
        keeper->loaded_ = std::move(read.value());
    else
        log_line("known_state_unreadable", {{"remedy", "it is learnt anew from the other nodes"}});
    return keeper;
}

SnapshotStore::SnapshotStore(transport::Reactor& reactor, std::unique_ptr<StateFile> file,
                             std::function<NodeSnapshot()> collect)
    : reactor_(reactor), collect_(std::move(collect)), disk_(std::move(file)) {}

SnapshotStore::~SnapshotStore() { reactor_.cancel(timer_); }

void SnapshotStore::changed() {
    ++change_;
    write_after(kGather);
}

void SnapshotStore::make_durable(std::function<void(bool)> done) {
    if (durable_change_ == change_) return done(true);
    waiting_.push_back({change_, std::move(done)});
    write_after(kUrgentGather);
}

// No later than what is planned already.
void SnapshotStore::write_after(Tenths pause) {
    const Tenths at = reactor_.now() + pause;
    if (writing_ || (planned_ && planned_at_ <= at)) return;
    reactor_.cancel(timer_);
    planned_ = true, planned_at_ = at;
    timer_ = reactor_.call_at(at, [this] { write(); });
}

void SnapshotStore::write() {
    planned_ = false, writing_ = true;
    disk_->save(wire::to_bytes(collect_()),
                [this, change = change_](const Result<void>& result) { written(result, change); });
}

void SnapshotStore::written(const Result<void>& result, std::uint64_t change) {
    writing_ = false;
    if (result.has_error())
        log_line("known_state_not_stored", {{"cause", result.error().message}});
    else
        durable_change_ = change;
    std::vector<Waiting> told;
    const auto first_later = std::ranges::stable_partition(
        waiting_, [change](const Waiting& waiting) { return waiting.change <= change; });
    told.assign(std::make_move_iterator(waiting_.begin()), std::make_move_iterator(first_later.begin()));
    waiting_.erase(waiting_.begin(), first_later.begin());
    if (!waiting_.empty())
        write_after(kUrgentGather);
    else if (result.has_error())
        write_after(kRetryPause);
    else if (durable_change_ != change_)
        write_after(kGather);
    for (const Waiting& waiting : told) waiting.done(result.has_value());
}

} // namespace ivyrill::control
