// What a control node knew when it ended, kept on its disk so that a fleet that lost power serves again
// before its servers have all called: the newest configuration that was committed for certain, and the
// servers. It is a head start, never the truth: the group's own value and the servers' heartbeats replace it
// as they come.
#pragma once
#include "base/result.hpp"
#include "control/disk_writer.hpp"
#include "model/instance.hpp"
#include "transport/reactor.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

namespace ivyrill::control {

struct KnownState {
    std::int64_t version = 0; // 0: no configuration
    std::string body;         // as the operator sent it
    std::vector<model::Instance> instances;
    template <class Self> static auto tie(Self& s) { return std::tie(s.version, s.body, s.instances); }
};

class KnownStateKeeper {
  public:
    // `collect` is asked for the state when a write begins.
    static Result<std::unique_ptr<KnownStateKeeper>>
    open(transport::Reactor& reactor, const std::string& folder, std::function<KnownState()> collect);
    ~KnownStateKeeper();
    const KnownState& loaded() const { return loaded_; } // as it was at the start; empty on a new disk
    void changed(); // something is to be written: soon, one write at a time, however often it is called

  private:
    KnownStateKeeper(transport::Reactor& reactor, std::function<KnownState()> collect);
    void write();

    transport::Reactor& reactor_;
    std::function<KnownState()> collect_;
    KnownState loaded_;
    std::unique_ptr<DiskWriter> disk_;
    bool waiting_ = false, writing_ = false, dirty_ = false;
    transport::Reactor::TimerId timer_{};
};

} // namespace ivyrill::control
