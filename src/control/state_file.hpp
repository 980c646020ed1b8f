// One durable value of a control node, behind an interface: files in the programs, a simulated disk in tests.
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
        std::optional<std::string> bytes; // of the newest version that is whole; none on an empty disk
        // What was once durable here can't be read any more: the disk has lost what this member promised.
        bool newest_is_corrupt = false;
    };
    StateFile() = default;
    virtual ~StateFile() = default;
    StateFile(const StateFile&) = delete;
    StateFile& operator=(const StateFile&) = delete;

    virtual Result<Loaded> load() = 0; // once, before any `save`; blocks
    // Writes are carried out one after the other; each is answered in a later turn of the event loop, with
    // success once it survives a loss of power.
    virtual void save(std::string bytes, std::function<void(Result<void>)> done) = 0;
};

// Opens the value of a kind, e.g. `state`.
using OpenStateFile = std::function<std::unique_ptr<StateFile>(const std::string& kind)>;

} // namespace ivyrill::control
