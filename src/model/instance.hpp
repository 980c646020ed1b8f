// A model server as its own heartbeats describe it, its load as it reports it, and the nodes of the system
// itself.
#pragma once
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace ivyrill::model {

enum class Stage : std::uint8_t { kNone, kPrefill, kDecode };
constexpr Stage last_of(Stage) { return Stage::kDecode; }

// What ranks higher wins between two records of one instance with the same sequence number.
enum class InstanceState : std::uint8_t {
    kServing,
    kSilent,   // no heartbeat for longer than it should be; used where nothing else is there
    kDraining, // asked for no more requests
    kGone      // left, or silent for so long that its address may be another's
};
constexpr InstanceState last_of(InstanceState) { return InstanceState::kGone; }

// The revision of an instance that said itself that it leaves: nothing supersedes it.
inline constexpr std::uint64_t kFinalRevision = INT64_MAX;

struct ServedModel {
    std::string name;
    std::int64_t version = 0;
    template <class Self> static auto tie(Self& s) { return std::tie(s.name, s.version); }
    friend bool operator==(const ServedModel&, const ServedModel&) = default;
};

struct Instance {
    std::string id, service, address, zone, software_version;
    std::int64_t slots = 1;
    InstanceState state = InstanceState::kServing;
    Stage stage = Stage::kNone;
    std::vector<ServedModel> models;
    // The sequence number of the heartbeat that last changed anything above; orders records of one instance.
    std::uint64_t revision = 0;
    template <class Self> static auto tie(Self& s) {
        return std::tie(s.id, s.service, s.address, s.zone, s.software_version, s.slots, s.state, s.stage,
                        s.models, s.revision);
    }
    friend bool operator==(const Instance&, const Instance&) = default;
    bool may_be_sent_to() const {
        return state == InstanceState::kServing || state == InstanceState::kSilent;
    }
};

// Whether `fresh` replaces `known` (of the same id).
inline bool supersedes(const Instance& fresh, const Instance& known) {
    if (fresh.revision != known.revision) return fresh.revision > known.revision;
    return fresh.state > known.state;
}

// From one `GET /report`, as one node read it for all.
struct Load {
    std::string instance;
    std::int64_t waiting = 0, running = 0, memory_used = 0, memory_total = 0; // requests; tokens
    std::uint64_t sequence = 0; // of the reader; a later one replaces an earlier one
    template <class Self> static auto tie(Self& s) {
        return std::tie(s.instance, s.waiting, s.running, s.memory_used, s.memory_total, s.sequence);
    }
    friend bool operator==(const Load&, const Load&) = default;
};

// An edge node, a member while its session with a control node stands.
struct EdgeNode {
    std::string name, zone, address;
    std::uint64_t incarnation = 0; // of its agent process
    template <class Self> static auto tie(Self& s) {
        return std::tie(s.name, s.zone, s.address, s.incarnation);
    }
    friend auto operator<=>(const EdgeNode&, const EdgeNode&) = default;
};

// A control node, by the address that its peers and the agents reach it at.
struct ControlNode {
    std::string address, zone;
    std::uint64_t member = 0; // identity of its disk
    template <class Self> static auto tie(Self& s) { return std::tie(s.address, s.zone, s.member); }
    friend auto operator<=>(const ControlNode&, const ControlNode&) = default;
};

} // namespace ivyrill::model
