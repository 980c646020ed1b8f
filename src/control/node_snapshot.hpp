// What a control node knew when it ended, kept on its disk so that a fleet that lost power serves again
// before its servers have all called: the newest configuration that was committed for certain, and the
// servers. Of the configuration it is a head start, never the truth: the group's own value replaces it. Of
// servers that said that they leave it is the only durable record, which an acknowledgement waits for.
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
    // `collect` is asked for the state when a write begins.
    static Result<std::unique_ptr<SnapshotStore>>
    open(transport::Reactor& reactor, std::unique_ptr<StateFile> file, std::function<NodeSnapshot()> collect);
    ~SnapshotStore();
    const NodeSnapshot& loaded() const { return loaded_; } // as it was at the start; empty on a new disk
    bool is_corrupt() const { return corrupt_; }           // the disk has lost what was durable here
    void changed(); // something is to be written: soon, one write at a time, however often it is called
    // `done` is told whether all that was there when this was called is durable: at once where it is already,
    // else after a write that begins at once, or that is under way and holds it.
    void make_durable(std::function<void(bool)> done);

  private:
    struct Waiting {
        std::uint64_t change = 0; // the newest that has to be durable
        std::function<void(bool)> done;
    };
    SnapshotStore(transport::Reactor& reactor, std::unique_ptr<StateFile> file,
                  std::function<NodeSnapshot()> collect);
    void write_after(Tenths pause);
    void write();
    void written(const Result<void>& result, std::uint64_t change);

    transport::Reactor& reactor_;
    std::function<NodeSnapshot()> collect_;
    NodeSnapshot loaded_;
    bool corrupt_ = false;
    std::unique_ptr<StateFile> disk_;
    std::uint64_t change_ = 0, durable_change_ = 0; // counted from the start
    std::vector<Waiting> waiting_;
    bool planned_ = false, writing_ = false;
    Tenths planned_at_ = 0;
    transport::Reactor::TimerId timer_{};
};

} // namespace ivyrill::control
