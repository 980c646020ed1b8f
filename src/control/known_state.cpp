#include "control/known_state.hpp"

#include "base/log.hpp"
#include "wire/cbor.hpp"

#include <utility>

namespace ivyrill::control {

namespace {

constexpr Tenths kGather = 500;        // changes within it are written together
constexpr Tenths kRetryPause = 10'000; // after a disk that refused

} // namespace

Result<std::unique_ptr<KnownStateKeeper>> KnownStateKeeper::open(transport::Reactor& reactor,
                                                                 const std::string& folder,
                                                                 std::function<KnownState()> collect) {
    std::unique_ptr<KnownStateKeeper> keeper(new KnownStateKeeper(reactor, std::move(collect)));
    storage::VersionStore store(folder, "known");
    BOOST_OUTCOME_TRY(found, store.load());
    if (found) {
        auto read = wire::from_bytes<KnownState>(found->bytes);
        // It is a head start only: what can't be read is left out.
        if (read.has_value()) keeper->loaded_ = std::move(read.value());
    }
    keeper->disk_ = std::make_unique<DiskWriter>(reactor, std::move(store), found ? found->number : 0);
    return keeper;
}

KnownStateKeeper::KnownStateKeeper(transport::Reactor& reactor, std::function<KnownState()> collect)
    : reactor_(reactor), collect_(std::move(collect)) {}

KnownStateKeeper::~KnownStateKeeper() { reactor_.cancel(timer_); }

void KnownStateKeeper::changed() {
    dirty_ = true;
    if (waiting_ || writing_) return;
    waiting_ = true;
    timer_ = reactor_.call_after(kGather, [this] { write(); });
}

void KnownStateKeeper::write() {
    waiting_ = dirty_ = false;
    writing_ = true;
    disk_->save(wire::to_bytes(collect_()), [this](const Result<void>& done) {
        writing_ = false;
        if (done.has_error()) {
            log_line("known_state_not_stored", {{"cause", done.error().message}});
            waiting_ = true;
            timer_ = reactor_.call_after(kRetryPause, [this] { write(); });
        } else if (dirty_) {
            changed();
        }
    });
}

} // namespace ivyrill::control
