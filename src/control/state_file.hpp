// Interface to one durable value of a control node: files in the programs, a simulated disk in tests.
#pragma once
#include "base/result.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace ivyrill::control {

class StateFile {
  public:
    struct Loaded {
        std::optional<std::string> bytes; // of the newest valid version; none on an empty disk
        // The disk has lost a newer version that was durable, and with it state that this member may have
        // acknowledged.
        bool newest_is_corrupt = false;
    };
    StateFile() = default;
    virtual ~StateFile() = default;
    StateFile(const StateFile&) = delete;
    StateFile& operator=(const StateFile&) = delete;

    virtual Result<Loaded> load() = 0; // blocks; call it once, before any `save`
    // Writes are executed one after the other. `done` is called in a later turn of the event loop, with
    // success once the value survives a power failure.
    virtual void save(std::string bytes, std::function<void(Result<void>)> done) = 0;
};

// Opens the state file of the given kind, e.g. `state`.
using OpenStateFile = std::function<std::unique_ptr<StateFile>(const std::string& kind)>;

} // namespace ivyrill::control
