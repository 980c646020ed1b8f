#include "control/disk_state_file.hpp"

#include <utility>

namespace ivyrill::control {

DiskStateFile::DiskStateFile(transport::Reactor& reactor, storage::VersionStore store)
    : reactor_(reactor), store_(std::move(store)) {}

DiskStateFile::~DiskStateFile() {
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    wakeup_.notify_one();
    if (thread_.joinable()) thread_.join();
}

Result<StateFile::Loaded> DiskStateFile::load() {
    BOOST_OUTCOME_TRY(found, store_.load());
    Loaded loaded;
    loaded.newest_is_corrupt = store_.corrupt_files() > 0;
    version_ = store_.highest_number();
    if (found) loaded.bytes = std::move(found->bytes);
    thread_ = std::thread([this] { run_writer(); });
    return loaded;
}

void DiskStateFile::save(std::string bytes, std::function<void(Result<void>)> done) {
    {
        const std::lock_guard lock(mutex_);
        jobs_.push_back({std::move(bytes), std::move(done)});
    }
    wakeup_.notify_one();
}

void DiskStateFile::run_writer() {
    for (;;) {
        Job job;
        {
            std::unique_lock lock(mutex_);
            wakeup_.wait(lock, [this] { return stopping_ || !jobs_.empty(); });
            if (stopping_) return;
            job = std::move(jobs_.front());
            jobs_.pop_front();
        }
        Result<void> result = store_.save(++version_, job.bytes);
        reactor_.post([done = std::move(job.done), result = std::move(result)] { done(result); });
    }
}

} // namespace ivyrill::control
