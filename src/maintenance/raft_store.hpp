// Persistent state of a voter: log, term, vote, snapshot, its own incarnation and those of other voters.
// Writes are durable once a call has returned. An implementation that cannot write throws RaftStoreError and
// has then written nothing.
#pragma once
#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace ivyrill::maintenance {

class RaftStoreError : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

struct LogEntry {
    std::uint64_t term = 0;
    int kind = 0; // entry type of libraft
    std::string bytes;
};
struct StoredSnapshot {
    std::uint64_t index = 0, term = 0, configuration_index = 0;
    std::string voters, state; // `voters` is the encoded raft_configuration
};
struct StoredState {
    std::uint64_t term = 0, vote = 0;
    std::optional<StoredSnapshot> snapshot;
    std::uint64_t first = 1; // log index of the first entry
    std::vector<LogEntry> entries;
};
struct VoterIncarnation {                // of a voter's store; changes at each start
    std::uint64_t number = 0, nonce = 0; // increases at each start; random at each start
    std::uint64_t identity = 0; // part of its Raft server id; 0 for the first store of an initial voter
    friend bool operator==(const VoterIncarnation&, const VoterIncarnation&) = default;
};

class RaftStore {
  public:
    virtual ~RaftStore() = default;
    virtual StoredState load() = 0;
    virtual void set_term(std::uint64_t term) = 0; // clears the vote
    virtual void set_vote(std::uint64_t vote) = 0;
    virtual void append(std::uint64_t first, const std::vector<LogEntry>& entries) = 0;
    virtual void truncate(std::uint64_t from) = 0; // that entry and all after it
    // Also deletes the entries up to the snapshot's index minus `trailing`; with 0 deletes all entries.
    virtual void put_snapshot(const StoredSnapshot& snapshot, std::uint64_t trailing) = 0;
    virtual void clear() = 0; // log, term, vote, snapshot and voters; keeps the incarnations

    // A witness outside of the disk, which survives a restart of the process, confirms that the store
    // contains everything that was written.
    virtual bool is_verified() const = 0;
    virtual void mark_verified() = 0; // from now on; peers have confirmed that nothing is missing
    virtual VoterIncarnation incarnation() = 0;
    virtual void set_incarnation(VoterIncarnation incarnation) = 0;
    virtual std::vector<std::string> voters() = 0; // as last stored; empty if never stored
    virtual void set_voters(const std::vector<std::string>& names) = 0;
    virtual std::map<std::string, VoterIncarnation> known_incarnations() = 0; // of other voters
    virtual void record_incarnation(const std::string& name, VoterIncarnation incarnation) = 0;
};

// In-memory store for simulations, which keep or drop it at a crash.
class InMemoryRaftStore : public RaftStore {
  public:
    StoredState load() override { return state_; }
    void set_term(std::uint64_t term) override {
        write();
        state_.term = term, state_.vote = 0;
    }
    void set_vote(std::uint64_t vote) override {
        write();
        state_.vote = vote;
    }
    void append(std::uint64_t first, const std::vector<LogEntry>& entries) override {
        write();
        if (state_.entries.empty()) state_.first = first;
        state_.entries.resize(first - state_.first);
        state_.entries.insert(state_.entries.end(), entries.begin(), entries.end());
    }
    void truncate(std::uint64_t from) override {
        write();
        if (from < state_.first + state_.entries.size())
            state_.entries.resize(from > state_.first ? from - state_.first : 0);
    }
    void put_snapshot(const StoredSnapshot& snapshot, std::uint64_t trailing) override {
        write();
        state_.snapshot = snapshot;
        const std::uint64_t keep_from =
            trailing == 0 || snapshot.index < trailing ? snapshot.index + 1 : snapshot.index - trailing + 1;
        if (trailing == 0) {
            state_.entries.clear(), state_.first = snapshot.index + 1;
            return;
        }
        if (snapshot.index < trailing || keep_from <= state_.first) return;
        const std::uint64_t drop = std::min<std::uint64_t>(keep_from - state_.first, state_.entries.size());
        state_.entries.erase(state_.entries.begin(),
                             state_.entries.begin() + static_cast<std::ptrdiff_t>(drop));
        state_.first = keep_from;
    }
    void clear() override {
        write();
        state_ = {}, voters_.clear();
    }
    bool is_verified() const override { return verified; }
    void mark_verified() override { verified = true; }
    VoterIncarnation incarnation() override { return incarnation_; }
    void set_incarnation(VoterIncarnation incarnation) override {
        write();
        incarnation_ = incarnation;
    }
    std::vector<std::string> voters() override { return voters_; }
    void set_voters(const std::vector<std::string>& names) override {
        write();
        voters_ = names;
    }
    std::map<std::string, VoterIncarnation> known_incarnations() override { return known_incarnations_; }
    void record_incarnation(const std::string& name, VoterIncarnation incarnation) override {
        write();
        known_incarnations_[name] = incarnation;
    }
    void copy_from(const InMemoryRaftStore& other) { // replaces the disk
        state_ = other.state_, incarnation_ = other.incarnation_, voters_ = other.voters_,
        known_incarnations_ = other.known_incarnations_;
        verified = other.verified;
    }
    bool disk_full = false; // all writes fail
    bool verified = false;

  protected:
    void write() const {
        if (disk_full) throw RaftStoreError("the disk is full");
    }
    StoredState state_;
    VoterIncarnation incarnation_;
    std::vector<std::string> voters_;
    std::map<std::string, VoterIncarnation> known_incarnations_;
};

} // namespace ivyrill::maintenance
