// Entries, durable state and messages of a consensus group. A group replicates a single value, always in full
// (Raft's log compacted to its last entry): each new entry replaces the previous one, so a member that is
// behind needs only the newest entry. Terms, votes and commitment follow Raft (Ongaro and Ousterhout, USENIX
// ATC 2014), membership changes its joint consensus, elections its pre-vote.
#pragma once
#include "base/ids.hpp"
#include "base/time.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace ivyrill::consensus {

// Identifies a disk, not a machine: drawn at random when a member starts on an empty disk, so that a wiped
// member can't vote under its former identity after losing the votes it has already cast.
using MemberId = Id<struct ConsensusMemberTag, std::uint64_t>;

struct Member {
    MemberId id;
    std::string address; // for connections from its peers
    std::string zone;
    template <class Self> static auto tie(Self& s) { return std::tie(s.id, s.address, s.zone); }
    friend bool operator==(const Member&, const Member&) = default;
};

// Orders entries: by term, then by index.
struct Stamp {
    std::uint64_t term = 0, index = 0;
    template <class Self> static auto tie(Self& s) { return std::tie(s.term, s.index); }
    friend auto operator<=>(const Stamp&, const Stamp&) = default;
};

struct Entry {
    Stamp stamp;
    std::vector<Member> voters;
    std::vector<Member> former_voters; // not empty during a membership change: both majorities are needed
    std::string payload;               // the whole replicated value; opaque to the group
    template <class Self> static auto tie(Self& s) {
        return std::tie(s.stamp, s.voters, s.former_voters, s.payload);
    }
    friend bool operator==(const Entry&, const Entry&) = default;
};

// What a member must preserve across a crash or a power failure.
struct DurableState {
    std::uint64_t term = 0;
    std::optional<MemberId> voted_for; // in that term
    std::optional<Entry> entry;        // the newest accepted, committed or not
    template <class Self> static auto tie(Self& s) { return std::tie(s.term, s.voted_for, s.entry); }
};

struct VoteRequest {
    std::uint64_t term = 0;
    Stamp newest;          // of the candidate's entry
    bool pre_vote = false; // asks whether a vote would be granted; changes no state
    template <class Self> static auto tie(Self& s) { return std::tie(s.term, s.newest, s.pre_vote); }
};

struct VoteReply {
    std::uint64_t term = 0;
    bool granted = false, pre_vote = false;
    template <class Self> static auto tie(Self& s) { return std::tie(s.term, s.granted, s.pre_vote); }
};

// When a process of a member sent a message, by that process's own clock. A message that echoes the token was
// sent after that time, however long it was in transit.
struct ContactToken {
    std::uint64_t process = 0;
    std::int64_t at = 0;
    template <class Self> static auto tie(Self& s) { return std::tie(s.process, s.at); }
    friend bool operator==(const ContactToken&, const ContactToken&) = default;
};

// A heartbeat, with the newest entry where the receiver lacks it.
struct Append {
    std::uint64_t term = 0;
    std::uint64_t round = 0; // number of the leader's heartbeat; a reply to it proves leadership since then
    Stamp newest, committed;
    std::optional<Entry> entry;
    std::optional<ContactToken> echo; // derived from the newest token that the receiver has sent
    template <class Self> static auto tie(Self& s) {
        return std::tie(s.term, s.round, s.newest, s.committed, s.entry, s.echo);
    }
};

struct AppendReply {
    std::uint64_t term = 0;
    std::uint64_t round = 0;
    Stamp stored; // the newest entry that is durable at the sender
    ContactToken token;
    template <class Self> static auto tie(Self& s) { return std::tie(s.term, s.round, s.stored, s.token); }
};

// Sent by a resigning leader to an up-to-date voter, which then starts an election at once.
struct TimeoutNow {
    std::uint64_t term = 0;
    template <class Self> static auto tie(Self& s) { return std::tie(s.term); }
};

using Body = std::variant<VoteRequest, VoteReply, Append, AppendReply, TimeoutNow>;

struct Message {
    MemberId from, to; // ids: a message to a disk that was replaced must not reach its successor
    Body body;
    template <class Self> static auto tie(Self& s) { return std::tie(s.from, s.to, s.body); }
};

} // namespace ivyrill::consensus
