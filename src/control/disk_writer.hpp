// The thread that waits for the disk, so that nothing else does. Writes are carried out one after the other;
// each is answered in a turn of the event loop.
#pragma once
#include "base/result.hpp"
#include "storage/version_store.hpp"
#include "transport/reactor.hpp"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace ivyrill::control {

class DiskWriter {
  public:
    DiskWriter(transport::Reactor& reactor, storage::VersionStore store, std::uint64_t last_number);
    ~DiskWriter(); // waits for the write under way
    void save(std::string bytes, std::function<void(Result<void>)> done);

  private:
    struct Job {
        std::string bytes;
        std::function<void(Result<void>)> done;
    };
    void work();

    transport::Reactor& reactor_;
    storage::VersionStore store_; // used by the thread alone
    std::uint64_t number_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<Job> jobs_;
    bool ending_ = false;
    std::thread thread_;
};

} // namespace ivyrill::control
