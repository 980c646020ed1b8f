// A fake host for the search scheduler: records its actions and returns attempts as a test says. Also the
// runner that the assert-based tests share.
#pragma once
#include "search_scheduler.hpp"

#include <algorithm>
#include <cassert>
#include <iostream>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ivyrill {

struct Test {
    const char* name;
    void (*run)();
};
#define TEST(name)                                                                                           \
    { #name, name }

inline int run_test(std::span<const Test> tests, int count, char** arguments) {
    for (const Test& test : tests) {
        if (count != 2 || std::string_view(arguments[1]) != test.name) continue;
        test.run();
        return 0;
    }
    std::cerr << "no such test\n";
    return 1;
}

constexpr Ticks ms(double count) { return static_cast<Ticks>(count * 10); }

struct Sent {
    PartId part;
    AttemptNo attempt;
    ServerId server;
    Ticks send_within = 0, at = 0;
    bool ended = false, cancelled = false;
};
enum class End { kNone, kComplete, kPartial, kRejected, kFailed };

// One cell, one request class with a latency target of 1 s and a deadline of 2 s.
inline SchedulerConfig default_config() {
    SchedulerConfig config;
    RequestClassConfig request_class;
    request_class.latency_target = ms(1000);
    request_class.deadline = ms(2000);
    request_class.late_utility_ratio = 0.1;
    config.request_classes = {request_class};
    config.tenants = {{1000}};
    config.front_nodes = 3;
    config.decision_interval = ms(5);
    config.warm_up_time = ms(10000);
    config.cold_capacity_ratio = 0.2;
    config.overload_window = ms(1000);
    config.overload_factor = 2;
    config.max_attempts = 4;
    config.may_cancel = config.may_probe = config.hedging_enabled = true;
    return config;
}

class FakeHost : public SchedulerHost {
  public:
    explicit FakeHost(const SchedulerConfig& config, int servers = 3)
        : scheduler(make_search_scheduler(config)) {
        ServerListUpdate update{ServerListKind::kPersisted, {}};
        for (int i = 0; i < servers; ++i) update.entries.push_back(entry(i));
        handle(update);
    }

    static ListEntry entry(int server, ListedState listed = ListedState::kLive, Ticks started = 0) {
        return {ServerId{static_cast<std::uint32_t>(server)}, {}, {}, {}, listed, 1, started};
    }

    void handle(const Event& event) { scheduler->handle(now, event); }
    void turn() { scheduler->decide(now, *this); }
    void pass(Ticks span) { // advances the clock, with a turn every 5 ms
        for (const Ticks end = now + span; now < end;) now += ms(5), turn();
    }

    // Starts a search with a part at each of these shards, then decides.
    SearchId search(std::vector<int> shards, Ticks left = ms(2000), int request_class = 0) {
        const SearchId id{next_id++};
        const JobNo job{next_job++};
        handle(SearchAccepted{id, job, RequestClassNo{request_class}, {}, left, false});
        add_parts(job, std::move(shards));
        turn();
        return id;
    }
    void add_parts(JobNo job, std::vector<int> shards) {
        for (const int shard : shards)
            handle(
                PartAdded{PartId{next_id++}, job, ShardNo{shard}, 1.0 / static_cast<double>(shards.size())});
    }

    void end(std::size_t at, Outcome outcome, Ticks took, LoadReport report = {}) {
        assert(!sent.at(at).ended);
        sent[at].ended = true;
        handle(AttemptEnded{sent[at].part, sent[at].attempt, sent[at].server, outcome, took, report});
    }
    // Ends all attempts in flight at this server, or at any.
    void end_all(Outcome outcome, Ticks took, int server = -1, LoadReport report = {}) {
        for (std::size_t i = 0; i < sent.size(); ++i)
            if (!sent[i].ended &&
                (server < 0 || sent[i].server == ServerId{static_cast<std::uint32_t>(server)}))
                end(i, outcome, took, report);
        turn();
    }
    // Warms up the scheduler's latency estimates: parts take this long, and servers report this queue length.
    void warm(int servers, Ticks took = ms(50), double queued = 0) {
        for (int round = 0; round < 12 * servers; ++round) {
            search({0});
            pass(took);
            end_all(Outcome::kAnswered, took, -1, LoadReport{{}, queued});
        }
    }

    int sent_to(int server) const {
        return static_cast<int>(std::count_if(sent.begin(), sent.end(), [&](auto& attempt) {
            return attempt.server == ServerId{static_cast<std::uint32_t>(server)};
        }));
    }
    End end_of(SearchId id) const {
        const auto found = ends.find(id);
        return found == ends.end() ? End::kNone : found->second;
    }

    void attempt(PartId part, ServerId server, Ticks time_out, Ticks send_within) override {
        assert(time_out > 0 && send_within > 0);
        const auto earlier = std::count_if(sent.begin(), sent.end(), [&](auto& l) { return l.part == part; });
        sent.push_back({part, AttemptNo{static_cast<std::uint32_t>(earlier)}, server, send_within, now});
    }
    void cancel_attempt(PartId part, AttemptNo number) override {
        for (Sent& attempt : sent)
            if (attempt.part == part && attempt.attempt == number) attempt.cancelled = true;
    }
    void answer(SearchId id, bool whole) override { finish(id, whole ? End::kComplete : End::kPartial); }
    void reject(SearchId id, Ticks retry_after) override {
        finish(id, End::kRejected);
        retry_advice = retry_after;
    }
    void fail(SearchId id) override { finish(id, End::kFailed); }
    void probe(ServerId server) override { probes.push_back(server); }
    void close_idle_connections(ServerId server) override { idle_closed.push_back(server); }
    void schedule_wakeup(Ticks in) override { assert(in > 0); }
    void subscribe() override { ++subscribed; }

    std::unique_ptr<SearchScheduler> scheduler;
    Ticks now = ms(1000);
    std::vector<Sent> sent;
    std::map<SearchId, End> ends;
    std::vector<ServerId> probes, idle_closed;
    int subscribed = 0, answers = 0;
    Ticks retry_advice = 0;
    std::uint32_t next_id = 1;
    std::uint64_t next_job = 1;

  private:
    void finish(SearchId id, End end) {
        if (end == End::kComplete || end == End::kPartial) ++answers;
        ends[id] = end;
    }
};

} // namespace ivyrill
