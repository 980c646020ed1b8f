// A state file on a real disk. Writes run on a thread of their own, so that the event loop never blocks on
// the disk.
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
    ~DiskStateFile() override; // waits for the write in progress
    Result<Loaded> load() override;
    void save(std::string bytes, std::function<void(Result<void>)> done) override;

  private:
    struct Job {
        std::string bytes;
        std::function<void(Result<void>)> done;
    };
    void run_writer();

    transport::Reactor& reactor_;
    storage::VersionStore store_; // used only by the thread once `load` has returned
    std::uint64_t version_ = 0;
    std::mutex mutex_;
    std::condition_variable wakeup_;
    std::deque<Job> jobs_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace ivyrill::control
