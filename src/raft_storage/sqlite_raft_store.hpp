// RaftStore in one SQLite file: each call is one transaction, synced before it returns. A witness file, best
// kept in a memory-backed folder that survives a restart of the process but not of the machine, holds the
// number of the last write: if both agree at a start, the file is the one that this machine wrote last and
// not a restored copy.
#pragma once
#include "maintenance/raft_store.hpp"

#include <memory>
#include <string>

struct sqlite3;
struct sqlite3_stmt;

namespace ivyrill::raft_storage {

class SqliteRaftStore : public maintenance::RaftStore {
  public:
    // Throws RaftStoreError if the file cannot be used. Without a witness file the store is never verified.
    // `max_pages` limits the size of the file; 0: unlimited.
    explicit SqliteRaftStore(const std::string& file, std::string witness_file = {}, int max_pages = 0);
    ~SqliteRaftStore() override;
    SqliteRaftStore(const SqliteRaftStore&) = delete;
    SqliteRaftStore& operator=(const SqliteRaftStore&) = delete;

    maintenance::StoredState load() override;
    void set_term(std::uint64_t term) override;
    void set_vote(std::uint64_t vote) override;
    void append(std::uint64_t first, const std::vector<maintenance::LogEntry>& entries) override;
    void truncate(std::uint64_t from) override;
    void put_snapshot(const maintenance::StoredSnapshot& snapshot, std::uint64_t trailing) override;
    void clear() override;
    bool is_verified() const override { return verified_; }
    void mark_verified() override;
    maintenance::VoterIncarnation incarnation() override;
    void set_incarnation(maintenance::VoterIncarnation incarnation) override;
    std::vector<std::string> voters() override;
    void set_voters(const std::vector<std::string>& names) override;
    std::map<std::string, maintenance::VoterIncarnation> known_incarnations() override;
    void record_incarnation(const std::string& name, maintenance::VoterIncarnation incarnation) override;

    // Incarnation of this node in the membership protocol; increases at each start.
    std::uint64_t next_member_incarnation();
    std::uint64_t write_count() const { return write_count_; }

  private:
    class Statement;
    template <class Body> void write(Body&& body); // in one transaction
    void run(const char* sql);
    std::uint64_t number(const char* name);
    void set_number(const char* name, std::uint64_t value);
    void write_witness() const;

    sqlite3* database_ = nullptr;
    std::string witness_file_;
    std::uint64_t write_count_ = 0;
    bool verified_ = false, marked_verified_ = false;
};

} // namespace ivyrill::raft_storage
