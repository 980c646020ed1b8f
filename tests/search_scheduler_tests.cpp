// Tests of the search scheduler against a fake host. `search_scheduler_tests NAME` runs one.
#include "fake_host.hpp"

#include "base/pcg.hpp"

#include <cmath>
#include <deque>
#include <memory>

namespace ivyrill {

namespace {

void lowest_score_wins() {
    FakeHost host(default_config());
    host.warm(3);
    for (int i = 0; i < 3; ++i) host.search({0}); // one at each
    host.pass(ms(50));
    host.end_all(Outcome::kAnswered, ms(400), 0);
    host.end_all(Outcome::kAnswered, ms(30), 1);
    host.end_all(Outcome::kAnswered, ms(400), 2);
    host.sent.clear();
    host.search({0});
    assert(host.sent_to(1) == 1);
}

void outstanding_parts_spread() {
    FakeHost host(default_config());
    host.search({0, 0, 0});
    for (int server = 0; server < 3; ++server) assert(host.sent_to(server) == 1);
}

void reported_queue_repels() {
    FakeHost host(default_config());
    host.warm(3);
    for (int i = 0; i < 3; ++i) host.search({0});
    host.pass(ms(50));
    host.end_all(Outcome::kAnswered, ms(50), 0, LoadReport{{}, 9.0});
    host.end_all(Outcome::kAnswered, ms(50), 1, LoadReport{9.0, {}}); // in flight stands in for queued
    host.end_all(Outcome::kAnswered, ms(50), 2, LoadReport{{}, 0.0});
    host.sent.clear();
    host.search({0});
    assert(host.sent_to(2) == 1);
}

void limit_rises_and_is_cut() {
    FakeHost host(default_config(), 1);
    host.warm(1, ms(5));
    for (int i = 0; i < 12; ++i) host.search({0});
    assert(host.sent.size() == 12 + 10);     // ten a window to start with
    host.end_all(Outcome::kAnswered, ms(5)); // a backlog, and few answers: the limit is cut
    host.pass(ms(40));
    host.end_all(Outcome::kAnswered, ms(5));
    const std::size_t before = host.sent.size();
    for (int i = 0; i < 30; ++i) host.search({0});
    assert(host.sent.size() - before < 10);
}

// A closed-loop client must not be held to the initial limit of ten parts in 20 ms while servers are idle.
void idle_server_is_not_rate_limited() {
    FakeHost host(default_config(), 1);
    host.warm(1, ms(5));
    host.pass(ms(40));
    host.sent.clear();
    for (int i = 0; i < 40; ++i) { // within one window, each answered before the next is sent
        host.search({0});
        host.end_all(Outcome::kAnswered, 1);
    }
    assert(host.sent.size() == 40);
    host.pass(ms(40));
    host.sent.clear();
    for (int i = 0; i < 200; ++i) host.search({0}); // the limit still protects the server from a flood
    assert(host.sent.size() < 100);
}

void backlog_drains() {
    FakeHost host(default_config(), 1);
    host.warm(1, ms(5));
    host.sent.clear();
    for (int i = 0; i < 15; ++i) host.search({0});
    assert(host.sent.size() == 10);
    host.pass(ms(25)); // the next window has room
    assert(host.sent.size() == 15);
}

void new_server_scores_as_the_mean() {
    FakeHost host(default_config(), 2);
    host.warm(2, ms(50));
    host.handle(ServerListUpdate{ServerListKind::kDelta, {FakeHost::entry(2)}});
    host.sent.clear();
    host.search({0, 0, 0}); // as good as the others and no better
    assert(host.sent_to(0) == 1 && host.sent_to(1) == 1 && host.sent_to(2) == 1);
}

void siblings_share_a_call() {
    int split = 0;
    for (std::uint64_t seed = 0; seed < 8; ++seed) {
        SchedulerConfig config = default_config();
        config.seed = seed;
        FakeHost separate(config, 2);
        config.call_overhead = ms(100);
        FakeHost together(config, 2);
        for (FakeHost* host : {&separate, &together}) {
            host->search({0});    // one server has an attempt in flight
            host->search({0, 0}); // the other gets the first; does the second join its call?
        }
        split += separate.sent[1].server != separate.sent[2].server ? 1 : 0;
        assert(together.sent[1].server == together.sent[2].server);
    }
    assert(split > 0 && split < 8); // equal scores: a random choice, by the seed
}

void complete_answer_once_all_parts_are_answered() {
    FakeHost host(default_config());
    const SearchId id = host.search({0, 1});
    host.end(0, Outcome::kAnswered, ms(40));
    host.turn();
    assert(host.end_of(id) == End::kNone);
    host.end(1, Outcome::kAnswered, ms(40));
    host.turn();
    assert(host.end_of(id) == End::kComplete);
    host.pass(ms(3000));
    assert(host.answers == 1 && host.sent.size() == 2);
}

void second_step_completes_the_search() {
    SchedulerConfig config = default_config();
    config.request_classes[0].follow_up_parts = 1;
    FakeHost host(config);
    const SearchId id = host.search({0, 1});
    host.end_all(Outcome::kAnswered, ms(40));
    assert(host.answers == 1);
    host.add_parts(JobNo{1}, {1});
    host.turn();
    assert(host.answers == 1 && host.sent.size() == 3);
    host.end_all(Outcome::kAnswered, ms(40));
    assert(host.answers == 2 && host.end_of(id) == End::kComplete);
}

void search_ends_before_its_deadline() {
    FakeHost host(default_config());
    const SearchId id = host.search({0, 1});
    host.pass(ms(1985));
    assert(host.end_of(id) == End::kRejected);
    for (std::size_t i = 0; i < host.sent.size(); ++i) assert(host.sent[i].cancelled);
    const std::size_t attempts = host.sent.size();
    host.end_all(Outcome::kCancelled, ms(1990));
    host.pass(ms(500));
    assert(host.sent.size() == attempts);
}

void partial_answer_at_the_latency_target() {
    SchedulerConfig config = default_config();
    config.request_classes[0].min_answer_weight = 0.5;
    FakeHost host(config);
    const SearchId enough = host.search({0, 1}), none = host.search({0, 1});
    host.end(0, Outcome::kAnswered, ms(40));
    host.pass(ms(975));
    assert(host.end_of(enough) == End::kNone && host.end_of(none) == End::kNone);
    host.pass(ms(20));
    assert(host.end_of(enough) == End::kPartial && host.end_of(none) != End::kPartial);
}

void non_idempotent_is_not_retried() {
    SchedulerConfig config = default_config();
    config.request_classes[0].idempotency = Idempotency::kNonIdempotent;
    FakeHost host(config);
    const SearchId maybe = host.search({0});
    host.end_all(Outcome::kError, ms(5)); // it may have run
    assert(host.end_of(maybe) == End::kFailed && host.sent.size() == 1);
    const SearchId waiting = host.search({0});
    host.pass(ms(1990));
    assert(host.end_of(waiting) == End::kFailed && host.sent.size() == 2);
}

void keyed_retries_within_dedup_window() {
    SchedulerConfig config = default_config();
    config.request_classes[0].idempotency = Idempotency::kIdempotencyKey;
    config.request_classes[0].dedup_window = ms(300);
    FakeHost host(config);
    host.search({0});
    host.end_all(Outcome::kError, ms(5));
    assert(host.sent.size() == 2);
    host.pass(ms(290));
    host.end_all(Outcome::kError, ms(290)); // the window counts from the first attempt that may have run
    host.pass(ms(100));
    assert(host.sent.size() == 2);
}

void not_run_is_retried() {
    SchedulerConfig config = default_config();
    config.request_classes[0].idempotency = Idempotency::kNonIdempotent;
    FakeHost host(config);
    const SearchId id = host.search({0});
    host.end_all(Outcome::kRejected, ms(1));
    host.end_all(Outcome::kConnectTimeout, ms(250));
    assert(host.sent.size() == 2); // a full or unreachable set of replicas is not retried at once
    host.pass(ms(200));
    assert(host.sent.size() == 3 && host.end_of(id) == End::kNone);
    assert(host.sent[0].server != host.sent[1].server);
}

void draining_and_gone_servers_get_nothing() {
    FakeHost host(default_config());
    host.handle(ServerListUpdate{
        ServerListKind::kDelta,
        {FakeHost::entry(0, ListedState::kDraining), FakeHost::entry(1, ListedState::kGone)}});
    for (int i = 0; i < 6; ++i) host.search({0});
    assert(host.sent_to(2) == 6);
    host.handle(
        ServerListUpdate{ServerListKind::kFull, {FakeHost::entry(0)}}); // the whole list replaces the old one
    host.sent.clear();
    host.search({0, 0});
    assert(host.sent_to(0) == 2);
}

void cold_server_gets_reduced_load() {
    FakeHost host(default_config(), 2);
    host.warm(2, ms(100));
    host.handle(ServerListUpdate{ServerListKind::kDelta, {FakeHost::entry(1, ListedState::kLive, host.now)}});
    host.sent.clear();
    for (int i = 0; i < 50; ++i) host.search({0}), host.pass(ms(20));
    // Overload factor 2, a fifth of the capacity and rising, 20 parts a second, three front nodes.
    assert(host.sent_to(1) >= 1 && host.sent_to(1) <= 4);
}

// A connect time-out does not mean that the server restarted: treating it as cold for a whole warm-up removed
// servers whenever a third of the connections were slow. A refused connection does.
void connect_timeout_does_not_make_a_server_cold() {
    for (const bool refused : {false, true}) {
        FakeHost host(default_config(), 1);
        host.warm(1, ms(100));
        host.search({0});
        host.end_all(refused ? Outcome::kConnectionRefused : Outcome::kConnectTimeout, ms(refused ? 1 : 250));
        for (int i = 0; i < 4; ++i) { // probes pass until its trial begins
            host.pass(ms(200));
            for (const ServerId id : host.probes) host.handle(ProbeEnded{id, true, ms(1), {}});
            host.probes.clear();
        }
        host.sent.clear();
        for (int i = 0; i < 20; ++i) {
            host.search({0}), host.pass(ms(20));
            host.end_all(Outcome::kAnswered, ms(20));
        }
        assert(refused ? host.sent.size() <= 8 : host.sent.size() >= 18);
    }
}

void cold_server_gets_reduced_load_from_many_nodes() {
    int sum = 0;
    for (std::uint64_t seed = 0; seed < 60; ++seed) { // all learn of the start at once and have traffic
        SchedulerConfig config = default_config();
        config.front_nodes = 60, config.seed = seed;
        FakeHost host(config, 2);
        host.warm(2, ms(100));
        host.handle(
            ServerListUpdate{ServerListKind::kDelta, {FakeHost::entry(1, ListedState::kLive, host.now)}});
        host.sent.clear();
        for (int i = 0; i < 50; ++i) host.search({0}), host.pass(ms(20));
        sum += host.sent_to(1);
    }
    assert(sum >= 1 && sum <= 8); // two cores, a fifth of their capacity, overload factor 2
}

// With 300 front nodes, a gap computed from the capacity at the start alone outlasts the whole warm-up, and
// warm servers carry all load. The total rate must grow with the cold server's capacity.
void rising_cold_server_is_used_by_many_nodes() {
    int early = 0, late = 0;
    for (std::uint64_t seed = 0; seed < 60; ++seed) {
        SchedulerConfig config = default_config();
        config.front_nodes = 60, config.seed = seed;
        FakeHost host(config, 2);
        host.warm(2, ms(100));
        host.handle(
            ServerListUpdate{ServerListKind::kDelta, {FakeHost::entry(1, ListedState::kLive, host.now)}});
        host.sent.clear();
        const auto second = [&] {
            const int before = host.sent_to(1);
            for (int i = 0; i < 20; ++i)
                host.search({0}), host.pass(ms(50)), host.end_all(Outcome::kAnswered, ms(100));
            return host.sent_to(1) - before;
        };
        early += second();
        for (int i = 0; i < 7; ++i) second();
        late += second();
    }
    // About 20 parts a second when warm: a fifth and seven eighths of them, at most doubled, half in
    // practice.
    assert(early <= 8 && late >= 3 * early && late >= 9 && late <= 36);
}

// One of three servers has just started, load exceeds its budget, and front nodes do not coordinate: in no
// window may the total of all nodes exceed the budget by more than random variation.
void cold_server_gets_no_more_from_many_nodes() {
    for (const int nodes : {2, 20, 30}) {
        SchedulerConfig config = default_config();
        config.front_nodes = nodes;
        std::vector<std::unique_ptr<FakeHost>> hosts;
        for (int i = 0; i < nodes; ++i) {
            config.seed = static_cast<std::uint64_t>(100 + i);
            hosts.push_back(std::make_unique<FakeHost>(config));
            hosts.back()->warm(3);
        }
        Ticks now = 0;
        for (auto& host : hosts) now = std::max(now, host->now);
        const Ticks start = now, service = ms(50);
        for (auto& host : hosts) {
            host->now = now, host->sent.clear();
            host->handle(
                ServerListUpdate{ServerListKind::kDelta, {FakeHost::entry(0, ListedState::kLive, start)}});
        }
        Pcg chance(static_cast<std::uint64_t>(nodes));
        std::deque<Ticks> sent;
        std::size_t all = 0;
        for (; now < start + config.warm_up_time; now += ms(5)) {
            for (auto& host : hosts) {
                host->now = now;
                const std::size_t before = host->sent.size();
                for (std::size_t at = 0; at < before; ++at)
                    if (!host->sent[at].ended && now >= host->sent[at].at + service)
                        host->end(at, Outcome::kAnswered, service, LoadReport{{}, 0.0});
                if (chance.unit() < 3.0 / nodes) host->search({0}); // 600 a second in all
                host->turn();
                for (std::size_t at = before; at < host->sent.size(); ++at)
                    if (host->sent[at].server == ServerId{0}) sent.push_back(now), ++all;
            }
            while (!sent.empty() && sent.front() <= now - config.overload_window) sent.pop_front();
            const double share = config.cold_capacity_ratio + (1 - config.cold_capacity_ratio) *
                                                                  static_cast<double>(now - start) /
                                                                  config.warm_up_time;
            const double budget =
                2 * config.overload_factor * share * config.overload_window / service; // two cores
            if (static_cast<double>(sent.size()) > budget + 2 * std::sqrt(budget) + 2)
                std::cerr << nodes << " nodes: " << sent.size() << " of " << budget << "\n";
            assert(static_cast<double>(sent.size()) <= budget + 2 * std::sqrt(budget) + 2);
        }
        assert(all > 100); // it is used, too
    }
}

// Parts used to circulate among full servers until their search timed out. A server that rejected a part gets
// nothing for a latency target; if all have, a search is rejected before any of its parts is sent.
void full_server_gets_nothing_for_a_while() {
    FakeHost host(default_config(), 2);
    host.warm(2);
    host.search({0});
    const ServerId full = host.sent.back().server;
    host.end(host.sent.size() - 1, Outcome::kRejected, ms(1));
    host.turn();
    assert(host.sent.back().server != full); // the other one, at once
    host.end_all(Outcome::kAnswered, ms(50));
    const int before = host.sent_to(static_cast<int>(full.value));
    for (int i = 0; i < 10; ++i)
        host.search({0}), host.pass(ms(50)), host.end_all(Outcome::kAnswered, ms(50));
    assert(host.sent_to(static_cast<int>(full.value)) == before && host.probes.empty());
    host.search({0});
    host.end_all(Outcome::kRejected, ms(1)); // now both are
    const std::size_t sent = host.sent.size();
    assert(host.end_of(host.search({0}, ms(600))) == End::kRejected && host.sent.size() == sent);
    host.pass(ms(2600));
    assert(host.end_of(host.search({0})) == End::kNone && host.sent.size() > sent);
}

// Without an overload window, or with no capacity at the start, the gap must stay finite.
void cold_server_without_a_window_is_used() {
    for (const bool from_nothing : {false, true}) {
        SchedulerConfig config = default_config();
        (from_nothing ? config.cold_capacity_ratio : config.overload_factor) = from_nothing ? 0 : 2;
        if (!from_nothing) config.overload_window = 0;
        FakeHost host(config, 2);
        host.warm(2, ms(100));
        host.handle(
            ServerListUpdate{ServerListKind::kDelta, {FakeHost::entry(1, ListedState::kLive, host.now)}});
        host.sent.clear();
        for (int i = 0; i < 180; ++i)
            host.search({0}), host.pass(ms(50)), host.end_all(Outcome::kAnswered, ms(100));
        assert(host.sent_to(1) >= 1 && host.sent_to(1) <= 90);
    }
}

// With 300 front nodes each reaches a given server once in seconds. Its reported queue must not decay within
// a latency target, or every search runs into it again.
void queue_is_remembered_between_rare_answers() {
    for (const bool rare : {false, true}) {
        FakeHost host(default_config(), 1);
        for (int i = 0; i < 40; ++i) { // answers a second apart, or in quick succession
            host.search({0}), host.pass(ms(50)), host.end_all(Outcome::kAnswered, ms(50), -1, {{}, 0.0});
            if (rare) host.pass(ms(950));
        }
        host.search({0}), host.pass(ms(50));
        for (int i = 0; i < 3; ++i)
            host.end_all(Outcome::kAnswered, ms(900), -1, {{}, 40.0}), host.search({0});
        host.end_all(Outcome::kAnswered, ms(900), -1, {{}, 40.0});
        host.pass(ms(800));
        const SearchId id = host.search({0}, ms(600));
        assert((host.end_of(id) == End::kRejected) == rare);
    }
}

void retry_budget_is_enforced() {
    SchedulerConfig config = default_config();
    config.has_retry_budget = true;
    config.retry_slack = 1;
    config.retry_ratio = 0;
    config.retry_window = ms(5000);
    FakeHost host(config);
    host.search({0});
    host.end_all(Outcome::kError, ms(5));
    assert(host.sent.size() == 2);
    host.end_all(Outcome::kError, ms(5));
    host.pass(ms(500));
    assert(host.sent.size() == 2);
}

void lost_attempt_is_hedged() {
    FakeHost host(default_config(), 2);
    host.warm(2);
    host.sent.clear();
    host.search({0});
    host.pass(ms(380));
    assert(host.sent.size() == 2 && host.sent[0].server != host.sent[1].server);
    host.end(1, Outcome::kAnswered, ms(40));
    host.turn();
    assert(host.answers == 25 && host.sent[0].cancelled);
    host.end_all(Outcome::kCancelled, ms(420));
    assert(host.probes.empty()); // one lost attempt ejects no server
}

void overdue_attempt_is_cancelled_without_hedging() {
    SchedulerConfig config = default_config();
    config.hedging_enabled = false;
    FakeHost host(config, 2);
    host.warm(2);
    host.sent.clear();
    host.search({0});
    host.pass(ms(380));
    assert(host.sent.size() == 1 && host.sent[0].cancelled);
    host.end_all(Outcome::kCancelled, ms(380));
    assert(host.sent.size() == 2 && host.sent[0].server != host.sent[1].server);
}

void silent_server_returns_after_probes() {
    FakeHost host(default_config(), 2);
    host.warm(2);
    host.sent.clear();
    host.search({0, 0, 0, 0});
    for (int i = 0; i < 8; ++i, host.pass(ms(100))) host.end_all(Outcome::kAnswered, ms(40), 1);
    assert(!host.probes.empty() && host.probes[0] == ServerId{0});
    host.end_all(Outcome::kAnswered, ms(40), 1);
    host.end_all(Outcome::kCancelled, ms(600), 0);
    host.sent.clear();
    for (int i = 0; i < 3; ++i) host.search({0});
    assert(host.sent_to(0) == 0);
    host.end_all(Outcome::kAnswered, ms(40), 1);
    for (int probe = 0; probe < 2; ++probe) {
        host.handle(ProbeEnded{ServerId{0}, true, ms(2), {}});
        host.pass(ms(200));
        host.end_all(Outcome::kAnswered, ms(40), 1);
    }
    host.sent.clear();
    for (int i = 0; i < 6; ++i) host.search({0});
    assert(host.sent_to(0) == 1); // on trial: one attempt at first
}

void fast_errors_do_not_attract_load() {
    FakeHost host(default_config(), 3);
    host.warm(3);
    host.sent.clear();
    for (int i = 0; i < 30; ++i) {
        host.search({0});
        host.end_all(Outcome::kError, ms(1), 0);
        host.pass(ms(50));
        host.end_all(Outcome::kAnswered, ms(50));
    }
    assert(host.sent_to(0) <= 4);
}

void queue_decays_without_answers() {
    FakeHost host(default_config(), 1);
    host.warm(1, ms(50));
    host.search({0});
    host.pass(ms(50));
    host.end_all(Outcome::kAnswered, ms(50), -1, LoadReport{{}, 200.0});
    const SearchId now = host.search({0});
    assert(host.end_of(now) == End::kRejected); // a queue of sixty parts would take three seconds
    host.pass(ms(6000));
    assert(host.end_of(host.search({0})) == End::kNone);
}

void costly_search_is_not_hedged() {
    SchedulerConfig config = default_config();
    config.hedging_enabled = false;
    FakeHost host(config);
    host.warm(3);
    host.sent.clear();
    host.search({0, 0, 0}); // all its parts are slow, at servers that answer others meanwhile
    for (int i = 0; i < 8; ++i) {
        host.pass(ms(40));
        host.search({0});
        host.end(host.sent.size() - 1, Outcome::kAnswered, ms(5));
        host.search({0});
        host.end(host.sent.size() - 1, Outcome::kAnswered, ms(5));
        host.search({0});
        host.end(host.sent.size() - 1, Outcome::kAnswered, ms(5));
    }
    for (int part = 0; part < 3; ++part) assert(!host.sent[static_cast<std::size_t>(part)].cancelled);
}

// The network resets connections and all attempts on them are lost; the servers are healthy.
void lost_connection_does_not_eject_its_server() {
    FakeHost host(default_config(), 1);
    host.warm(1);
    const std::size_t before = host.sent.size();
    host.search({0, 0, 0});
    host.end_all(Outcome::kConnectionLost, ms(10));
    assert(host.sent.size() == before + 6); // all three are retried at once
    host.end_all(Outcome::kAnswered, ms(50));
    assert(host.answers == 13 && host.probes.empty());
    host.search({0});
    host.end_all(Outcome::kConnectTimeout, ms(1)); // an unreachable server is probed
    host.pass(ms(400));
    assert(!host.probes.empty());
}

void crashing_search_sends_one_part_at_a_time() {
    FakeHost host(default_config(), 6);
    const SearchId first = host.search({0, 0, 0});
    host.end_all(Outcome::kConnectionLost, ms(10)); // three connections were lost during it
    assert(host.end_of(first) == End::kFailed && host.sent.size() == 3);
    const SearchId sound = host.search({0, 0, 0});
    host.end_all(Outcome::kConnectTimeout, ms(1)); // three servers become unreachable in quick succession
    assert(host.sent.size() == 7);                 // other searches may crash servers too: one part at a time
    const SearchId second = host.search({0, 0});
    assert(host.sent.size() == 8);
    host.end(7, Outcome::kConnectionLost, ms(10)), host.turn();
    assert(host.end_of(second) == End::kFailed && host.sent.size() == 8);
    host.end_all(Outcome::kAnswered, ms(10));
    assert(host.sent.size() == 10); // after one answer the other parts are sent together
    host.end_all(Outcome::kAnswered, ms(10));
    assert(host.end_of(sound) == End::kComplete);
    host.pass(ms(20000)); // the crash count has decayed
    host.search({0, 0});
    assert(host.sent.size() == 12);
}

// With many front nodes every connection is idle for long, so two slow parts in a row must not count as
// dropped connections.
void two_slow_parts_renew_no_connection() {
    FakeHost host(default_config());
    host.warm(3);
    for (int i = 0; i < 2; ++i) {
        host.pass(ms(600));
        host.search({0});
        host.pass(ms(500)); // longer than any hedge delay
        host.end_all(Outcome::kTimedOut, ms(500));
    }
    for (int i = 0; i < 6; ++i)
        host.pass(ms(600)), host.search({0}), host.end_all(Outcome::kAnswered, ms(50));
    assert(host.idle_closed.empty());
}

// The network silently drops idle connections: attempts over them get no answer.
void idle_connections_are_renewed() {
    FakeHost host(default_config());
    host.warm(3);
    for (int round = 0; round < 6 && host.idle_closed.empty(); ++round) {
        host.pass(ms(1500));
        host.search({0});
        host.pass(ms(900)); // lost; hedges over new connections are answered
        for (std::size_t i = 0; i < host.sent.size(); ++i)
            if (!host.sent[i].ended)
                host.end(i, host.sent[i].cancelled ? Outcome::kCancelled : Outcome::kTimedOut, ms(900));
        host.turn();
    }
    assert(!host.idle_closed.empty());
}

// Servers 6 to 29 share a zone or kind and fail. New servers of that group must rank below other new ones.
void check_degraded_group(ListEntry like, Outcome outcome, Ticks took) {
    FakeHost host(default_config(), 0);
    ServerListUpdate update{ServerListKind::kFull, {}}, more{ServerListKind::kDelta, {}};
    for (int i = 0; i < 36; ++i) {
        ListEntry entry = FakeHost::entry(i);
        if (i >= 6 && i < 33) entry.zone = like.zone, entry.kind = like.kind;
        (i < 30 ? update : more).entries.push_back(entry);
    }
    host.handle(update);
    for (int i = 0; i < 5; ++i) {
        host.search(std::vector<int>(30, 0));
        for (int server = 0; server < 6; ++server) host.end_all(Outcome::kAnswered, ms(40), server);
        for (int server = 6; server < 30; ++server) host.end_all(outcome, took, server);
        host.end_all(Outcome::kAnswered, ms(40));
        host.pass(ms(100));
    }
    host.handle(more);
    host.sent.clear();
    host.search(std::vector<int>(9, 0)); // one for each healthy server, old and new
    for (int server = 6; server < 33; ++server) assert(host.sent_to(server) == 0);
    host.pass(ms(400));
    assert(!host.probes.empty()); // probes detect the recovery
}

void degraded_zone_is_avoided() {
    ListEntry like = FakeHost::entry(0);
    like.zone = ZoneNo{1};
    check_degraded_group(like, Outcome::kConnectTimeout, ms(250));
}

void degraded_kind_is_avoided() {
    ListEntry like = FakeHost::entry(0);
    like.kind = KindNo{1};
    check_degraded_group(like, Outcome::kRejected, ms(5));
}

void short_deadline_is_not_taken_for_a_retry() {
    FakeHost host(default_config());
    host.warm(3);
    const std::size_t before = host.sent.size();
    host.search({0}, ms(400)); // far below the latency target: not a late retry
    assert(host.sent.size() == before + 1);
}

void overloaded_fleet_rejects() {
    SchedulerConfig config = default_config();
    config.may_send_retry_after = true;
    config.max_retry_after = ms(500);
    FakeHost host(config);
    host.warm(3, ms(300), 0);
    for (int i = 0; i < 12; ++i) host.search({0});
    host.pass(ms(100));
    host.end_all(Outcome::kAnswered, ms(900));
    const std::size_t before = host.sent.size();
    const SearchId id = host.search({0, 0, 0, 0});
    assert(host.end_of(id) == End::kRejected && host.sent.size() == before && host.retry_advice > 0);
}

void failed_list_query_is_retried() {
    SchedulerConfig config = default_config();
    config.list_mode = ListMode::kQueried;
    FakeHost host(config);
    host.turn();
    assert(host.subscribed == 1);
    host.handle(ServerListUpdate{ServerListKind::kQueryFailed, {}});
    host.turn();
    assert(host.subscribed == 1); // not at once: other nodes have lost theirs too
    host.pass(ms(2000));
    assert(host.subscribed == 2);
    host.search({0}); // the old list stands
    assert(host.sent.size() == 1);
}

void unmarked_retry_is_recognized() {
    SchedulerConfig config = default_config();
    config.request_classes[0].late_utility_ratio = 0;
    FakeHost host(config);
    for (int i = 0; i < 5; ++i) host.search({0}, ms(1500));
    const SearchId repeat = host.search({0}, ms(1200)); // 800 ms of 2 s have passed already
    host.pass(ms(200));
    assert(host.end_of(repeat) == End::kRejected);
}

void overloaded_fleet_plans_no_partial_answers() {
    for (const std::uint32_t sound :
         {1U, 20U}) { // servers of the other shard; the first shard has one slow server
        SchedulerConfig config = default_config();
        config.cell_count = 2;
        config.request_classes[0].min_answer_weight = 0.5;
        config.request_classes.push_back(config.request_classes[0]);
        FakeHost host(config, 1);
        ServerListUpdate update{ServerListKind::kDelta, {}};
        for (std::uint32_t i = 1; i <= sound; ++i)
            update.entries.push_back({ServerId{i}, {}, {}, CellNo{1}, ListedState::kLive, 1, 0});
        host.handle(update);
        for (std::uint32_t i = 0; i < 2 * sound; ++i) host.search({1});
        host.end_all(Outcome::kAnswered, ms(30));
        host.search({0}, ms(2000), 1);
        host.end_all(Outcome::kAnswered, ms(1100));
        assert(host.end_of(host.search({0, 1})) == (sound == 1 ? End::kRejected : End::kNone));
    }
}

void late_search_ends_in_an_overloaded_fleet() {
    for (const Ticks took : {ms(15), ms(900)}) { // response time of all other searches
        FakeHost host(default_config(), 48);
        const SearchId late = host.search({0});
        for (int turn = 0; turn < 197; ++turn) {
            if (turn % 5 == 0) host.search(std::vector<int>(48, 0));
            host.pass(ms(5));
            for (std::size_t i = 1; turn % 5 == 4 && i < host.sent.size(); ++i)
                if (!host.sent[i].ended && host.sent[i].part != host.sent[0].part)
                    host.end(i, Outcome::kAnswered, took);
        }
        host.pass(ms(5));
        assert(host.end_of(late) == (took < ms(100) ? End::kNone : End::kRejected));
    }
}

constexpr Test kTests[] = {
    TEST(lowest_score_wins),
    TEST(outstanding_parts_spread),
    TEST(reported_queue_repels),
    TEST(limit_rises_and_is_cut),
    TEST(idle_server_is_not_rate_limited),
    TEST(backlog_drains),
    TEST(new_server_scores_as_the_mean),
    TEST(siblings_share_a_call),
    TEST(complete_answer_once_all_parts_are_answered),
    TEST(second_step_completes_the_search),
    TEST(search_ends_before_its_deadline),
    TEST(partial_answer_at_the_latency_target),
    TEST(non_idempotent_is_not_retried),
    TEST(keyed_retries_within_dedup_window),
    TEST(not_run_is_retried),
    TEST(draining_and_gone_servers_get_nothing),
    TEST(cold_server_gets_reduced_load),
    TEST(connect_timeout_does_not_make_a_server_cold),
    TEST(cold_server_gets_reduced_load_from_many_nodes),
    TEST(rising_cold_server_is_used_by_many_nodes),
    TEST(queue_is_remembered_between_rare_answers),
    TEST(cold_server_gets_no_more_from_many_nodes),
    TEST(full_server_gets_nothing_for_a_while),
    TEST(cold_server_without_a_window_is_used),
    TEST(retry_budget_is_enforced),
    TEST(lost_attempt_is_hedged),
    TEST(overdue_attempt_is_cancelled_without_hedging),
    TEST(silent_server_returns_after_probes),
    TEST(fast_errors_do_not_attract_load),
    TEST(queue_decays_without_answers),
    TEST(costly_search_is_not_hedged),
    TEST(lost_connection_does_not_eject_its_server),
    TEST(crashing_search_sends_one_part_at_a_time),
    TEST(idle_connections_are_renewed),
    TEST(two_slow_parts_renew_no_connection),
    TEST(degraded_zone_is_avoided),
    TEST(degraded_kind_is_avoided),
    TEST(short_deadline_is_not_taken_for_a_retry),
    TEST(overloaded_fleet_rejects),
    TEST(failed_list_query_is_retried),
    TEST(unmarked_retry_is_recognized),
    TEST(overloaded_fleet_plans_no_partial_answers),
    TEST(late_search_ends_in_an_overloaded_fleet),
};

} // namespace

} // namespace ivyrill

int main(int count, char** arguments) { return ivyrill::run_test(ivyrill::kTests, count, arguments); }
