#include "rota/council.hpp"

#include "rota/words.hpp"

#include <algorithm>
#include <cstring>
#include <utility>

extern "C" {
#include <raft.h>
}

namespace ivyrill::rota {

namespace {

constexpr int kRoll = 20, kRollAnswer = 21; // kinds of letters beside the library's own
constexpr std::size_t kMostEntries = 10'000;
constexpr int kReopenGap = 10;    // heartbeats until a ledger that could not be written is tried again
constexpr int kTransferBeats = 3; // elections' spans that a transfer of the lead may take
constexpr int kRollGap = 3;       // heartbeats between calls of the roll

using words::count_in;
using words::Json;
using words::text_in;

void* copy_of(std::string_view bytes) {
    void* made = raft_malloc(std::max<std::size_t>(bytes.size(), 1));
    if (made == nullptr) throw std::bad_alloc();
    std::memcpy(made, bytes.data(), bytes.size());
    return made;
}

std::string text_of(const raft_buffer& buffer) { return {static_cast<const char*>(buffer.base), buffer.len}; }

Json binary(std::string_view bytes) {
    return Json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

std::string bytes_in(const Json& value) {
    const auto& bytes = value.get_binary();
    return {bytes.begin(), bytes.end()};
}

Json row_of(const raft_configuration& who) {
    Json rows = Json::array();
    for (unsigned i = 0; i < who.n; ++i)
        rows.push_back({who.servers[i].id, who.servers[i].address, who.servers[i].role});
    return rows;
}

void read_voters(const Json& rows, raft_configuration& who) {
    raft_configuration_init(&who);
    if (!rows.is_array() || rows.size() > 100) throw std::out_of_range("no voters");
    for (const auto& row : rows) {
        const int failed = raft_configuration_add(&who, count_in(row.at(0)), text_in(row.at(1)).c_str(),
                                                  static_cast<int>(count_in(row.at(2)) % 3));
        if (failed != 0) throw std::out_of_range("no such voters");
    }
}

raft_id id_of(const std::string& name, std::uint64_t seat) { return raft_digest(name.c_str(), seat) | 1U; }

// A message of the library as a row, and back. What is read is the library's to free.
Json row_of(const raft_message& message, raft_id from) {
    Json row = Json::array({message.type, from});
    switch (message.type) {
    case RAFT_IO_REQUEST_VOTE: {
        const auto& m = message.request_vote;
        for (const std::uint64_t n : {m.term, m.candidate_id, m.last_log_index, m.last_log_term})
            row.push_back(n);
        row.push_back(m.disrupt_leader), row.push_back(m.pre_vote);
        break;
    }
    case RAFT_IO_REQUEST_VOTE_RESULT: {
        const auto& m = message.request_vote_result;
        row.push_back(m.term), row.push_back(m.vote_granted), row.push_back(static_cast<int>(m.pre_vote));
        break;
    }
    case RAFT_IO_APPEND_ENTRIES: {
        const auto& m = message.append_entries;
        for (const std::uint64_t n : {m.term, m.prev_log_index, m.prev_log_term, m.leader_commit})
            row.push_back(n);
        Json entries = Json::array();
        for (unsigned i = 0; i < m.n_entries; ++i)
            entries.push_back({m.entries[i].term, m.entries[i].type, binary(text_of(m.entries[i].buf))});
        row.push_back(std::move(entries));
        break;
    }
    case RAFT_IO_APPEND_ENTRIES_RESULT: {
        const auto& m = message.append_entries_result;
        for (const std::uint64_t n : {m.term, m.rejected, m.last_log_index}) row.push_back(n);
        break;
    }
    case RAFT_IO_INSTALL_SNAPSHOT: {
        const auto& m = message.install_snapshot;
        for (const std::uint64_t n : {m.term, m.last_index, m.last_term, m.conf_index}) row.push_back(n);
        row.push_back(row_of(m.conf)), row.push_back(binary(text_of(m.data)));
        break;
    }
    case RAFT_IO_TIMEOUT_NOW: {
        const auto& m = message.timeout_now;
        for (const std::uint64_t n : {m.term, m.last_log_index, m.last_log_term}) row.push_back(n);
        break;
    }
    default:
        break;
    }
    return row;
}

void read_message(const Json& row, raft_message& message) { // throws where it is none, and keeps nothing then
    message.type = static_cast<unsigned short>(count_in(row.at(0)));
    message.server_id = count_in(row.at(1));
    const auto number = [&](std::size_t at) { return count_in(row.at(at)); };
    switch (message.type) {
    case RAFT_IO_REQUEST_VOTE:
        message.request_vote = {
            number(2), number(3), number(4), number(5), row.at(6).get<bool>(), row.at(7).get<bool>()};
        return;
    case RAFT_IO_REQUEST_VOTE_RESULT:
        message.request_vote_result = {number(2), row.at(3).get<bool>(),
                                       static_cast<raft_tribool>(number(4) % 3)};
        return;
    case RAFT_IO_APPEND_ENTRIES: {
        message.append_entries = {number(2), number(3), number(4), number(5), nullptr, 0};
        const Json& rows = row.at(6);
        if (!rows.is_array() || rows.size() > kMostEntries) throw std::out_of_range("no entries");
        if (rows.empty()) return;
        std::vector<LogEntry> entries;
        std::string all;
        for (const auto& one : rows) {
            entries.push_back(
                {count_in(one.at(0)), static_cast<int>(count_in(one.at(1))), bytes_in(one.at(2))});
            if (entries.back().kind < RAFT_COMMAND || entries.back().kind > RAFT_CHANGE)
                throw std::out_of_range("no such entry");
            all += entries.back().bytes;
        }
        char* batch = static_cast<char*>(copy_of(all)); // the library wants all in one piece
        auto* made = static_cast<raft_entry*>(raft_malloc(sizeof(raft_entry) * entries.size()));
        std::size_t at = 0;
        for (std::size_t i = 0; i < entries.size(); ++i) {
            made[i] = {entries[i].term,
                       static_cast<unsigned short>(entries[i].kind),
                       {batch + at, entries[i].bytes.size()},
                       batch};
            at += entries[i].bytes.size();
        }
        message.append_entries.entries = made;
        message.append_entries.n_entries = static_cast<unsigned>(entries.size());
        return;
    }
    case RAFT_IO_APPEND_ENTRIES_RESULT:
        message.append_entries_result = {number(2), number(3), number(4)};
        return;
    case RAFT_IO_INSTALL_SNAPSHOT: {
        raft_install_snapshot& made = message.install_snapshot;
        made = {number(2), number(3), number(4), {}, number(5), {}};
        const std::string state = bytes_in(row.at(7));
        read_voters(row.at(6), made.conf);
        made.data = {copy_of(state), state.size()};
        return;
    }
    case RAFT_IO_TIMEOUT_NOW:
        message.timeout_now = {number(2), number(3), number(4)};
        return;
    default:
        throw std::out_of_range("no such message");
    }
}

} // namespace

// The library's side: its callbacks find the council by `impl`. Whatever calls back goes through `later_`, as
// the library does not expect to be called from within its own calls.
struct Council::Raft {
    explicit Raft(Council& owner, raft_id own) : council(owner), id(own) {}
    Council& council;
    raft_id id;
    raft_io io{};
    raft_fsm fsm{};
    raft machine{};
    raft_io_tick_cb tick = nullptr;
    raft_io_recv_cb recv = nullptr;
    bool started = false, failed = false, closed = false, changing = false, transferring = false;
    raft_change change{};
    struct raft_transfer transfer {};
    std::function<void(bool)> changed;

    static Raft& of(const raft_io* io) { return *static_cast<Raft*>(io->impl); }
    template <class Write> int write(Write&& what) {
        try {
            what(council.ledger_);
            return 0;
        } catch (const LedgerError&) {
            failed = true;
            return RAFT_IOERR;
        }
    }
    static raft_snapshot* snapshot_of(const SnapshotKept& kept) {
        auto* made = static_cast<raft_snapshot*>(raft_malloc(sizeof(raft_snapshot)));
        *made = {};
        made->index = kept.index, made->term = kept.term, made->configuration_index = kept.voters_index;
        read_voters(Json::from_cbor(kept.voters.begin(), kept.voters.end()), made->configuration);
        made->bufs = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
        made->bufs[0] = {copy_of(kept.state), kept.state.size()};
        made->n_bufs = 1;
        return made;
    }

    void wire() {
        io.version = 1, io.impl = this;
        io.init = [](raft_io*, raft_id, const char*) { return 0; };
        io.close = [](raft_io* at, raft_io_close_cb cb) {
            of(at).council.later_.push_back([at, cb] { cb(at); });
        };
        io.load = [](raft_io* at, raft_term* term, raft_id* vote, raft_snapshot** snapshot, raft_index* first,
                     raft_entry** entries, size_t* count) {
            return of(at).write([&](Ledger& ledger) {
                const LedgerKept kept = ledger.load();
                *term = kept.term, *vote = kept.vote, *first = kept.first;
                *snapshot = kept.snapshot ? snapshot_of(*kept.snapshot) : nullptr;
                if (kept.entries.empty() && kept.snapshot) *first = kept.snapshot->index + 1;
                *count = kept.entries.size(), *entries = nullptr;
                if (kept.entries.empty()) return;
                *entries = static_cast<raft_entry*>(raft_malloc(sizeof(raft_entry) * kept.entries.size()));
                std::string all;
                for (const LogEntry& entry : kept.entries) all += entry.bytes;
                char* batch = static_cast<char*>(copy_of(all));
                std::size_t done = 0, i = 0;
                for (const LogEntry& entry : kept.entries) {
                    (*entries)[i++] = {entry.term,
                                       static_cast<unsigned short>(entry.kind),
                                       {batch + done, entry.bytes.size()},
                                       batch};
                    done += entry.bytes.size();
                }
            });
        };
        io.start = [](raft_io* at, unsigned, raft_io_tick_cb tick, raft_io_recv_cb recv) {
            of(at).tick = tick, of(at).recv = recv;
            return 0;
        };
        io.bootstrap = [](raft_io* at, const raft_configuration* who) {
            return of(at).write([&](Ledger& ledger) {
                raft_buffer bytes{};
                if (raft_configuration_encode(who, &bytes) != 0) throw LedgerError("no memory");
                const std::string text = text_of(bytes);
                raft_free(bytes.base);
                ledger.set_term(1);
                ledger.append(1, {{1, RAFT_CHANGE, text}});
            });
        };
        io.recover = [](raft_io*, const raft_configuration*) { return RAFT_IOERR; };
        io.set_term = [](raft_io* at, raft_term term) {
            return of(at).write([&](Ledger& ledger) { ledger.set_term(term); });
        };
        io.set_vote = [](raft_io* at, raft_id who) {
            return of(at).write([&](Ledger& ledger) { ledger.set_vote(who); });
        };
        io.send = [](raft_io* at, raft_io_send* request, const raft_message* message, raft_io_send_cb cb) {
            Raft& own = of(at);
            raft_message told = *message;
            if (told.type == RAFT_IO_APPEND_ENTRIES_RESULT) own.say_matched(told.append_entries_result);
            // Whose log is shorter than what others had when we started does not stand for election.
            const bool stands = told.type == RAFT_IO_REQUEST_VOTE;
            if (!stands || !own.council.extent().shorter_than(own.council.least_))
                own.council.letters_.push_back({message->server_address, words::pack(row_of(told, own.id))});
            own.council.later_.push_back([request, cb] {
                if (cb != nullptr) cb(request, 0);
            });
            return 0;
        };
        io.append = [](raft_io* at, raft_io_append* request, const raft_entry* entries, unsigned count,
                       raft_io_append_cb cb) {
            Raft& own = of(at);
            // The ledger counts on from its own last entry: the library appends in order, and truncates
            // first.
            const int status = own.write([&](Ledger& ledger) {
                std::vector<LogEntry> rows;
                for (unsigned i = 0; i < count; ++i)
                    rows.push_back({entries[i].term, entries[i].type, text_of(entries[i].buf)});
                ledger.append(own.next_index, rows);
                own.next_index += count;
            });
            own.council.later_.push_back([request, cb, status] { cb(request, status); });
            return 0;
        };
        io.truncate = [](raft_io* at, raft_index from) {
            Raft& own = of(at);
            return own.write([&](Ledger& ledger) {
                ledger.truncate(from);
                own.next_index = from;
            });
        };
        io.snapshot_put = [](raft_io* at, unsigned trailing, raft_io_snapshot_put* request,
                             const raft_snapshot* snapshot, raft_io_snapshot_put_cb cb) {
            Raft& own = of(at);
            const int status = own.write([&](Ledger& ledger) {
                SnapshotKept kept{snapshot->index,
                                  snapshot->term,
                                  snapshot->configuration_index,
                                  words::pack(row_of(snapshot->configuration)),
                                  {}};
                for (unsigned i = 0; i < snapshot->n_bufs; ++i) kept.state += text_of(snapshot->bufs[i]);
                ledger.put_snapshot(kept, trailing);
                if (trailing == 0) own.next_index = snapshot->index + 1;
            });
            own.council.later_.push_back([request, cb, status] { cb(request, status); });
            return 0;
        };
        io.snapshot_get = [](raft_io* at, raft_io_snapshot_get* request, raft_io_snapshot_get_cb cb) {
            Raft& own = of(at);
            own.council.later_.push_back([&own, request, cb] {
                raft_snapshot* made = nullptr;
                const int status = own.write([&](Ledger& ledger) {
                    const LedgerKept kept = ledger.load();
                    if (!kept.snapshot) throw LedgerError("no snapshot");
                    made = snapshot_of(*kept.snapshot);
                });
                cb(request, made, status);
            });
            return 0;
        };
        io.time = [](raft_io* at) {
            return static_cast<raft_time>(of(at).council.now_ * 1000 / kTenthsPerSecond);
        };
        io.random = [](raft_io* at, int least, int most) {
            return least + static_cast<int>(of(at).council.chance_.unit() * (most - least));
        };

        fsm.version = 1, fsm.data = this;
        fsm.apply = [](raft_fsm* at, const raft_buffer* bytes, void** result) {
            *result = nullptr;
            Council& council = static_cast<Raft*>(at->data)->council;
            const auto command = decode(text_of(*bytes));
            if (!command) return 0; // of a later version: the same everywhere
            const Verdict verdict = council.evening_.apply(*command);
            if (council.on_applied) council.on_applied(*command, verdict);
            return 0;
        };
        fsm.snapshot = [](raft_fsm* at, raft_buffer** buffers, unsigned* count) {
            const std::string state = static_cast<Raft*>(at->data)->council.evening_.encode();
            *buffers = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
            (*buffers)[0] = {copy_of(state), state.size()};
            *count = 1;
            return 0;
        };
        fsm.restore = [](raft_fsm* at, raft_buffer* bytes) {
            auto read = Evening::decode(text_of(*bytes));
            if (!read) return RAFT_MALFORMED;
            static_cast<Raft*>(at->data)->council.evening_ = std::move(*read);
            raft_free(bytes->base);
            return 0;
        };
    }
    std::uint64_t next_index = 1; // of the ledger

    // The library tells a leader how long our log is, also in answer to an empty message that proves only its
    // beginning. Behind that may stand entries of an earlier leader, in the place of others that the new one
    // has: it would count us among those who hold its own, and take for agreed on what is not. So no more is
    // told than this term's messages have shown to be the same.
    raft_term matched_term = 0;
    raft_index matched = 0, matching = 0;
    bool rejected = false;
    void say_matched(raft_append_entries_result& result) {
        if (result.rejected != 0) return void(rejected = true);
        const raft_index most = std::max(matching, result.term == matched_term ? matched : 0);
        result.last_log_index = std::min(result.last_log_index, most);
    }
    void hear(raft_message& message) {
        const bool append = message.type == RAFT_IO_APPEND_ENTRIES;
        const raft_term term = append ? message.append_entries.term : 0;
        const raft_index end =
            append ? message.append_entries.prev_log_index + message.append_entries.n_entries : 0;
        rejected = false, matching = end;
        recv(&io, &message);
        if (append && !rejected && term == machine.current_term) {
            if (term != matched_term) matched_term = term, matched = 0;
            matched = std::max(matched, end);
        }
        matching = 0;
    }
};

Council::Council(CouncilTerms terms, Ledger& ledger, Tenths now)
    : terms_(std::move(terms)), ledger_(ledger), chance_(terms_.seed), now_(now) {
    open_at_ = now;
    step(now);
}

Council::~Council() { close(); }

// The ledger says that it lives again, before it says anything else.
void Council::open() {
    open_at_ = now_ + kReopenGap * terms_.heartbeat; // should it fail
    try {
        if (life_.number == 0) {
            const Life before = ledger_.life();
            const auto place = std::ranges::find(terms_.candidates, terms_.name) - terms_.candidates.begin();
            const bool founder =
                place < static_cast<std::ptrdiff_t>(std::min(terms_.size, terms_.candidates.size()));
            Life life{before.number + 1, chance_.next() | std::uint64_t{chance_.next()} << 32U, before.seat};
            if (before.number == 0) life.seat = founder ? 0 : life.number;
            ledger_.set_life(life);
            fresh_ = before.number == 0 && founder;
            proven_ = before.number != 0 && ledger_.proven();
            life_ = life, lives_ = ledger_.lives(), voters_noted_ = ledger_.voters();
            if (voters_noted_.empty())
                voters_noted_ = {terms_.candidates.begin(),
                                 terms_.candidates.begin() + static_cast<std::ptrdiff_t>(std::min(
                                                                 terms_.size, terms_.candidates.size()))};
            const LedgerKept kept = ledger_.load();
            kept_ = {kept.term, 0, 0};
            if (kept.snapshot) kept_.last_term = kept.snapshot->term, kept_.last_index = kept.snapshot->index;
            if (!kept.entries.empty())
                kept_.last_term = kept.entries.back().term,
                kept_.last_index = kept.first + kept.entries.size() - 1;
            rolled_.clear(), told_.clear(), least_ = {}, roll_at_ = now_;
        }
        if (!rolled()) return;
        const LedgerKept kept = ledger_.load();
        raft_ = std::make_unique<Raft>(*this, id_of(terms_.name, life_.seat));
        raft_->wire();
        raft_->next_index = kept.first + kept.entries.size();
        if (kept.entries.empty() && kept.snapshot) raft_->next_index = kept.snapshot->index + 1;
        evening_ = {};
        raft& machine = raft_->machine;
        bool sound = raft_init(&machine, &raft_->io, &raft_->fsm, raft_->id, terms_.name.c_str()) == 0;
        machine.data = raft_.get();
        const auto beat = static_cast<unsigned>(terms_.heartbeat * 1000 / kTenthsPerSecond);
        raft_set_heartbeat_timeout(&machine, std::max(1U, beat));
        raft_set_election_timeout(&machine, std::max(1U, beat) * static_cast<unsigned>(terms_.patience));
        raft_set_install_snapshot_timeout(&machine,
                                          std::max(1U, beat) * static_cast<unsigned>(terms_.patience));
        raft_set_snapshot_threshold(&machine, terms_.snapshot_after);
        raft_set_snapshot_trailing(&machine, terms_.trailing);
        raft_set_pre_vote(&machine, true);
        if (sound && fresh_ && kept.term == 0 && kept.entries.empty() && !kept.snapshot) {
            raft_configuration who;
            raft_configuration_init(&who);
            for (std::size_t i = 0; i < std::min(terms_.size, terms_.candidates.size()); ++i)
                raft_configuration_add(&who, id_of(terms_.candidates[i], 0), terms_.candidates[i].c_str(),
                                       RAFT_VOTER);
            sound = raft_bootstrap(&machine, &who) == 0;
            raft_configuration_close(&who);
            if (sound) raft_->next_index = 2;
        }
        // In a term that others have seen we may have voted, whatever the ledger says.
        const std::uint64_t term = std::max(kept.term, raft_->next_index > 1 ? std::uint64_t{1} : 0);
        if (least_.term > term) ledger_.set_term(least_.term);
        if (least_.term >= term && least_.term > 0 && (kept.vote == 0 || least_.term > term))
            ledger_.set_vote(raft_->id);
        sound = sound && raft_start(&machine) == 0;
        raft_->started = sound, raft_->failed = raft_->failed || !sound;
        tick_at_ = now_;
    } catch (const LedgerError&) {
        if (raft_) raft_->failed = true;
    }
}

void Council::close() {
    if (!raft_) return;
    raft_->machine.data = raft_.get();
    raft_close(&raft_->machine, [](raft* machine) { static_cast<Raft*>(machine->data)->closed = true; });
    while (!later_.empty()) run_later();
    raft_.reset();
}

void Council::run_later() {
    while (!later_.empty()) {
        const auto next = std::move(later_.front());
        later_.pop_front();
        next();
    }
}

// Any two such sets of others have one in common: of all who keep a ledger, and of those who vote.
bool Council::rolled() const {
    const auto enough = [this](const std::vector<std::string>& all) {
        std::size_t others = 0, answered = 0;
        for (const std::string& name : all)
            if (name != terms_.name) ++others, answered += rolled_.contains(name) ? 1 : 0;
        return others == 0 || answered >= others / 2 + 1;
    };
    return life_.number != 0 && (proven_ || (enough(terms_.candidates) && enough(voters_noted_)));
}

CouncilPhase Council::phase() const {
    if (life_.number == 0) return CouncilPhase::kUnable;
    if (!rolled()) return disowned_ ? CouncilPhase::kDisowned : CouncilPhase::kRollCall;
    if (!raft_ || !raft_->started || raft_->failed) return CouncilPhase::kUnable;
    return CouncilPhase::kTakesPart;
}

Council::Extent Council::extent() const {
    if (!raft_ || !raft_->started) return kept_;
    const raft_log& log = raft_->machine.log;
    Extent made{raft_->machine.current_term, log.snapshot.last_term,
                raft_last_index(const_cast<raft*>(&raft_->machine))};
    if (log.front != log.back) made.last_term = log.entries[(log.back + log.size - 1) % log.size].term;
    return made;
}

// What those before us agreed on becomes known to be so only with an entry of our own term behind it: until
// that is applied, we know less than we think.
void Council::begin_to_lead() {
    leads_since_ = now_, current_ = false;
    lead_index_ = extent().last_index;
    struct Request {
        struct raft_barrier barrier {};
        Council* council = nullptr;
        std::uint64_t term = 0;
    };
    auto* request = new Request{};
    request->council = this, request->term = term(), request->barrier.data = request;
    const int failed =
        ::raft_barrier(&raft_->machine, &request->barrier, [](struct raft_barrier* over, int status) {
            const std::unique_ptr<Request> own(static_cast<Request*>(over->data));
            if (status == 0 && own->council->term() == own->term) own->council->current_ = true;
        });
    if (failed != 0) {
        delete request;
        led_ = false; // tried again at the next step
    }
    run_later();
}

// While we lead, what has been added since is promised by those alone who told us that they have it.
Council::Extent Council::extent_for(const std::string& voter) const {
    Extent made = extent();
    if (!leads() || !led_) return made;
    const auto ack = acked_.find(voter);
    std::uint64_t index = lead_index_;
    if (ack != acked_.end() && ack->second.term == made.term) index = std::max(index, ack->second.index);
    if (index >= made.last_index) return made;
    const raft_log& log = raft_->machine.log;
    const std::size_t count = log.front <= log.back ? log.back - log.front : log.size - log.front + log.back;
    if (index <= log.offset || index > log.offset + count) {
        made.last_index = std::max<std::uint64_t>(index, log.snapshot.last_index);
        made.last_term = log.snapshot.last_term;
        return made;
    }
    made.last_index = index;
    made.last_term = log.entries[(log.front + (index - log.offset - 1)) % log.size].term;
    return made;
}

void Council::note_voters() {
    if (!raft_ || !raft_->started || raft_->failed) return;
    const std::set<std::string> names = voters();
    if (names.empty() ||
        std::ranges::equal(names, std::set<std::string>(voters_noted_.begin(), voters_noted_.end())))
        return;
    try {
        ledger_.set_voters({names.begin(), names.end()});
        voters_noted_ = {names.begin(), names.end()};
    } catch (const LedgerError&) { raft_->failed = true; }
}

void Council::step(Tenths now) {
    now_ = std::max(now_, now);
    // A transfer to one that does not answer is never ended by the library, and nothing is agreed on
    // meanwhile.
    if (raft_ && raft_->transferring &&
        now_ > transfer_at_ + kTransferBeats * terms_.patience * terms_.heartbeat)
        raft_->failed = true;
    if (raft_ && raft_->failed) {
        // What the library holds in memory may be more than the ledger does: only the ledger counts.
        close();
        open_at_ = now_ + kReopenGap * terms_.heartbeat;
    }
    if (life_.number == 0 && now_ >= open_at_) open();
    if (life_.number != 0 && now_ >= roll_at_) call_roll();
    if (rolled() && !raft_ && now_ >= open_at_) open();
    note_voters();
    // Only a ledger that holds all that others had when we started may vouch for itself at the next.
    if (raft_ && raft_->started && !raft_->failed && !vouched_ && !extent().shorter_than(least_))
        vouched_ = true, ledger_.vouch();
    if (raft_ && raft_->started && !raft_->failed && now_ >= tick_at_) {
        tick_at_ = now_ + std::max<Tenths>(1, terms_.heartbeat / 2);
        raft_->tick(&raft_->io);
        run_later();
    }
    if (leads()) heard_leader_at_ = now_;
    if (leads() && !std::exchange(led_, true)) begin_to_lead();
    if (!leads()) led_ = current_ = false;
}

Tenths Council::next() const {
    if (life_.number == 0) return open_at_;
    Tenths first = rolled_.size() + 1 < terms_.candidates.size() ? roll_at_ : now_ + kTenthsPerSecond * 3600;
    if (raft_ && !raft_->failed) return std::min(first, tick_at_);
    return phase() == CouncilPhase::kUnable ? std::min(first, std::max(now_ + 1, open_at_)) : first;
}

std::vector<Letter> Council::take_letters() { return std::exchange(letters_, {}); }

bool Council::leads() const {
    return raft_ && raft_->started && !raft_->failed &&
           raft_state(const_cast<raft*>(&raft_->machine)) == RAFT_LEADER;
}

std::uint64_t Council::term() const { return raft_ && raft_->started ? raft_->machine.current_term : 0; }

std::string Council::leader() const {
    if (!raft_ || !raft_->started || raft_->failed) return {};
    raft_id id = 0;
    const char* name = nullptr;
    raft_leader(const_cast<raft*>(&raft_->machine), &id, &name);
    return name == nullptr ? "" : name;
}

bool Council::votes_here() const {
    if (!raft_ || !raft_->started) return false;
    const raft_configuration& all = raft_->machine.configuration;
    for (unsigned i = 0; i < all.n; ++i)
        if (all.servers[i].id == raft_->id) return all.servers[i].role == RAFT_VOTER;
    return false;
}

std::set<std::string> Council::voters() const {
    std::set<std::string> names;
    if (raft_ && raft_->started)
        for (unsigned i = 0; i < raft_->machine.configuration.n; ++i)
            if (raft_->machine.configuration.servers[i].role == RAFT_VOTER)
                names.insert(raft_->machine.configuration.servers[i].address);
    return names;
}

bool Council::propose(const Command& command, std::function<void(bool)> done) {
    if (!leads()) return false;
    struct Request {
        struct raft_apply apply {};
        std::function<void(bool)> done;
    };
    const std::string bytes = encode(command);
    raft_buffer buffer{copy_of(bytes), bytes.size()};
    auto* request = new Request{};
    request->apply.data = request, request->done = std::move(done);
    const int failed = ::raft_apply(&raft_->machine, &request->apply, &buffer, 1,
                                    [](struct raft_apply* over, int status, void*) {
                                        const std::unique_ptr<Request> own(static_cast<Request*>(over->data));
                                        if (own->done) own->done(status == 0);
                                    });
    if (failed != 0) {
        raft_free(buffer.base);
        delete request;
    }
    run_later();
    return failed == 0;
}

bool Council::holds_seat(const std::string& name, Life life) const {
    if (!raft_ || !raft_->started) return false;
    for (unsigned i = 0; i < raft_->machine.configuration.n; ++i) {
        const raft_server& there = raft_->machine.configuration.servers[i];
        if (there.address == name) return there.id == id_of(name, life.seat) && there.role == RAFT_VOTER;
    }
    return false;
}

void Council::hand_over(const std::set<std::string>& fit) {
    if (!leads() || raft_->transferring) return;
    for (unsigned i = 0; i < raft_->machine.configuration.n; ++i) {
        const raft_server& there = raft_->machine.configuration.servers[i];
        if (there.role != RAFT_VOTER || there.address == terms_.name || !fit.contains(there.address))
            continue;
        raft_->transfer.data = raft_.get();
        raft_->transferring =
            raft_transfer(&raft_->machine, &raft_->transfer, there.id, [](struct raft_transfer* done) {
                static_cast<Raft*>(done->data)->transferring = false;
            }) == 0;
        transfer_at_ = now_;
        run_later();
        return;
    }
}

bool Council::changing() const { return raft_ && raft_->changing; }

bool Council::admit(const std::string& name, Life life) {
    if (!leads() || raft_->changing) return false;
    Raft& own = *raft_;
    own.change.data = &own;
    const raft_id id = id_of(name, life.seat);
    for (unsigned i = 0; i < own.machine.configuration.n; ++i) {
        const raft_server& there = own.machine.configuration.servers[i];
        if (there.id != id) continue;
        if (there.role == RAFT_VOTER) return false;
        own.changing = raft_assign(&own.machine, &own.change, id, RAFT_VOTER, [](raft_change* done, int) {
                           static_cast<Raft*>(done->data)->changing = false;
                       }) == 0;
        run_later();
        return own.changing;
    }
    own.changing = raft_add(&own.machine, &own.change, id, name.c_str(), [](raft_change* done, int) {
                       static_cast<Raft*>(done->data)->changing = false;
                   }) == 0;
    run_later();
    return own.changing;
}

std::string Council::trouble() const { return raft_ ? raft_errmsg(&raft_->machine) : ""; }

bool Council::remove(const std::string& name) {
    if (!leads() || raft_->changing) return false;
    Raft& own = *raft_;
    for (unsigned i = 0; i < own.machine.configuration.n; ++i) {
        const raft_server& there = own.machine.configuration.servers[i];
        if (there.address != name) continue;
        own.change.data = &own;
        own.changing = raft_remove(&own.machine, &own.change, there.id, [](raft_change* done, int) {
                           static_cast<Raft*>(done->data)->changing = false;
                       }) == 0;
        run_later();
        return own.changing;
    }
    return false;
}

Evening Council::perhaps() const {
    Evening made;
    try {
        const LedgerKept kept = ledger_.load();
        if (kept.snapshot)
            if (auto read = Evening::decode(kept.snapshot->state)) made = std::move(*read);
        std::uint64_t index = kept.first;
        for (const LogEntry& entry : kept.entries) {
            const bool behind = !kept.snapshot || index > kept.snapshot->index;
            if (++index, !behind || entry.kind != RAFT_COMMAND) continue;
            if (const auto command = decode(entry.bytes)) made.apply(*command);
        }
    } catch (const LedgerError&) { return evening_; }
    return made;
}

// ---- the roll

void Council::call_roll() {
    roll_at_ = now_ + kRollGap * terms_.heartbeat;
    const std::string bytes = words::pack(
        {kRoll, life_.number, life_.mark, life_.seat, kept_.term, kept_.last_term, kept_.last_index});
    for (const std::string& name : terms_.candidates)
        if (name != terms_.name && !rolled_.contains(name)) letters_.push_back({name, bytes});
}

void Council::answer_roll(const std::string& from, Life life, const Extent& /*extent*/) {
    if (life.number == 0 || life_.number == 0) return;
    Life& known = lives_[from];
    try {
        if (life.number > known.number) {
            ledger_.remember(from, life); // before it is answered
            // Its ledger is lost. What only it held can be had from nobody, and is not waited for: agreement
            // rests on it that no more than a minority loses theirs.
            if (life.seat != known.seat) acked_.erase(from), told_.erase(from), weigh_told();
            known = life;
        }
    } catch (const LedgerError&) { return; }
    const Ack ack = acked_[from];
    const Extent own = extent_for(from);
    letters_.push_back({from, words::pack({kRollAnswer, life.mark, known.number, known.mark, known.seat,
                                           ack.term, ack.index, own.term, own.last_term, own.last_index})});
}

void Council::hear_roll(const std::string& from, Life known, Ack remembered, const Extent& theirs) {
    if (known != life_) {
        if (proven_) return; // a later life of ours has been told of meanwhile, or none
        // Others remember a later start than our ledger does: it was lost, or put back from a copy.
        if (known.number >= life_.number) disown(known.number);
        return;
    }
    // Or no later start, but more of what we told them in the one before.
    if (!proven_ && (kept_.term < remembered.term ||
                     (kept_.term == remembered.term && kept_.last_index < remembered.index)))
        return disown(life_.number);
    rolled_.insert(from);
    if (proven_) return;
    told_[from] = theirs;
    weigh_told();
}

void Council::weigh_told() {
    least_ = {};
    for (const auto& [name, theirs] : told_) {
        least_.term = std::max(least_.term, theirs.term);
        if (least_.shorter_than(theirs))
            least_.last_term = theirs.last_term, least_.last_index = theirs.last_index;
    }
}

void Council::disown(std::uint64_t known_life) {
    if (raft_) return; // answers that come later than enough of them say nothing new: their sum was enough
    disowned_ = true;
    try {
        const Life life{known_life + 1, chance_.next() | std::uint64_t{chance_.next()} << 32U,
                        known_life + 1};
        ledger_.clear();
        ledger_.set_life(life);
        life_ = life, fresh_ = vouched_ = false, evening_ = {}, kept_ = {};
        rolled_.clear(), told_.clear(), least_ = {};
        roll_at_ = now_;
    } catch (const LedgerError&) {
        life_ = {};
        open_at_ = now_ + kReopenGap * terms_.heartbeat;
    }
}

void Council::hear(Tenths now, const std::string& from, std::string_view bytes) {
    now_ = std::max(now_, now);
    Json row;
    raft_message message{};
    try {
        row = Json::from_cbor(bytes.begin(), bytes.end());
        const std::uint64_t kind = count_in(row.at(0));
        const auto number = [&](std::size_t at) { return count_in(row.at(at)); };
        if (kind == kRoll)
            return answer_roll(from, {number(1), number(2), number(3)}, {number(4), number(5), number(6)});
        if (kind == kRollAnswer) {
            if (number(1) != life_.mark) return; // to a call of an earlier life
            hear_roll(from, {number(2), number(3), number(4)}, {number(5), number(6)},
                      {number(7), number(8), number(9)});
            return step(now_);
        }
        if (!raft_ || !raft_->started || raft_->failed) return;
        read_message(row, message);
    } catch (const std::exception&) { return; }
    if (message.type == RAFT_IO_REQUEST_VOTE) {
        const raft_request_vote& vote = message.request_vote;
        if (Extent{vote.term, vote.last_log_term, vote.last_log_index}.shorter_than(least_)) return;
    }
    if (message.type == RAFT_IO_APPEND_ENTRIES_RESULT && message.append_entries_result.rejected == 0) {
        Ack& ack = acked_[from];
        const Ack told{message.append_entries_result.term, message.append_entries_result.last_log_index};
        if (std::pair(told.term, told.index) > std::pair(ack.term, ack.index)) ack = told;
    }
    message.server_address = from.c_str();
    if (message.type == RAFT_IO_APPEND_ENTRIES || message.type == RAFT_IO_INSTALL_SNAPSHOT)
        heard_leader_at_ = now_;
    raft_->hear(message);
    run_later();
    step(now_);
}

} // namespace ivyrill::rota
