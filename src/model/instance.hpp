// A model server as its own heartbeats describe it, its load as it reports it, and the nodes of the system
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
// As PROTOCOL names them; kNone for any other word.
constexpr Stage stage_from_name(std::string_view word) {
    if (word == "prefill") return Stage::kPrefill;
    return word == "decode" ? Stage::kDecode : Stage::kNone;
}
constexpr std::string_view name_of(Stage stage) {
    if (stage == Stage::kPrefill) return "prefill";
    return stage == Stage::kDecode ? "decode" : "";
}

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
    bool is_routable() const { return state == InstanceState::kServing || state == InstanceState::kSilent; }
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
    std::int64_t orders_accepted = 0; // since it started; its `callSeq`
    Stage stage = Stage::kNone;       // kNone: it did not say
    bool changing = false;            // an order is under way: what has not begun there is turned away
    template <class Self> static auto tie(Self& s) {
        return std::tie(s.instance, s.waiting, s.running, s.memory_used, s.memory_total, s.orders_accepted,
                        s.stage, s.changing);
    }
    friend bool operator==(const Load&, const Load&) = default;
};

// Whether `fresh` replaces `known` (of the same instance): a report from before an order that is known tells
// of a stage that was.
inline bool supersedes(const Load& fresh, const Load& known) {
    return fresh.orders_accepted >= known.orders_accepted;
}

// What the requests for one service asked for of late, as one edge node or several saw it.
struct ServiceDemand {
    std::string service;
    double requests = 0, rejected = 0; // a second; of them, as reading them would have taken too long
    double answers = 0;                // that are being made at this time
    double links_busy = 0;             // links between servers, kept busy by moves of prompts
    double links_required = 0;         // ... if every short answer's prompt were moved once
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
