// A model server as described by its heartbeats, its load as it reports it, and the nodes of the system
// itself.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace ivyrill::model {

enum class Stage : std::uint8_t { kNone, kPrefill, kDecode };
constexpr Stage last_of(Stage) { return Stage::kDecode; }
// Names as in PROTOCOL; kNone for any other text.
constexpr Stage stage_from_name(std::string_view name) {
    if (name == "prefill") return Stage::kPrefill;
    return name == "decode" ? Stage::kDecode : Stage::kNone;
}
constexpr std::string_view name_of(Stage stage) {
    if (stage == Stage::kPrefill) return "prefill";
    return stage == Stage::kDecode ? "decode" : "";
}

// Of two records of one instance with the same revision the one with the higher state wins.
enum class InstanceState : std::uint8_t {
    kServing,
    kSilent,   // heartbeat overdue; used only if there is no other instance
    kDraining, // must get no more requests
    kGone      // has left, or has been silent so long that its address may have been reused
};
constexpr InstanceState last_of(InstanceState) { return InstanceState::kGone; }

// Revision of an instance that announced its own departure: nothing supersedes it.
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
    // Sequence number of the heartbeat that last changed any field above; orders the records of one instance.
    std::uint64_t revision = 0;
    template <class Self> static auto tie(Self& s) {
        return std::tie(s.id, s.service, s.address, s.zone, s.software_version, s.slots, s.state, s.stage,
                        s.models, s.revision);
    }
    friend bool operator==(const Instance&, const Instance&) = default;
    bool is_routable() const { return state == InstanceState::kServing || state == InstanceState::kSilent; }
};

// Whether `candidate` replaces `current` (of the same id).
inline bool supersedes(const Instance& candidate, const Instance& current) {
    if (candidate.revision != current.revision) return candidate.revision > current.revision;
    return candidate.state > current.state;
}

// From one `GET /report`, polled by one node for all.
struct Load {
    std::string instance;
    std::int64_t waiting = 0, running = 0, memory_used = 0, memory_total = 0; // requests; tokens
    std::int64_t orders_accepted = 0; // since the server started; its `callSeq`
    Stage stage = Stage::kNone;       // kNone: not stated
    bool changing = false;            // an order is being executed; the server rejects new requests
    template <class Self> static auto tie(Self& s) {
        return std::tie(s.instance, s.waiting, s.running, s.memory_used, s.memory_total, s.orders_accepted,
                        s.stage, s.changing);
    }
    friend bool operator==(const Load&, const Load&) = default;
};

// Whether `candidate` replaces `current` (of the same instance). A report from before a known order shows an
// outdated stage.
inline bool supersedes(const Load& candidate, const Load& current) {
    return candidate.orders_accepted >= current.orders_accepted;
}

// Recent demand for one service, as seen by one edge node or summed over several.
struct ServiceDemand {
    std::string service;
    double requests = 0,
           rejected = 0;       // per second; of them, rejected because prefill would have taken too long
    double answers = 0;        // responses being generated at this time
    double links_busy = 0;     // links between servers kept busy by KV cache transfers
    double links_required = 0; // ... if the KV cache of every short response were transferred once
    template <class Self> static auto tie(Self& s) {
        return std::tie(s.service, s.requests, s.rejected, s.answers, s.links_busy, s.links_required);
    }
    friend bool operator==(const ServiceDemand&, const ServiceDemand&) = default;
    ServiceDemand& operator+=(const ServiceDemand& other) {
        requests += other.requests, rejected += other.rejected, answers += other.answers;
        links_busy += other.links_busy, links_required += other.links_required;
        return *this;
    }
};

// An edge node; a member while its session with a control node lasts.
struct EdgeNode {
    std::string name, zone, address;
    std::uint64_t incarnation = 0; // of its agent process
    template <class Self> static auto tie(Self& s) {
        return std::tie(s.name, s.zone, s.address, s.incarnation);
    }
    friend auto operator<=>(const EdgeNode&, const EdgeNode&) = default;
};

// A control node, by the address at which peers and agents reach it.
struct ControlNode {
    std::string address, zone;
    std::uint64_t member = 0; // identity of its disk
    template <class Self> static auto tie(Self& s) { return std::tie(s.address, s.zone, s.member); }
    friend auto operator<=>(const ControlNode&, const ControlNode&) = default;
};

} // namespace ivyrill::model
