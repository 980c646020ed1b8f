// Membership and failure detection by SWIM (A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent
// Infection-style Process Group Membership Protocol", DSN 2002), with Lifeguard's extensions for members that
// are slow themselves (A. Dadgar, J. Phillips, J. Currey, 2018). Free of I/O: takes received datagrams and
// the time, returns datagrams to send and state changes. Each member probes one other per interval, so its
// traffic does not grow with the group; updates are piggybacked on the probes. Times are tenths of a
// millisecond.
#pragma once
#include "base/pcg.hpp"
#include "base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace ivyrill::membership {

// Only the member itself raises its incarnation: at each start and to refute an update.
using Incarnation = std::uint64_t;

enum class MemberState { kAlive, kSuspect, kFailed, kLeft };

// State of a member as announced by any member; the higher incarnation wins, then the worse state.
struct MemberUpdate {
    std::string name, address;
    Incarnation incarnation = 0;
    MemberState state = MemberState::kAlive;
};

enum class DatagramKind { kPing, kAck, kPingRequest }; // kPingRequest: an indirect probe
struct Datagram {
    DatagramKind kind = DatagramKind::kPing;
    std::string from, address; // of the sender
    std::uint64_t serial = 0;  // of the probe; its acknowledgement repeats it
    std::string target;        // kPingRequest: member to probe; kAck: member that is alive
    std::vector<MemberUpdate> updates;
};

struct SendDatagram {
    std::string address;
    Datagram datagram;
};
struct MemberChanged {
    std::string name;
    MemberState state = MemberState::kAlive;
    Incarnation incarnation = 0;
};
using Effect = std::variant<SendDatagram, MemberChanged>;

struct MemberListOptions {
    std::string name, address;
    std::vector<std::string> peers; // addresses from the operator's file, may contain the own one
    Incarnation incarnation = 1;    // larger at each start: from the store, else from the clock
    std::uint64_t seed = 0;
    Ticks probe_interval = kTicksPerSecond; // between two probes
    Ticks probe_timeout = kTicksPerSecond / 5;
    int indirect_probes = 3; // members asked to probe in place of this one
    // Suspicion timeout in probe intervals, and sends of an update, each times log10 of the group size.
    double suspicion_factor = 4;
    double dissemination_factor = 4;
    std::size_t max_updates = 8;    // per datagram
    std::size_t max_members = 1000; // known members, including absent ones
};

struct MemberListCounts {
    std::uint64_t sent = 0, received = 0, probes = 0, indirect_probes = 0, suspected = 0, refuted = 0,
                  stalls = 0, table_full = 0,
                  name_conflicts = 0; // another member uses this one's name
};

class MemberList {
  public:
    MemberList(MemberListOptions options, Ticks now);

    std::vector<Effect> receive(Ticks now, const Datagram& datagram);
    std::vector<Effect> step(Ticks now);  // does what is due
    std::vector<Effect> leave(Ticks now); // announces the departure; no further use afterwards
    Ticks next_step() const;              // when to step again

    // Members alive or suspected, including this one.
    std::size_t present_count() const;
    MemberState state_of(const std::string& name) const; // kFailed for an unknown name
    Incarnation incarnation() const { return incarnation_; }
    struct MemberInfo {
        std::string name, address;
        MemberState state = MemberState::kAlive;
        Ticks since = 0;
    };
    std::vector<MemberInfo> members() const; // all others, by name
    const std::string* address_of(const std::string& name) const;
    // Lifeguard's local health: 0 is healthy; higher while acknowledgements are missed, which extends
    // timeouts.
    int health_score() const { return health_score_; }
    const MemberListCounts& counts() const { return counts_; }

  private:
    struct Member {
        std::string address;
        Incarnation incarnation = 0;
        MemberState state = MemberState::kAlive;
        Ticks since = 0, suspicion_ends_at = 0; // the latter while suspected
    };
    struct QueuedUpdate {
        MemberUpdate update;
        int sends = 0;
    };
    struct Probe { // at most one at a time
        std::string target;
        std::uint64_t serial = 0;
        Ticks indirect_at = 0, expires_at = 0;
        bool indirect_sent = false;
    };
    struct RelayedProbe { // made for another member
        std::string requester, target;
        std::uint64_t serial = 0;
        Ticks expires_at = 0;
    };

    void apply_update(const MemberUpdate& update);
    void refute(Incarnation above);
    void queue_update(const MemberUpdate& update);
    void set_state(const std::string& name, Member& member, MemberState state, Incarnation incarnation);
    void send(const std::string& address, Datagram datagram);
    std::string take_random(std::vector<std::string>& names);
    void start_probe();
    void contact_absent_member();
    void recover_from_stall(Ticks delay);
    void raise_health_score(int by);
    void evict_absent_member();
    double log_size() const;
    Ticks suspicion_timeout() const;
    MemberUpdate own_update() const {
        return {options_.name, options_.address, incarnation_, MemberState::kAlive};
    }

    MemberListOptions options_;
    Pcg rng_;
    Ticks now_ = 0, next_probe_at_ = 0, next_contact_at_ = 0;
    Incarnation incarnation_;
    std::map<std::string, Member> members_;              // the others
    std::map<std::string, QueuedUpdate> queued_updates_; // by the member they describe
    std::vector<std::string> probe_order_;               // of the current round, from the back
    std::string last_in_turn_;                           // member sent last to fill a datagram
    std::map<std::uint64_t, RelayedProbe> relayed_probes_;
    Probe probe_;
    std::uint64_t next_serial_ = 1;
    int health_score_ = 0;
    bool left_ = false;
    MemberListCounts counts_;
    std::vector<Effect> effects_;
};

} // namespace ivyrill::membership
