// Who is there: SWIM (A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent Infection-style
// Process Group Membership Protocol", DSN 2002), with what Lifeguard adds for members that are slow
// themselves (A. Dadgar, J. Phillips, J. Currey, 2018). Free of I/O: a datagram heard or a time that has come
// goes in, datagrams to send and changes come out. Each member probes one other a gap, whatever the number of
// members, so its traffic does not grow with them; what it has heard travels on those probes. Times are
// tenths of a millisecond.
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

using Incarnation = std::uint64_t; // of a member: only it may raise it, at a start and to refute

enum class MemberState { kAlive, kSuspect, kFailed, kLeft };

struct MemberUpdate { // what somebody says of a member; of two, the one with the higher rank holds
    std::string name, address;
    Incarnation incarnation = 0;
    MemberState state = MemberState::kAlive;
};

enum class DatagramKind { kPing, kAck, kPingRequest }; // the last: ask that member in my place
struct Datagram {
    DatagramKind kind = DatagramKind::kPing;
    std::string from, address; // of the sender
    std::uint64_t serial = 0;  // of the probe; an answer brings it back
    std::string target;        // kPingRequest: its name. kAck: who is alive by it
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
    std::vector<std::string> peers; // addresses from the operator's file, our own may be among them
    Incarnation incarnation = 1;    // from the store, raised at each start; without one, from the clock
    std::uint64_t seed = 0;
    Tenths probe_interval = kTenthsPerSecond; // between our probes
    Tenths probe_timeout = kTenthsPerSecond / 5;
    int indirect_probes = 3; // asked to probe in our place
    double suspicion_factor =
        4; // times the probe gap and the logarithm of the number: until a suspect has failed
    double dissemination_factor = 4; // times that logarithm: how often a rumour goes out
    std::size_t max_updates = 8;     // rumours in a datagram
    std::size_t max_members = 1000;  // members known, the gone among them
};

struct MemberListCounts {
    std::uint64_t sent = 0, heard = 0, probes = 0, indirect_probes = 0, suspected = 0, refuted = 0,
                  stalls = 0, table_full = 0,
                  name_conflicts = 0; // another one bears our name
};

class MemberList {
  public:
    MemberList(MemberListOptions options, Tenths now);

    std::vector<Effect> receive(Tenths now, const Datagram& datagram);
    std::vector<Effect> step(Tenths now);  // what is due by now
    std::vector<Effect> leave(Tenths now); // tells some others; the roster is over afterwards
    Tenths next_step() const;              // when to step again

    // Those alive or only suspected, ourselves among them.
    std::size_t present_count() const;
    MemberState state_of(const std::string& name) const; // kFailed where it is not known
    Incarnation incarnation() const { return incarnation_; }
    struct MemberInfo {
        std::string name, address;
        MemberState state = MemberState::kAlive;
        Tenths since = 0;
    };
    std::vector<MemberInfo> members() const; // the others, by name
    const std::string* address_of(const std::string& name) const;
    int health_score() const {
        return ill_;
    } // 0: answers come; more: we are slow to hear, and patient with others
    const MemberListCounts& counts() const { return counts_; }

  private:
    struct Member {
        std::string address;
        Incarnation incarnation = 0;
        MemberState state = MemberState::kAlive;
        Tenths since = 0, fails_at = 0; // the latter while it is a suspect
    };
    struct Told {
        MemberUpdate update;
        int times = 0;
    };
    struct Probe { // ours, one at a time
        std::string target;
        std::uint64_t serial = 0;
        Tenths answer_by = 0, ends = 0;
        bool helped = false;
    };
    struct RelayedProbe { // a probe made for somebody else
        std::string asker, target;
        std::uint64_t serial = 0;
        Tenths ends = 0;
    };

    void take(const MemberUpdate& update);
    void refute(Incarnation above);
    void spread(const MemberUpdate& update);
    void set(const std::string& name, Member& member, MemberState state, Incarnation incarnation);
    void send(const std::string& address, Datagram datagram);
    std::string draw(std::vector<std::string>& names);
    void probe_next();
    void seek_peers();
    void forgive_stall(Tenths late);
    void fall_ill(int by);
    void forget_gone();
    double logarithm() const;
    Tenths suspicion_span() const;
    MemberUpdate word_on_us() const {
        return {options_.name, options_.address, incarnation_, MemberState::kAlive};
    }

    MemberListOptions options_;
    Pcg chance_;
    Tenths now_ = 0, probe_at_ = 0, seek_at_ = 0;
    Incarnation incarnation_;
    std::map<std::string, Member> members_; // the others
    std::map<std::string, Told> rumours_;   // by whom they are about
    std::vector<std::string> round_;        // still to be probed in this round, the last one first
    std::string told_last_;                 // of those told of in turn
    std::map<std::uint64_t, RelayedProbe> favours_;
    Probe probe_;
    std::uint64_t next_serial_ = 1;
    int ill_ = 0;
    bool over_ = false;
    MemberListCounts counts_;
    std::vector<Effect> effects_;
};

} // namespace ivyrill::membership
