#include "maintenance/consensus_node.hpp"

#include "maintenance/codec.hpp"

#include <algorithm>
#include <cstring>
#include <utility>

extern "C" {
#include <raft.h>
}

namespace ivyrill::maintenance {

namespace {

constexpr int kStoreCheck = 20, kStoreCheckReply = 21; // message types besides those of libraft
constexpr std::size_t kMaxEntriesPerMessage = 10'000;
constexpr int kReopenHeartbeats = 10;        // heartbeats until a store that failed is opened again
constexpr int kTransferTimeoutElections = 3; // limit of a leadership transfer, in election timeouts
constexpr int kStoreCheckHeartbeats = 3;     // heartbeats between two rounds of store checks

using codec::decode_count;
using codec::decode_text;
using codec::Json;

void* raft_copy(std::string_view bytes) {
    void* copy = raft_malloc(std::max<std::size_t>(bytes.size(), 1));
    if (copy == nullptr) throw std::bad_alloc();
    std::memcpy(copy, bytes.data(), bytes.size());
    return copy;
}

std::string buffer_text(const raft_buffer& buffer) {
    return {static_cast<const char*>(buffer.base), buffer.len};
}

Json binary(std::string_view bytes) {
    return Json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

std::string decode_bytes(const Json& value) {
    const auto& bytes = value.get_binary();
    return {bytes.begin(), bytes.end()};
}

Json encode_row(const raft_configuration& configuration) {
    Json rows = Json::array();
    for (unsigned i = 0; i < configuration.n; ++i)
        rows.push_back(
            {configuration.servers[i].id, configuration.servers[i].address, configuration.servers[i].role});
    return rows;
}

void decode_configuration(const Json& rows, raft_configuration& configuration) {
    raft_configuration_init(&configuration);
    if (!rows.is_array() || rows.size() > 100) throw std::out_of_range("the list of voters is malformed");
    for (const auto& row : rows) {
        const int failed =
            raft_configuration_add(&configuration, decode_count(row.at(0)), decode_text(row.at(1)).c_str(),
                                   static_cast<int>(decode_count(row.at(2)) % 3));
        if (failed != 0) throw std::out_of_range("a voter is malformed");
    }
}

raft_id raft_id_of(const std::string& name, std::uint64_t identity) {
    return raft_digest(name.c_str(), identity) | 1U;
}

// Conversion of libraft messages to and from JSON rows. The library frees what decode_message allocates.
Json encode_row(const raft_message& message, raft_id from) {
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
            entries.push_back({m.entries[i].term, m.entries[i].type, binary(buffer_text(m.entries[i].buf))});
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
        row.push_back(encode_row(m.conf)), row.push_back(binary(buffer_text(m.data)));
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

// Throws on malformed input.
void decode_message(const Json& row, raft_message& message) {
    message.type = static_cast<unsigned short>(decode_count(row.at(0)));
    message.server_id = decode_count(row.at(1));
    const auto number = [&](std::size_t field) { return decode_count(row.at(field)); };
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
        if (!rows.is_array() || rows.size() > kMaxEntriesPerMessage)
            throw std::out_of_range("the list of log entries is malformed");
        if (rows.empty()) return;
        std::vector<LogEntry> entries;
        std::string joined;
        for (const auto& item : rows) {
            entries.push_back({decode_count(item.at(0)), static_cast<int>(decode_count(item.at(1))),
                               decode_bytes(item.at(2))});
            if (entries.back().kind < RAFT_COMMAND || entries.back().kind > RAFT_CHANGE)
                throw std::out_of_range("unknown type of log entry");
            joined += entries.back().bytes;
        }
        // The library expects all entries in one allocation.
        char* batch = static_cast<char*>(raft_copy(joined));
        auto* raft_entries = static_cast<raft_entry*>(raft_malloc(sizeof(raft_entry) * entries.size()));
        std::size_t offset = 0;
        for (std::size_t i = 0; i < entries.size(); ++i) {
            raft_entries[i] = {entries[i].term,
                               static_cast<unsigned short>(entries[i].kind),
                               {batch + offset, entries[i].bytes.size()},
                               batch};
            offset += entries[i].bytes.size();
        }
        message.append_entries.entries = raft_entries;
        message.append_entries.n_entries = static_cast<unsigned>(entries.size());
        return;
    }
    case RAFT_IO_APPEND_ENTRIES_RESULT:
        message.append_entries_result = {number(2), number(3), number(4)};
        return;
    case RAFT_IO_INSTALL_SNAPSHOT: {
        raft_install_snapshot& snapshot = message.install_snapshot;
        snapshot = {number(2), number(3), number(4), {}, number(5), {}};
        const std::string state = decode_bytes(row.at(7));
        decode_configuration(row.at(6), snapshot.conf);
        snapshot.data = {raft_copy(state), state.size()};
        return;
    }
    case RAFT_IO_TIMEOUT_NOW:
        message.timeout_now = {number(2), number(3), number(4)};
        return;
    default:
        throw std::out_of_range("unknown type of message");
    }
}

} // namespace

// The libraft instance and its callbacks, which find this object by `impl`. Completions go through
// `callbacks_`, as the library does not expect to be called from within its own calls.
struct ConsensusNode::Raft {
    explicit Raft(ConsensusNode& owner, raft_id own_id) : node(owner), id(own_id) {}
    ConsensusNode& node;
    raft_id id;
    raft_io io{};
    raft_fsm fsm{};
    raft machine{};
    raft_io_tick_cb tick = nullptr;
    raft_io_recv_cb recv = nullptr;
    bool started = false, failed = false, closed = false, membership_changing = false, transferring = false;
    raft_change change{};
    struct raft_transfer transfer {};
    std::function<void(bool)> changed;

    static Raft& of(const raft_io* io) { return *static_cast<Raft*>(io->impl); }
    template <class Write> int write(Write&& operation) {
        try {
            operation(node.store_);
            return 0;
        } catch (const RaftStoreError&) {
            failed = true;
            return RAFT_IOERR;
        }
    }
    static raft_snapshot* to_raft_snapshot(const StoredSnapshot& stored) {
        auto* snapshot = static_cast<raft_snapshot*>(raft_malloc(sizeof(raft_snapshot)));
        *snapshot = {};
        snapshot->index = stored.index, snapshot->term = stored.term,
        snapshot->configuration_index = stored.configuration_index;
        decode_configuration(Json::from_cbor(stored.voters.begin(), stored.voters.end()),
                             snapshot->configuration);
        snapshot->bufs = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
        snapshot->bufs[0] = {raft_copy(stored.state), stored.state.size()};
        snapshot->n_bufs = 1;
        return snapshot;
    }

    void set_callbacks() {
        io.version = 1, io.impl = this;
        io.init = [](raft_io*, raft_id, const char*) { return 0; };
        io.close = [](raft_io* handle, raft_io_close_cb cb) {
            of(handle).node.callbacks_.push_back([handle, cb] { cb(handle); });
        };
        io.load = [](raft_io* handle, raft_term* term, raft_id* vote, raft_snapshot** snapshot,
                     raft_index* first, raft_entry** entries, size_t* count) {
            return of(handle).write([&](RaftStore& store) {
                const StoredState stored = store.load();
                *term = stored.term, *vote = stored.vote, *first = stored.first;
                *snapshot = stored.snapshot ? to_raft_snapshot(*stored.snapshot) : nullptr;
                if (stored.entries.empty() && stored.snapshot) *first = stored.snapshot->index + 1;
                *count = stored.entries.size(), *entries = nullptr;
                if (stored.entries.empty()) return;
                *entries = static_cast<raft_entry*>(raft_malloc(sizeof(raft_entry) * stored.entries.size()));
                std::string joined;
                for (const LogEntry& entry : stored.entries) joined += entry.bytes;
                char* batch = static_cast<char*>(raft_copy(joined));
                std::size_t offset = 0, i = 0;
                for (const LogEntry& entry : stored.entries) {
                    (*entries)[i++] = {entry.term,
                                       static_cast<unsigned short>(entry.kind),
                                       {batch + offset, entry.bytes.size()},
                                       batch};
                    offset += entry.bytes.size();
                }
            });
        };
        io.start = [](raft_io* handle, unsigned, raft_io_tick_cb tick, raft_io_recv_cb recv) {
            of(handle).tick = tick, of(handle).recv = recv;
            return 0;
        };
        io.bootstrap = [](raft_io* handle, const raft_configuration* configuration) {
            return of(handle).write([&](RaftStore& store) {
                raft_buffer bytes{};
                if (raft_configuration_encode(configuration, &bytes) != 0)
                    throw RaftStoreError("out of memory");
                const std::string text = buffer_text(bytes);
                raft_free(bytes.base);
                store.set_term(1);
                store.append(1, {{1, RAFT_CHANGE, text}});
            });
        };
        io.recover = [](raft_io*, const raft_configuration*) { return RAFT_IOERR; };
        io.set_term = [](raft_io* handle, raft_term term) {
            return of(handle).write([&](RaftStore& store) { store.set_term(term); });
        };
        io.set_vote = [](raft_io* handle, raft_id candidate) {
            return of(handle).write([&](RaftStore& store) { store.set_vote(candidate); });
        };
        io.send = [](raft_io* handle, raft_io_send* request, const raft_message* message,
                     raft_io_send_cb cb) {
            Raft& self = of(handle);
            raft_message outgoing = *message;
            if (outgoing.type == RAFT_IO_APPEND_ENTRIES_RESULT)
                self.limit_acknowledged(outgoing.append_entries_result);
            // A node whose log is shorter than those of its peers at its start does not stand for election.
            const bool is_vote_request = outgoing.type == RAFT_IO_REQUEST_VOTE;
            if (!is_vote_request || !self.node.log_extent().shorter_than(self.node.required_log_))
                self.node.messages_.push_back(
                    {message->server_address, codec::pack_cbor(encode_row(outgoing, self.id))});
            self.node.callbacks_.push_back([request, cb] {
                if (cb != nullptr) cb(request, 0);
            });
            return 0;
        };
        io.append = [](raft_io* handle, raft_io_append* request, const raft_entry* entries, unsigned count,
                       raft_io_append_cb cb) {
            Raft& self = of(handle);
            // Indexes continue from the last stored entry: the library appends in order and truncates first.
            const int status = self.write([&](RaftStore& store) {
                std::vector<LogEntry> rows;
                for (unsigned i = 0; i < count; ++i)
                    rows.push_back({entries[i].term, entries[i].type, buffer_text(entries[i].buf)});
                store.append(self.next_index, rows);
                self.next_index += count;
            });
            self.node.callbacks_.push_back([request, cb, status] { cb(request, status); });
            return 0;
        };
        io.truncate = [](raft_io* handle, raft_index from) {
            Raft& self = of(handle);
            return self.write([&](RaftStore& store) {
                store.truncate(from);
                self.next_index = from;
            });
        };
        io.snapshot_put = [](raft_io* handle, unsigned trailing, raft_io_snapshot_put* request,
                             const raft_snapshot* snapshot, raft_io_snapshot_put_cb cb) {
            Raft& self = of(handle);
            const int status = self.write([&](RaftStore& store) {
                StoredSnapshot stored{snapshot->index,
                                      snapshot->term,
                                      snapshot->configuration_index,
                                      codec::pack_cbor(encode_row(snapshot->configuration)),
                                      {}};
                for (unsigned i = 0; i < snapshot->n_bufs; ++i)
                    stored.state += buffer_text(snapshot->bufs[i]);
                store.put_snapshot(stored, trailing);
                if (trailing == 0) self.next_index = snapshot->index + 1;
            });
            self.node.callbacks_.push_back([request, cb, status] { cb(request, status); });
            return 0;
        };
        io.snapshot_get = [](raft_io* handle, raft_io_snapshot_get* request, raft_io_snapshot_get_cb cb) {
            Raft& self = of(handle);
            self.node.callbacks_.push_back([&self, request, cb] {
                raft_snapshot* loaded = nullptr;
                const int status = self.write([&](RaftStore& store) {
                    const StoredState stored = store.load();
                    if (!stored.snapshot) throw RaftStoreError("the store has no snapshot");
                    loaded = to_raft_snapshot(*stored.snapshot);
                });
                cb(request, loaded, status);
            });
            return 0;
        };
        io.time = [](raft_io* handle) {
            return static_cast<raft_time>(of(handle).node.now_ * 1000 / kTicksPerSecond);
        };
        io.random = [](raft_io* handle, int min, int max) {
            return min + static_cast<int>(of(handle).node.random_.unit() * (max - min));
        };

        fsm.version = 1, fsm.data = this;
        fsm.apply = [](raft_fsm* handle, const raft_buffer* bytes, void** result) {
            *result = nullptr;
            ConsensusNode& node = static_cast<Raft*>(handle->data)->node;
            const auto command = decode(buffer_text(*bytes));
            if (!command) return 0; // from a later version; skipped on every node alike
            const CommandResult outcome = node.schedule_.apply(*command);
            if (node.on_applied) node.on_applied(*command, outcome);
            return 0;
        };
        fsm.snapshot = [](raft_fsm* handle, raft_buffer** buffers, unsigned* count) {
            const std::string state = static_cast<Raft*>(handle->data)->node.schedule_.encode();
            *buffers = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
            (*buffers)[0] = {raft_copy(state), state.size()};
            *count = 1;
            return 0;
        };
        fsm.restore = [](raft_fsm* handle, raft_buffer* bytes) {
            auto decoded = MaintenanceSchedule::decode(buffer_text(*bytes));
            if (!decoded) return RAFT_MALFORMED;
            static_cast<Raft*>(handle->data)->node.schedule_ = std::move(*decoded);
            raft_free(bytes->base);
            return 0;
        };
    }
    std::uint64_t next_index = 1; // of the next stored entry

    // libraft reports the length of the local log to the leader even in reply to an empty AppendEntries,
    // which proves only that the prefix matches. Entries of an earlier leader may follow that prefix, in
    // place of those that the new leader has: it would count this node among the replicas of its own entries
    // and commit too early. So the reported index is limited to what messages of this term have shown to
    // match.
    raft_term matched_term = 0;
    raft_index matched_index = 0, matching_index = 0;
    bool rejected = false;
    void limit_acknowledged(raft_append_entries_result& result) {
        if (result.rejected != 0) return void(rejected = true);
        const raft_index max_index =
            std::max(matching_index, result.term == matched_term ? matched_index : 0);
        result.last_log_index = std::min(result.last_log_index, max_index);
    }
    void receive(raft_message& message) {
        const bool append = message.type == RAFT_IO_APPEND_ENTRIES;
        const raft_term term = append ? message.append_entries.term : 0;
        const raft_index end =
            append ? message.append_entries.prev_log_index + message.append_entries.n_entries : 0;
        rejected = false, matching_index = end;
        recv(&io, &message);
        if (append && !rejected && term == machine.current_term) {
            if (term != matched_term) matched_term = term, matched_index = 0;
            matched_index = std::max(matched_index, end);
        }
        matching_index = 0;
    }
};

ConsensusNode::ConsensusNode(ConsensusSettings settings, RaftStore& store, Ticks now)
    : settings_(std::move(settings)), store_(store), random_(settings_.seed), now_(now) {
    open_at_ = now;
    step(now);
}

ConsensusNode::~ConsensusNode() { close(); }

// Records the new incarnation in the store before anything else is done.
void ConsensusNode::open() {
    open_at_ = now_ + kReopenHeartbeats * settings_.heartbeat; // if this attempt fails
    try {
        if (incarnation_.number == 0) {
            const VoterIncarnation before = store_.incarnation();
            const auto position =
                std::ranges::find(settings_.candidates, settings_.name) - settings_.candidates.begin();
            const bool is_initial_voter =
                position <
                static_cast<std::ptrdiff_t>(std::min(settings_.voter_count, settings_.candidates.size()));
            VoterIncarnation incarnation{
                before.number + 1, random_.next() | std::uint64_t{random_.next()} << 32U, before.identity};
            if (before.number == 0) incarnation.identity = is_initial_voter ? 0 : incarnation.number;
            store_.set_incarnation(incarnation);
            is_new_initial_voter_ = before.number == 0 && is_initial_voter;
            verified_ = before.number != 0 && store_.is_verified();
            incarnation_ = incarnation, known_incarnations_ = store_.known_incarnations(),
            known_voters_ = store_.voters();
            if (known_voters_.empty())
                known_voters_ = {settings_.candidates.begin(),
                                 settings_.candidates.begin() +
                                     static_cast<std::ptrdiff_t>(
                                         std::min(settings_.voter_count, settings_.candidates.size()))};
            const StoredState stored = store_.load();
            stored_log_ = {stored.term, 0, 0};
            if (stored.snapshot)
                stored_log_.last_term = stored.snapshot->term,
                stored_log_.last_index = stored.snapshot->index;
            if (!stored.entries.empty())
                stored_log_.last_term = stored.entries.back().term,
                stored_log_.last_index = stored.first + stored.entries.size() - 1;
            confirmed_by_.clear(), peer_logs_.clear(), required_log_ = {}, store_check_at_ = now_;
        }
        if (!store_confirmed()) return;
        const StoredState stored = store_.load();
        raft_ = std::make_unique<Raft>(*this, raft_id_of(settings_.name, incarnation_.identity));
        raft_->set_callbacks();
        raft_->next_index = stored.first + stored.entries.size();
        if (stored.entries.empty() && stored.snapshot) raft_->next_index = stored.snapshot->index + 1;
        schedule_ = {};
        raft& machine = raft_->machine;
        bool ok = raft_init(&machine, &raft_->io, &raft_->fsm, raft_->id, settings_.name.c_str()) == 0;
        machine.data = raft_.get();
        const auto heartbeat_ms = static_cast<unsigned>(settings_.heartbeat * 1000 / kTicksPerSecond);
        raft_set_heartbeat_timeout(&machine, std::max(1U, heartbeat_ms));
        raft_set_election_timeout(&machine, std::max(1U, heartbeat_ms) *
                                                static_cast<unsigned>(settings_.election_timeout_heartbeats));
        raft_set_install_snapshot_timeout(&machine,
                                          std::max(1U, heartbeat_ms) *
                                              static_cast<unsigned>(settings_.election_timeout_heartbeats));
        raft_set_snapshot_threshold(&machine, settings_.snapshot_threshold);
        raft_set_snapshot_trailing(&machine, settings_.snapshot_trailing);
        raft_set_pre_vote(&machine, true);
        if (ok && is_new_initial_voter_ && stored.term == 0 && stored.entries.empty() && !stored.snapshot) {
            raft_configuration configuration;
            raft_configuration_init(&configuration);
            for (std::size_t i = 0; i < std::min(settings_.voter_count, settings_.candidates.size()); ++i)
                raft_configuration_add(&configuration, raft_id_of(settings_.candidates[i], 0),
                                       settings_.candidates[i].c_str(), RAFT_VOTER);
            ok = raft_bootstrap(&machine, &configuration) == 0;
            raft_configuration_close(&configuration);
            if (ok) raft_->next_index = 2;
        }
        // This node may have voted in any term that its peers have seen, whatever the store says.
        const std::uint64_t term = std::max(stored.term, raft_->next_index > 1 ? std::uint64_t{1} : 0);
        if (required_log_.term > term) store_.set_term(required_log_.term);
        if (required_log_.term >= term && required_log_.term > 0 &&
            (stored.vote == 0 || required_log_.term > term))
            store_.set_vote(raft_->id);
        ok = ok && raft_start(&machine) == 0;
        raft_->started = ok, raft_->failed = raft_->failed || !ok;
        tick_at_ = now_;
    } catch (const RaftStoreError&) {
        if (raft_) raft_->failed = true;
    }
}

void ConsensusNode::close() {
    if (!raft_) return;
    raft_->machine.data = raft_.get();
    raft_close(&raft_->machine, [](raft* machine) { static_cast<Raft*>(machine->data)->closed = true; });
    while (!callbacks_.empty()) run_callbacks();
    raft_.reset();
}

void ConsensusNode::run_callbacks() {
    while (!callbacks_.empty()) {
        const auto next = std::move(callbacks_.front());
        callbacks_.pop_front();
        next();
    }
}

// Requires majorities of the candidates and of the known voters: any two such sets of peers intersect.
bool ConsensusNode::store_confirmed() const {
    const auto enough = [this](const std::vector<std::string>& names) {
        std::size_t others = 0, answered = 0;
        for (const std::string& name : names)
            if (name != settings_.name) ++others, answered += confirmed_by_.contains(name) ? 1 : 0;
        return others == 0 || answered >= others / 2 + 1;
    };
    return incarnation_.number != 0 && (verified_ || (enough(settings_.candidates) && enough(known_voters_)));
}

ConsensusPhase ConsensusNode::phase() const {
    if (incarnation_.number == 0) return ConsensusPhase::kUnavailable;
    if (!store_confirmed()) return store_lost_ ? ConsensusPhase::kStoreLost : ConsensusPhase::kVerifyingStore;
    if (!raft_ || !raft_->started || raft_->failed) return ConsensusPhase::kUnavailable;
    return ConsensusPhase::kParticipating;
}

ConsensusNode::LogExtent ConsensusNode::log_extent() const {
    if (!raft_ || !raft_->started) return stored_log_;
    const raft_log& log = raft_->machine.log;
    LogExtent extent{raft_->machine.current_term, log.snapshot.last_term,
                     raft_last_index(const_cast<raft*>(&raft_->machine))};
    if (log.front != log.back) extent.last_term = log.entries[(log.back + log.size - 1) % log.size].term;
    return extent;
}

// Entries of earlier terms are known to be committed only once an entry of the leader's own term is: until
// then the local state may be incomplete.
void ConsensusNode::on_elected() {
    leader_since_ = now_, up_to_date_ = false;
    leader_start_index_ = log_extent().last_index;
    struct Request {
        struct raft_barrier barrier {};
        ConsensusNode* node = nullptr;
        std::uint64_t term = 0;
    };
    auto* request = new Request{};
    request->node = this, request->term = term(), request->barrier.data = request;
    const int failed =
        ::raft_barrier(&raft_->machine, &request->barrier, [](struct raft_barrier* completed, int status) {
            const std::unique_ptr<Request> owned(static_cast<Request*>(completed->data));
            if (status == 0 && owned->node->term() == owned->term) owned->node->up_to_date_ = true;
        });
    if (failed != 0) {
        delete request;
        was_leader_ = false; // retried at the next step
    }
    run_callbacks();
}

// While this node leads, entries appended since its election count only for voters that acknowledged them.
ConsensusNode::LogExtent ConsensusNode::log_extent_known_to(const std::string& voter) const {
    LogExtent extent = log_extent();
    if (!is_leader() || !was_leader_) return extent;
    const auto ack = acknowledged_.find(voter);
    std::uint64_t index = leader_start_index_;
    if (ack != acknowledged_.end() && ack->second.term == extent.term)
        index = std::max(index, ack->second.index);
    if (index >= extent.last_index) return extent;
    const raft_log& log = raft_->machine.log;
    const std::size_t count = log.front <= log.back ? log.back - log.front : log.size - log.front + log.back;
    if (index <= log.offset || index > log.offset + count) {
        extent.last_index = std::max<std::uint64_t>(index, log.snapshot.last_index);
        extent.last_term = log.snapshot.last_term;
        return extent;
    }
    extent.last_index = index;
    extent.last_term = log.entries[(log.front + (index - log.offset - 1)) % log.size].term;
    return extent;
}

void ConsensusNode::store_voters() {
    if (!raft_ || !raft_->started || raft_->failed) return;
    const std::set<std::string> names = voters();
    if (names.empty() ||
        std::ranges::equal(names, std::set<std::string>(known_voters_.begin(), known_voters_.end())))
        return;
    try {
        store_.set_voters({names.begin(), names.end()});
        known_voters_ = {names.begin(), names.end()};
    } catch (const RaftStoreError&) { raft_->failed = true; }
}

void ConsensusNode::step(Ticks now) {
    now_ = std::max(now_, now);
    // libraft never ends a leadership transfer to a node that does not answer, and commits nothing
    // meanwhile.
    if (raft_ && raft_->transferring &&
        now_ > transfer_at_ +
                   kTransferTimeoutElections * settings_.election_timeout_heartbeats * settings_.heartbeat)
        raft_->failed = true;
    if (raft_ && raft_->failed) {
        // The library may hold more in memory than was stored; only the store counts.
        close();
        open_at_ = now_ + kReopenHeartbeats * settings_.heartbeat;
    }
    if (incarnation_.number == 0 && now_ >= open_at_) open();
    if (incarnation_.number != 0 && now_ >= store_check_at_) send_store_checks();
    if (store_confirmed() && !raft_ && now_ >= open_at_) open();
    store_voters();
    // The store may skip the check at the next start only if it has all that the peers had at this start.
    if (raft_ && raft_->started && !raft_->failed && !marked_verified_ &&
        !log_extent().shorter_than(required_log_))
        marked_verified_ = true, store_.mark_verified();
    if (raft_ && raft_->started && !raft_->failed && now_ >= tick_at_) {
        tick_at_ = now_ + std::max<Ticks>(1, settings_.heartbeat / 2);
        raft_->tick(&raft_->io);
        run_callbacks();
    }
    if (is_leader()) last_leader_contact_ = now_;
    if (is_leader() && !std::exchange(was_leader_, true)) on_elected();
    if (!is_leader()) was_leader_ = up_to_date_ = false;
}

Ticks ConsensusNode::next_step() const {
    if (incarnation_.number == 0) return open_at_;
    Ticks first = confirmed_by_.size() + 1 < settings_.candidates.size() ? store_check_at_
                                                                         : now_ + kTicksPerSecond * 3600;
    if (raft_ && !raft_->failed) return std::min(first, tick_at_);
    return phase() == ConsensusPhase::kUnavailable ? std::min(first, std::max(now_ + 1, open_at_)) : first;
}

std::vector<ConsensusMessage> ConsensusNode::take_messages() { return std::exchange(messages_, {}); }

bool ConsensusNode::is_leader() const {
    return raft_ && raft_->started && !raft_->failed &&
           raft_state(const_cast<raft*>(&raft_->machine)) == RAFT_LEADER;
}

std::uint64_t ConsensusNode::term() const {
    return raft_ && raft_->started ? raft_->machine.current_term : 0;
}

std::string ConsensusNode::leader() const {
    if (!raft_ || !raft_->started || raft_->failed) return {};
    raft_id id = 0;
    const char* name = nullptr;
    raft_leader(const_cast<raft*>(&raft_->machine), &id, &name);
    return name == nullptr ? "" : name;
}

bool ConsensusNode::is_voter() const {
    if (!raft_ || !raft_->started) return false;
    const raft_configuration& configuration = raft_->machine.configuration;
    for (unsigned i = 0; i < configuration.n; ++i)
        if (configuration.servers[i].id == raft_->id) return configuration.servers[i].role == RAFT_VOTER;
    return false;
}

std::set<std::string> ConsensusNode::voters() const {
    std::set<std::string> names;
    if (raft_ && raft_->started)
        for (unsigned i = 0; i < raft_->machine.configuration.n; ++i)
            if (raft_->machine.configuration.servers[i].role == RAFT_VOTER)
                names.insert(raft_->machine.configuration.servers[i].address);
    return names;
}

bool ConsensusNode::propose(const Command& command, std::function<void(bool)> done) {
    if (!is_leader()) return false;
    struct Request {
        struct raft_apply apply {};
        std::function<void(bool)> done;
    };
    const std::string bytes = encode(command);
    raft_buffer buffer{raft_copy(bytes), bytes.size()};
    auto* request = new Request{};
    request->apply.data = request, request->done = std::move(done);
    const int failed = ::raft_apply(
        &raft_->machine, &request->apply, &buffer, 1, [](struct raft_apply* completed, int status, void*) {
            const std::unique_ptr<Request> owned(static_cast<Request*>(completed->data));
            if (owned->done) owned->done(status == 0);
        });
    if (failed != 0) {
        raft_free(buffer.base);
        delete request;
    }
    run_callbacks();
    return failed == 0;
}

bool ConsensusNode::votes_as(const std::string& name, VoterIncarnation incarnation) const {
    if (!raft_ || !raft_->started) return false;
    for (unsigned i = 0; i < raft_->machine.configuration.n; ++i) {
        const raft_server& server = raft_->machine.configuration.servers[i];
        if (server.address == name)
            return server.id == raft_id_of(name, incarnation.identity) && server.role == RAFT_VOTER;
    }
    return false;
}

void ConsensusNode::transfer_leadership(const std::set<std::string>& eligible) {
    if (!is_leader() || raft_->transferring) return;
    for (unsigned i = 0; i < raft_->machine.configuration.n; ++i) {
        const raft_server& server = raft_->machine.configuration.servers[i];
        if (server.role != RAFT_VOTER || server.address == settings_.name ||
            !eligible.contains(server.address))
            continue;
        raft_->transfer.data = raft_.get();
        raft_->transferring =
            raft_transfer(&raft_->machine, &raft_->transfer, server.id, [](struct raft_transfer* completed) {
                static_cast<Raft*>(completed->data)->transferring = false;
            }) == 0;
        transfer_at_ = now_;
        run_callbacks();
        return;
    }
}

bool ConsensusNode::membership_changing() const { return raft_ && raft_->membership_changing; }

bool ConsensusNode::add_voter(const std::string& name, VoterIncarnation incarnation) {
    if (!is_leader() || raft_->membership_changing) return false;
    Raft& self = *raft_;
    self.change.data = &self;
    const raft_id id = raft_id_of(name, incarnation.identity);
    for (unsigned i = 0; i < self.machine.configuration.n; ++i) {
        const raft_server& server = self.machine.configuration.servers[i];
        if (server.id != id) continue;
        if (server.role == RAFT_VOTER) return false;
        self.membership_changing =
            raft_assign(&self.machine, &self.change, id, RAFT_VOTER, [](raft_change* completed, int) {
                static_cast<Raft*>(completed->data)->membership_changing = false;
            }) == 0;
        run_callbacks();
        return self.membership_changing;
    }
    self.membership_changing =
        raft_add(&self.machine, &self.change, id, name.c_str(), [](raft_change* completed, int) {
            static_cast<Raft*>(completed->data)->membership_changing = false;
        }) == 0;
    run_callbacks();
    return self.membership_changing;
}

std::string ConsensusNode::last_error() const { return raft_ ? raft_errmsg(&raft_->machine) : ""; }

bool ConsensusNode::remove_voter(const std::string& name) {
    if (!is_leader() || raft_->membership_changing) return false;
    Raft& self = *raft_;
    for (unsigned i = 0; i < self.machine.configuration.n; ++i) {
        const raft_server& server = self.machine.configuration.servers[i];
        if (server.address != name) continue;
        self.change.data = &self;
        self.membership_changing =
            raft_remove(&self.machine, &self.change, server.id, [](raft_change* completed, int) {
                static_cast<Raft*>(completed->data)->membership_changing = false;
            }) == 0;
        run_callbacks();
        return self.membership_changing;
    }
    return false;
}

MaintenanceSchedule ConsensusNode::uncommitted_schedule() const {
    MaintenanceSchedule schedule;
    try {
        const StoredState stored = store_.load();
        if (stored.snapshot)
            if (auto decoded = MaintenanceSchedule::decode(stored.snapshot->state))
                schedule = std::move(*decoded);
        std::uint64_t index = stored.first;
        for (const LogEntry& entry : stored.entries) {
            const bool after_snapshot = !stored.snapshot || index > stored.snapshot->index;
            if (++index, !after_snapshot || entry.kind != RAFT_COMMAND) continue;
            if (const auto command = decode(entry.bytes)) schedule.apply(*command);
        }
    } catch (const RaftStoreError&) { return schedule_; }
    return schedule;
}

// ---- store check

void ConsensusNode::send_store_checks() {
    store_check_at_ = now_ + kStoreCheckHeartbeats * settings_.heartbeat;
    const std::string bytes =
        codec::pack_cbor({kStoreCheck, incarnation_.number, incarnation_.nonce, incarnation_.identity,
                          stored_log_.term, stored_log_.last_term, stored_log_.last_index});
    for (const std::string& name : settings_.candidates)
        if (name != settings_.name && !confirmed_by_.contains(name)) messages_.push_back({name, bytes});
}

void ConsensusNode::answer_store_check(const std::string& from, VoterIncarnation incarnation,
                                       const LogExtent& /*log_extent*/) {
    if (incarnation.number == 0 || incarnation_.number == 0) return;
    VoterIncarnation& known = known_incarnations_[from];
    try {
        if (incarnation.number > known.number) {
            store_.record_incarnation(from, incarnation); // before the reply is sent
            // Its store was lost. Entries that only it held cannot be recovered and are not waited for: Raft
            // assumes that at most a minority loses its stores.
            if (incarnation.identity != known.identity)
                acknowledged_.erase(from), peer_logs_.erase(from), update_required_log();
            known = incarnation;
        }
    } catch (const RaftStoreError&) { return; }
    const Acknowledgement ack = acknowledged_[from];
    const LogExtent local_log = log_extent_known_to(from);
    messages_.push_back(
        {from,
         codec::pack_cbor({kStoreCheckReply, incarnation.nonce, known.number, known.nonce, known.identity,
                           ack.term, ack.index, local_log.term, local_log.last_term, local_log.last_index})});
}

void ConsensusNode::on_store_check_reply(const std::string& from, VoterIncarnation known,
                                         Acknowledgement acknowledged, const LogExtent& peer_log) {
    if (known != incarnation_) {
        if (verified_) return; // a later incarnation of this node has been recorded meanwhile, or none
        // Peers remember a later start than the store does: it was lost, or restored from a copy.
        if (known.number >= incarnation_.number) reset_store(known.number);
        return;
    }
    // Or they remember no later start, but more acknowledged entries than the store holds.
    if (!verified_ && (stored_log_.term < acknowledged.term || (stored_log_.term == acknowledged.term &&
                                                                stored_log_.last_index < acknowledged.index)))
        return reset_store(incarnation_.number);
    confirmed_by_.insert(from);
    if (verified_) return;
    peer_logs_[from] = peer_log;
    update_required_log();
}

void ConsensusNode::update_required_log() {
    required_log_ = {};
    for (const auto& [name, peer_log] : peer_logs_) {
        required_log_.term = std::max(required_log_.term, peer_log.term);
        if (required_log_.shorter_than(peer_log))
            required_log_.last_term = peer_log.last_term, required_log_.last_index = peer_log.last_index;
    }
}

void ConsensusNode::reset_store(std::uint64_t recorded_number) {
    if (raft_) return; // replies beyond the required majority add nothing
    store_lost_ = true;
    try {
        const VoterIncarnation incarnation{
            recorded_number + 1, random_.next() | std::uint64_t{random_.next()} << 32U, recorded_number + 1};
        store_.clear();
        store_.set_incarnation(incarnation);
        incarnation_ = incarnation, is_new_initial_voter_ = marked_verified_ = false, schedule_ = {},
        stored_log_ = {};
        confirmed_by_.clear(), peer_logs_.clear(), required_log_ = {};
        store_check_at_ = now_;
    } catch (const RaftStoreError&) {
        incarnation_ = {};
        open_at_ = now_ + kReopenHeartbeats * settings_.heartbeat;
    }
}

void ConsensusNode::receive(Ticks now, const std::string& from, std::string_view bytes) {
    now_ = std::max(now_, now);
    Json row;
    raft_message message{};
    try {
        row = Json::from_cbor(bytes.begin(), bytes.end());
        const std::uint64_t kind = decode_count(row.at(0));
        const auto number = [&](std::size_t field) { return decode_count(row.at(field)); };
        if (kind == kStoreCheck)
            return answer_store_check(from, {number(1), number(2), number(3)},
                                      {number(4), number(5), number(6)});
        if (kind == kStoreCheckReply) {
            if (number(1) != incarnation_.nonce) return; // reply to a check of an earlier incarnation
            on_store_check_reply(from, {number(2), number(3), number(4)}, {number(5), number(6)},
                                 {number(7), number(8), number(9)});
            return step(now_);
        }
        if (!raft_ || !raft_->started || raft_->failed) return;
        decode_message(row, message);
    } catch (const std::exception&) { return; }
    if (message.type == RAFT_IO_REQUEST_VOTE) {
        const raft_request_vote& vote = message.request_vote;
        if (LogExtent{vote.term, vote.last_log_term, vote.last_log_index}.shorter_than(required_log_)) return;
    }
    if (message.type == RAFT_IO_APPEND_ENTRIES_RESULT && message.append_entries_result.rejected == 0) {
        Acknowledgement& ack = acknowledged_[from];
        const Acknowledgement reported{message.append_entries_result.term,
                                       message.append_entries_result.last_log_index};
        if (std::pair(reported.term, reported.index) > std::pair(ack.term, ack.index)) ack = reported;
    }
    message.server_address = from.c_str();
    if (message.type == RAFT_IO_APPEND_ENTRIES || message.type == RAFT_IO_INSTALL_SNAPSHOT)
        last_leader_contact_ = now_;
    raft_->receive(message);
    run_callbacks();
    step(now_);
}

} // namespace ivyrill::maintenance
