// Snapshot of a control node's state on its disk: the newest configuration known to be committed, and the
// server records. With it, a fleet serves again after a power failure before all servers have sent a
// heartbeat. The configuration in it is only an initial value, replaced by that of the consensus group. For
// servers that leave, the snapshot is the only durable record, so their acknowledgement waits for it.
#pragma once
#include "base/result.hpp"
#include "control/state_file.hpp"
#include "model/instance.hpp"
#include "transport/reactor.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

namespace ivyrill::control {

struct NodeSnapshot {
    std::int64_t version = 0; // 0: no configuration
    std::string body;         // as the operator sent it
    std::vector<model::Instance> instances;
    template <class Self> static auto tie(Self& s) { return std::tie(s.version, s.body, s.instances); }
};

class SnapshotStore {
  public:
    // `collect` returns the state to write; called when a write begins.
    static Result<std::unique_ptr<SnapshotStore>>
    open(transport::Reactor& reactor, std::unique_ptr<StateFile> file, std::function<NodeSnapshot()> collect);
    ~SnapshotStore();
    const NodeSnapshot& loaded() const { return loaded_; } // as loaded at the start; empty on a new disk
    bool is_corrupt() const { return file_is_corrupt_; }   // the disk has lost a durable version
    void changed(); // schedules a write; changes in quick succession are written together
    // Calls `done` with whether the state at the time of this call is durable: at once if it already is, else
    // after a write that contains it, which starts with little delay.
    void make_durable(std::function<void(bool)> done);

  private:
    struct Waiter {
        std::uint64_t change = 0; // the newest change that has to be durable
        std::function<void(bool)> done;
    };
    SnapshotStore(transport::Reactor& reactor, std::unique_ptr<StateFile> file,
                  std::function<NodeSnapshot()> collect);
    void schedule_write(Ticks delay);
    void write();
    void write_done(const Result<void>& result, std::uint64_t change);

    transport::Reactor& reactor_;
    std::function<NodeSnapshot()> collect_;
    NodeSnapshot loaded_;
    bool file_is_corrupt_ = false;
    std::unique_ptr<StateFile> file_;
    std::uint64_t change_ = 0, durable_change_ = 0; // counted from the start
    std::vector<Waiter> waiters_;
    bool scheduled_ = false, writing_ = false;
    Ticks scheduled_at_ = 0;
    transport::Reactor::TimerId timer_{};
};

} // namespace ivyrill::control
