// A state file on a real disk, with a thread that waits for the disk so that nothing else does.
#pragma once
#include "control/state_file.hpp"
#include "storage/version_store.hpp"
#include "transport/reactor.hpp"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace ivyrill::control {

class DiskStateFile : public StateFile {
  public:
    DiskStateFile(transport::Reactor& reactor, storage::VersionStore store);
    ~DiskStateFile() override; // waits for the write under way
    Result<Loaded> load() override;
    void save(std::string bytes, std::function<void(Result<void>)> done) override;

  private:
    struct Job {
        std::string bytes;
        std::function<void(Result<void>)> done;
    };
    void work();

    transport::Reactor& reactor_;
    storage::VersionStore store_; // after `load`: used by the thread alone
    std::uint64_t number_ = 0;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<Job> jobs_;
    bool ending_ = false;
    std::thread thread_;
};

} // namespace ivyrill::control
