#include "store/sqlite_ledger.hpp"

#include <fcntl.h>
#include <fstream>
#include <sqlite3.h>
#include <sys/file.h>
#include <unistd.h>
#include <utility>

namespace ivyrill::store {

using rota::LedgerError;
using rota::Life;

namespace {

constexpr const char* kTables = R"(
create table if not exists number(name text primary key, value integer not null) without rowid;
create table if not exists entry(place integer primary key, term integer not null, kind integer not null, bytes blob not null);
create table if not exists snapshot(one integer primary key check(one = 1), place integer, term integer, voters_place integer, voters blob, state blob);
create table if not exists life(name text primary key, number integer, mark integer, seat integer) without rowid;
create table if not exists voter(name text primary key) without rowid;
)";

} // namespace

class SqliteLedger::Statement {
  public:
    Statement(sqlite3* base, const char* words) : base_(base) {
        if (sqlite3_prepare_v2(base, words, -1, &statement_, nullptr) != SQLITE_OK) fail();
    }
    ~Statement() { sqlite3_finalize(statement_); }
    Statement(const Statement&) = delete;
    Statement& operator=(const Statement&) = delete;
    Statement& put(std::uint64_t value) {
        if (sqlite3_bind_int64(statement_, ++bound_, static_cast<sqlite3_int64>(value)) != SQLITE_OK) fail();
        return *this;
    }
    Statement& put(const std::string& bytes, bool text = false) {
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
    void again() { sqlite3_reset(statement_), bound_ = 0; }
    std::uint64_t number(int column) {
        return static_cast<std::uint64_t>(sqlite3_column_int64(statement_, column));
    }
    std::string bytes(int column) {
        const void* data = sqlite3_column_blob(statement_, column);
        const int size = sqlite3_column_bytes(statement_, column);
        return data == nullptr ? std::string() : std::string(static_cast<const char*>(data), size);
    }

  private:
    [[noreturn]] void fail() const { throw LedgerError(sqlite3_errmsg(base_)); }
    sqlite3* base_;
    sqlite3_stmt* statement_ = nullptr;
    int bound_ = 0;
};

SqliteLedger::SqliteLedger(const std::string& file, std::string witness, int most_pages)
    : witness_(std::move(witness)) {
    if (sqlite3_open_v2(file.c_str(), &base_, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE, nullptr) !=
        SQLITE_OK) {
        const std::string why = base_ != nullptr ? sqlite3_errmsg(base_) : "no memory";
        sqlite3_close(base_);
        throw LedgerError(file + ": " + why);
    }
    try {
        // Two processes on one ledger would each believe that it is theirs: the lock is kept for good.
        run("pragma locking_mode = exclusive");
        run("pragma journal_mode = delete");
        run("pragma synchronous = extra");
        if (most_pages > 0) run(("pragma max_page_count = " + std::to_string(most_pages)).c_str());
        run("begin immediate");
        run(kTables);
        run("commit");
        Statement check(base_, "pragma quick_check(1)");
        if (!check.next() || check.bytes(0) != "ok") throw LedgerError(file + ": it is spoilt");
        writes_ = number("writes");
    } catch (const LedgerError&) {
        sqlite3_close(base_);
        throw;
    }
    if (witness_.empty()) return;
    std::ifstream beside(witness_);
    std::uint64_t told = 0;
    proven_ = vouched_ = writes_ > 0 && beside >> told && told == writes_;
    // One that was put back is not to vouch for itself by what it writes from now on.
    if (!proven_) unlink(witness_.c_str());
}

void SqliteLedger::vouch() {
    vouched_ = true;
    bear_witness();
}

SqliteLedger::~SqliteLedger() { sqlite3_close(base_); }

void SqliteLedger::run(const char* words) {
    char* why = nullptr;
    if (sqlite3_exec(base_, words, nullptr, nullptr, &why) == SQLITE_OK) return;
    const std::string text = why != nullptr ? why : "?";
    sqlite3_free(why);
    throw LedgerError(text);
}

template <class Body> void SqliteLedger::write(Body&& body) {
    run("begin immediate");
    try {
        body();
        set_number("writes", writes_ + 1);
        run("commit");
    } catch (const LedgerError&) {
        sqlite3_exec(base_, "rollback", nullptr, nullptr, nullptr);
        throw;
    }
    ++writes_;
    if (vouched_) bear_witness();
}

// Written in place: a crash between the ledger's word and this one leaves them apart, and nothing is proven.
void SqliteLedger::bear_witness() const {
    if (witness_.empty()) return;
    const int file = open(witness_.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0600);
    if (file < 0) return;
    const std::string words = std::to_string(writes_) + "\n";
    if (pwrite(file, words.data(), words.size(), 0) < 0) unlink(witness_.c_str());
    close(file);
}

std::uint64_t SqliteLedger::number(const char* name) {
    Statement ask(base_, "select value from number where name = ?");
    ask.put(std::string(name), true);
    return ask.next() ? ask.number(0) : 0;
}

void SqliteLedger::set_number(const char* name, std::uint64_t value) {
    Statement put(base_, "insert or replace into number values(?, ?)");
    put.put(std::string(name), true).put(value).next();
}

rota::LedgerKept SqliteLedger::load() {
    rota::LedgerKept kept;
    kept.term = number("term"), kept.vote = number("vote"),
    kept.first = std::max<std::uint64_t>(1, number("first"));
    Statement snapshot(base_, "select place, term, voters_place, voters, state from snapshot");
    if (snapshot.next())
        kept.snapshot = rota::SnapshotKept{snapshot.number(0), snapshot.number(1), snapshot.number(2),
                                           snapshot.bytes(3), snapshot.bytes(4)};
    Statement entries(base_, "select place, term, kind, bytes from entry order by place");
    std::uint64_t place = kept.first;
    while (entries.next()) {
        if (entries.number(0) != place++) throw LedgerError("an entry is missing");
        kept.entries.push_back({entries.number(1), static_cast<int>(entries.number(2)), entries.bytes(3)});
    }
    return kept;
}

void SqliteLedger::set_term(std::uint64_t term) {
    write([&] { set_number("term", term), set_number("vote", 0); });
}

void SqliteLedger::set_vote(std::uint64_t vote) {
    write([&] { set_number("vote", vote); });
}

void SqliteLedger::append(std::uint64_t first, const std::vector<rota::LogEntry>& entries) {
    write([&] {
        Statement any(base_, "select 1 from entry limit 1");
        if (!any.next()) set_number("first", first);
        Statement put(base_, "insert into entry values(?, ?, ?, ?)");
        for (const rota::LogEntry& entry : entries) {
            put.put(first++).put(entry.term).put(static_cast<std::uint64_t>(entry.kind)).put(entry.bytes);
            put.next(), put.again();
        }
    });
}

void SqliteLedger::truncate(std::uint64_t from) {
    write([&] { Statement(base_, "delete from entry where place >= ?").put(from).next(); });
}

void SqliteLedger::put_snapshot(const rota::SnapshotKept& snapshot, std::uint64_t trailing) {
    write([&] {
        Statement put(base_, "insert or replace into snapshot values(1, ?, ?, ?, ?, ?)");
        put.put(snapshot.index).put(snapshot.term).put(snapshot.voters_index);
        put.put(snapshot.voters).put(snapshot.state).next();
        if (trailing == 0) {
            run("delete from entry");
            set_number("first", snapshot.index + 1);
        } else if (snapshot.index > trailing) {
            const std::uint64_t from = snapshot.index - trailing + 1;
            Statement(base_, "delete from entry where place < ?").put(from).next();
            set_number("first", std::max(from, number("first")));
        }
    });
}

void SqliteLedger::clear() {
    write([&] {
        run("delete from entry; delete from snapshot; delete from voter");
        set_number("term", 0), set_number("vote", 0), set_number("first", 1);
    });
}

Life SqliteLedger::life() { return {number("life"), number("mark"), number("seat")}; }

void SqliteLedger::set_life(Life life) {
    write([&] {
        set_number("life", life.number), set_number("mark", life.mark), set_number("seat", life.seat);
    });
}

std::vector<std::string> SqliteLedger::voters() {
    std::vector<std::string> names;
    Statement ask(base_, "select name from voter order by name");
    while (ask.next()) names.push_back(ask.bytes(0));
    return names;
}

void SqliteLedger::set_voters(const std::vector<std::string>& names) {
    write([&] {
        run("delete from voter");
        Statement put(base_, "insert into voter values(?)");
        for (const std::string& name : names) put.put(name, true).next(), put.again();
    });
}

std::map<std::string, Life> SqliteLedger::lives() {
    std::map<std::string, Life> all;
    Statement ask(base_, "select name, number, mark, seat from life");
    while (ask.next()) all[ask.bytes(0)] = {ask.number(1), ask.number(2), ask.number(3)};
    return all;
}

void SqliteLedger::remember(const std::string& name, Life life) {
    write([&] {
        Statement put(base_, "insert or replace into life values(?, ?, ?, ?)");
        put.put(name, true).put(life.number).put(life.mark).put(life.seat).next();
    });
}

std::uint64_t SqliteLedger::next_incarnation() {
    const std::uint64_t next = number("incarnation") + 1;
    write([&] { set_number("incarnation", next); });
    return next;
}

} // namespace ivyrill::store
