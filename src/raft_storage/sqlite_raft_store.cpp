#include "raft_storage/sqlite_raft_store.hpp"

#include <fcntl.h>
#include <fstream>
#include <sqlite3.h>
#include <sys/file.h>
#include <unistd.h>
#include <utility>

namespace ivyrill::raft_storage {

using maintenance::RaftStoreError;
using maintenance::VoterIncarnation;

namespace {

constexpr const char* kSchema = R"(
create table if not exists number(name text primary key, value integer not null) without rowid;
create table if not exists entry(place integer primary key, term integer not null, kind integer not null, bytes blob not null);
create table if not exists snapshot(one integer primary key check(one = 1), place integer, term integer, voters_place integer, voters blob, state blob);
create table if not exists life(name text primary key, number integer, mark integer, seat integer) without rowid;
create table if not exists voter(name text primary key) without rowid;
)";

} // namespace

class SqliteRaftStore::Statement {
  public:
    Statement(sqlite3* database, const char* sql) : database_(database) {
        if (sqlite3_prepare_v2(database, sql, -1, &statement_, nullptr) != SQLITE_OK) fail();
    }
    ~Statement() { sqlite3_finalize(statement_); }
    Statement(const Statement&) = delete;
    Statement& operator=(const Statement&) = delete;
    Statement& bind(std::uint64_t value) {
        if (sqlite3_bind_int64(statement_, ++bound_, static_cast<sqlite3_int64>(value)) != SQLITE_OK) fail();
        return *this;
    }
    Statement& bind(const std::string& bytes, bool text = false) {
        const auto size = static_cast<int>(bytes.size());
        const int result =
            text ? sqlite3_bind_text(statement_, ++bound_, bytes.data(), size, SQLITE_TRANSIENT)
                 : sqlite3_bind_blob(statement_, ++bound_, bytes.data(), size, SQLITE_TRANSIENT);
        if (result != SQLITE_OK) fail();
        return *this;
    }
    bool next() {
        const int result = sqlite3_step(statement_);
        if (result == SQLITE_ROW) return true;
        if (result != SQLITE_DONE) fail();
        return false;
    }
    void reset() { sqlite3_reset(statement_), bound_ = 0; }
    std::uint64_t number(int column) {
        return static_cast<std::uint64_t>(sqlite3_column_int64(statement_, column));
    }
    std::string bytes(int column) {
        const void* data = sqlite3_column_blob(statement_, column);
        const int size = sqlite3_column_bytes(statement_, column);
        return data == nullptr ? std::string() : std::string(static_cast<const char*>(data), size);
    }

  private:
    [[noreturn]] void fail() const { throw RaftStoreError(sqlite3_errmsg(database_)); }
    sqlite3* database_;
    sqlite3_stmt* statement_ = nullptr;
    int bound_ = 0;
};

SqliteRaftStore::SqliteRaftStore(const std::string& file, std::string witness_file, int max_pages)
    : witness_file_(std::move(witness_file)) {
    if (sqlite3_open_v2(file.c_str(), &database_, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE, nullptr) !=
        SQLITE_OK) {
        const std::string reason = database_ != nullptr ? sqlite3_errmsg(database_) : "out of memory";
        sqlite3_close(database_);
        throw RaftStoreError(file + ": " + reason);
    }
    try {
        // Two processes on one store would each act as the same voter, so the lock is held until close.
        run("pragma locking_mode = exclusive");
        run("pragma journal_mode = delete");
        run("pragma synchronous = extra");
        if (max_pages > 0) run(("pragma max_page_count = " + std::to_string(max_pages)).c_str());
        run("begin immediate");
        run(kSchema);
        run("commit");
        Statement check(database_, "pragma quick_check(1)");
        if (!check.next() || check.bytes(0) != "ok") throw RaftStoreError(file + ": the database is corrupt");
        write_count_ = number("writes");
    } catch (const RaftStoreError&) {
        sqlite3_close(database_);
        throw;
    }
    if (witness_file_.empty()) return;
    std::ifstream witness(witness_file_);
    std::uint64_t witnessed_count = 0;
    verified_ = marked_verified_ =
        write_count_ > 0 && witness >> witnessed_count && witnessed_count == write_count_;
    // A restored copy must not become verified by its own later writes.
    if (!verified_) unlink(witness_file_.c_str());
}

void SqliteRaftStore::mark_verified() {
    marked_verified_ = true;
    write_witness();
}

SqliteRaftStore::~SqliteRaftStore() { sqlite3_close(database_); }

void SqliteRaftStore::run(const char* sql) {
    char* reason = nullptr;
    if (sqlite3_exec(database_, sql, nullptr, nullptr, &reason) == SQLITE_OK) return;
    const std::string text = reason != nullptr ? reason : "?";
    sqlite3_free(reason);
    throw RaftStoreError(text);
}

template <class Body> void SqliteRaftStore::write(Body&& body) {
    run("begin immediate");
    try {
        body();
        set_number("writes", write_count_ + 1);
        run("commit");
    } catch (const RaftStoreError&) {
        sqlite3_exec(database_, "rollback", nullptr, nullptr, nullptr);
        throw;
    }
    ++write_count_;
    if (marked_verified_) write_witness();
}

// Written in place: after a crash between the commit and this write the counts differ, and the store is not
// verified.
void SqliteRaftStore::write_witness() const {
    if (witness_file_.empty()) return;
    const int file = open(witness_file_.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0600);
    if (file < 0) return;
    const std::string text = std::to_string(write_count_) + "\n";
    if (pwrite(file, text.data(), text.size(), 0) < 0) unlink(witness_file_.c_str());
    close(file);
}

std::uint64_t SqliteRaftStore::number(const char* name) {
    Statement query(database_, "select value from number where name = ?");
    query.bind(std::string(name), true);
    return query.next() ? query.number(0) : 0;
}

void SqliteRaftStore::set_number(const char* name, std::uint64_t value) {
    Statement insert(database_, "insert or replace into number values(?, ?)");
    insert.bind(std::string(name), true).bind(value).next();
}

maintenance::StoredState SqliteRaftStore::load() {
    maintenance::StoredState stored;
    stored.term = number("term"), stored.vote = number("vote"),
    stored.first = std::max<std::uint64_t>(1, number("first"));
    Statement snapshot(database_, "select place, term, voters_place, voters, state from snapshot");
    if (snapshot.next())
        stored.snapshot = maintenance::StoredSnapshot{
            snapshot.number(0), snapshot.number(1), snapshot.number(2), snapshot.bytes(3), snapshot.bytes(4)};
    Statement entries(database_, "select place, term, kind, bytes from entry order by place");
    std::uint64_t index = stored.first;
    while (entries.next()) {
        if (entries.number(0) != index++) throw RaftStoreError("a log entry is missing");
        stored.entries.push_back({entries.number(1), static_cast<int>(entries.number(2)), entries.bytes(3)});
    }
    return stored;
}

void SqliteRaftStore::set_term(std::uint64_t term) {
    write([&] { set_number("term", term), set_number("vote", 0); });
}

void SqliteRaftStore::set_vote(std::uint64_t vote) {
    write([&] { set_number("vote", vote); });
}

void SqliteRaftStore::append(std::uint64_t first, const std::vector<maintenance::LogEntry>& entries) {
    write([&] {
        Statement any(database_, "select 1 from entry limit 1");
        if (!any.next()) set_number("first", first);
        Statement insert(database_, "insert into entry values(?, ?, ?, ?)");
        for (const maintenance::LogEntry& entry : entries) {
            insert.bind(first++)
                .bind(entry.term)
                .bind(static_cast<std::uint64_t>(entry.kind))
                .bind(entry.bytes);
            insert.next(), insert.reset();
        }
    });
}

void SqliteRaftStore::truncate(std::uint64_t from) {
    write([&] { Statement(database_, "delete from entry where place >= ?").bind(from).next(); });
}

void SqliteRaftStore::put_snapshot(const maintenance::StoredSnapshot& snapshot, std::uint64_t trailing) {
    write([&] {
        Statement insert(database_, "insert or replace into snapshot values(1, ?, ?, ?, ?, ?)");
        insert.bind(snapshot.index).bind(snapshot.term).bind(snapshot.configuration_index);
        insert.bind(snapshot.voters).bind(snapshot.state).next();
        if (trailing == 0) {
            run("delete from entry");
            set_number("first", snapshot.index + 1);
        } else if (snapshot.index > trailing) {
            const std::uint64_t from = snapshot.index - trailing + 1;
            Statement(database_, "delete from entry where place < ?").bind(from).next();
            set_number("first", std::max(from, number("first")));
        }
    });
}

void SqliteRaftStore::clear() {
    write([&] {
        run("delete from entry; delete from snapshot; delete from voter");
        set_number("term", 0), set_number("vote", 0), set_number("first", 1);
    });
}

VoterIncarnation SqliteRaftStore::incarnation() { return {number("life"), number("mark"), number("seat")}; }

void SqliteRaftStore::set_incarnation(VoterIncarnation incarnation) {
    write([&] {
        set_number("life", incarnation.number), set_number("mark", incarnation.nonce),
            set_number("seat", incarnation.identity);
    });
}

std::vector<std::string> SqliteRaftStore::voters() {
    std::vector<std::string> names;
    Statement query(database_, "select name from voter order by name");
    while (query.next()) names.push_back(query.bytes(0));
    return names;
}

void SqliteRaftStore::set_voters(const std::vector<std::string>& names) {
    write([&] {
        run("delete from voter");
        Statement insert(database_, "insert into voter values(?)");
        for (const std::string& name : names) insert.bind(name, true).next(), insert.reset();
    });
}

std::map<std::string, VoterIncarnation> SqliteRaftStore::known_incarnations() {
    std::map<std::string, VoterIncarnation> incarnations;
    Statement query(database_, "select name, number, mark, seat from life");
    while (query.next()) incarnations[query.bytes(0)] = {query.number(1), query.number(2), query.number(3)};
    return incarnations;
}

void SqliteRaftStore::record_incarnation(const std::string& name, VoterIncarnation incarnation) {
    write([&] {
        Statement insert(database_, "insert or replace into life values(?, ?, ?, ?)");
        insert.bind(name, true)
            .bind(incarnation.number)
            .bind(incarnation.nonce)
            .bind(incarnation.identity)
            .next();
    });
}

std::uint64_t SqliteRaftStore::next_member_incarnation() {
    const std::uint64_t next = number("incarnation") + 1;
    write([&] { set_number("incarnation", next); });
    return next;
}

} // namespace ivyrill::raft_storage
