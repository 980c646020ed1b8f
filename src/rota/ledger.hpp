// What a voter must not forget: log, term, vote, snapshot, its own lives and those it has heard of. The rota
// asks for it through this interface; what is written is there after any crash once a call has returned. One
// that cannot write throws LedgerError, and has then written nothing of it.
#pragma once
#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace ivyrill::rota {

class LedgerError : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

struct LogEntry {
    std::uint64_t term = 0;
    int kind = 0; // the library's word
    std::string bytes;
};
struct SnapshotKept {
    std::uint64_t index = 0, term = 0, voters_index = 0;
    std::string voters, state; // the first in the library's own form
};
struct LedgerKept {
    std::uint64_t term = 0, vote = 0;
    std::optional<SnapshotKept> snapshot;
    std::uint64_t first = 1; // index of the first entry
    std::vector<LogEntry> entries;
};
struct Life {                           // of a voter's ledger: raised at each start
    std::uint64_t number = 0, mark = 0; // the latter is drawn anew each time
    std::uint64_t seat = 0;             // under which it votes: 0 of a founder's first ledger
    friend bool operator==(const Life&, const Life&) = default;
};

class Ledger {
  public:
    virtual ~Ledger() = default;
    virtual LedgerKept load() = 0;
    virtual void set_term(std::uint64_t term) = 0; // and nobody voted for
    virtual void set_vote(std::uint64_t vote) = 0;
    virtual void append(std::uint64_t first, const std::vector<LogEntry>& entries) = 0;
    virtual void truncate(std::uint64_t from) = 0; // that one and all behind it
    // All entries up to its index less `trailing` go; with 0 all go.
    virtual void put_snapshot(const SnapshotKept& snapshot, std::uint64_t trailing) = 0;
    virtual void clear() = 0; // the log, term, vote and snapshot; not the lives

    // Something beside the disk, that a restart of the process outlives, says that this is all that was
    // written.
    virtual bool proven() const = 0;
    virtual void vouch() = 0; // from here on: others have confirmed that nothing is missing from it
    virtual Life life() = 0;
    virtual void set_life(Life life) = 0;
    virtual std::vector<std::string> voters() = 0; // as last known here; empty: never
    virtual void set_voters(const std::vector<std::string>& names) = 0;
    virtual std::map<std::string, Life> lives() = 0; // of others
    virtual void remember(const std::string& name, Life life) = 0;
};

// In memory: for virtual time, where a test keeps it over a crash, or does not.
class LedgerInMemory : public Ledger {
  public:
    LedgerKept load() override { return kept_; }
    void set_term(std::uint64_t term) override {
        write();
        kept_.term = term, kept_.vote = 0;
    }
    void set_vote(std::uint64_t vote) override {
        write();
        kept_.vote = vote;
    }
    void append(std::uint64_t first, const std::vector<LogEntry>& entries) override {
        write();
        if (kept_.entries.empty()) kept_.first = first;
        kept_.entries.resize(first - kept_.first);
        kept_.entries.insert(kept_.entries.end(), entries.begin(), entries.end());
    }
    void truncate(std::uint64_t from) override {
        write();
        if (from < kept_.first + kept_.entries.size())
            kept_.entries.resize(from > kept_.first ? from - kept_.first : 0);
    }
    void put_snapshot(const SnapshotKept& snapshot, std::uint64_t trailing) override {
        write();
        kept_.snapshot = snapshot;
        const std::uint64_t keep_from =
            trailing == 0 || snapshot.index < trailing ? snapshot.index + 1 : snapshot.index - trailing + 1;
        if (trailing == 0) {
            kept_.entries.clear(), kept_.first = snapshot.index + 1;
            return;
        }
        if (snapshot.index < trailing || keep_from <= kept_.first) return;
        const std::uint64_t drop = std::min<std::uint64_t>(keep_from - kept_.first, kept_.entries.size());
        kept_.entries.erase(kept_.entries.begin(), kept_.entries.begin() + static_cast<std::ptrdiff_t>(drop));
        kept_.first = keep_from;
    }
    void clear() override {
        write();
        kept_ = {}, voters_.clear();
    }
    bool proven() const override { return witnessed; }
    void vouch() override { witnessed = true; }
    Life life() override { return life_; }
    void set_life(Life life) override {
        write();
        life_ = life;
    }
    std::vector<std::string> voters() override { return voters_; }
    void set_voters(const std::vector<std::string>& names) override {
        write();
        voters_ = names;
    }
    std::map<std::string, Life> lives() override { return lives_; }
    void remember(const std::string& name, Life life) override {
        write();
        lives_[name] = life;
    }
    void become(const LedgerInMemory& other) { // another disk in its place
        kept_ = other.kept_, life_ = other.life_, voters_ = other.voters_, lives_ = other.lives_;
        witnessed = other.witnessed;
    }
    bool full = false; // nothing more can be written
    bool witnessed = false;

  protected:
    void write() const {
        if (full) throw LedgerError("the disk is full");
    }
    LedgerKept kept_;
    Life life_;
    std::vector<std::string> voters_;
    std::map<std::string, Life> lives_;
};

} // namespace ivyrill::rota
