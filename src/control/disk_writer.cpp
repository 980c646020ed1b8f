#include "control/disk_writer.hpp"

#include <utility>

namespace ivyrill::control {

DiskWriter::DiskWriter(transport::Reactor& reactor, storage::VersionStore store, std::uint64_t last_number)
    : reactor_(reactor), store_(std::move(store)), number_(last_number), thread_([this] { work(); }) {}

DiskWriter::~DiskWriter() {
    {
        const std::lock_guard lock(mutex_);
        ending_ = true;
    }
    changed_.notify_one();
    thread_.join();
}

void DiskWriter::save(std::string bytes, std::function<void(Result<void>)> done) {
    {
        const std::lock_guard lock(mutex_);
        jobs_.push_back({std::move(bytes), std::move(done)});
    }
    changed_.notify_one();
}

void DiskWriter::work() {
    for (;;) {
        Job job;
        {
            std::unique_lock lock(mutex_);
            changed_.wait(lock, [this] { return ending_ || !jobs_.empty(); });
            if (ending_) return;
            job = std::move(jobs_.front());
            jobs_.pop_front();
        }
        Result<void> result = store_.save(++number_, job.bytes);
        reactor_.post([done = std::move(job.done), result = std::move(result)] { done(result); });
    }
}

} // namespace ivyrill::control
