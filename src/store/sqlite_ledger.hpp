// A voter's ledger in one SQLite file: each call is one transaction, synced before it returns. Beside it,
// best in a folder of memory that outlives the process and not the machine's start (`witness`), stands the
// number of the last write: where both agree at a start, the file is the one that this machine wrote last,
// and not a copy that somebody has put back.
#pragma once
#include "rota/ledger.hpp"

#include <memory>
#include <string>

struct sqlite3;
struct sqlite3_stmt;

namespace ivyrill::store {

class SqliteLedger : public rota::Ledger {
  public:
    // Throws LedgerError where the file cannot be used at all. An empty witness: nothing vouches.
    // `most_pages` bounds the file, 0: not at all.
    explicit SqliteLedger(const std::string& file, std::string witness = {}, int most_pages = 0);
    ~SqliteLedger() override;
    SqliteLedger(const SqliteLedger&) = delete;
    SqliteLedger& operator=(const SqliteLedger&) = delete;

    rota::LedgerKept load() override;
    void set_term(std::uint64_t term) override;
    void set_vote(std::uint64_t vote) override;
    void append(std::uint64_t first, const std::vector<rota::LogEntry>& entries) override;
    void truncate(std::uint64_t from) override;
    void put_snapshot(const rota::SnapshotKept& snapshot, std::uint64_t trailing) override;
    void clear() override;
    bool proven() const override { return proven_; }
    void vouch() override;
    rota::Life life() override;
    void set_life(rota::Life life) override;
    std::vector<std::string> voters() override;
    void set_voters(const std::vector<std::string>& names) override;
    std::map<std::string, rota::Life> lives() override;
    void remember(const std::string& name, rota::Life life) override;

    // Of the member that lives here, raised at each start.
    std::uint64_t next_incarnation();
    std::uint64_t writes() const { return writes_; }

  private:
    class Statement;
    template <class Body> void write(Body&& body); // one transaction, all or nothing
    void run(const char* words);
    std::uint64_t number(const char* name);
    void set_number(const char* name, std::uint64_t value);
    void bear_witness() const;

    sqlite3* base_ = nullptr;
    std::string witness_;
    std::uint64_t writes_ = 0;
    bool proven_ = false, vouched_ = false;
};

} // namespace ivyrill::store
