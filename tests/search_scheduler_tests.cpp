// Short tests, one for each failure met and each piece of the design. `search_scheduler_tests NAME` plays
// one.
#include "fake_host.hpp"

#include "base/pcg.hpp"

#include <cmath>
#include <deque>
#include <memory>

namespace ivyrill {

namespace {

void lowest_score_wins() {
    FakeHost host(plain_terms());
    host.warm(3);
    for (int i = 0; i < 3; ++i) host.search({0}); // one at each
    host.pass(ms(50));
    host.all_return(Outcome::kAnswered, ms(400), 0);
    host.all_return(Outcome::kAnswered, ms(30), 1);
    host.all_return(Outcome::kAnswered, ms(400), 2);
    host.sent.clear();
    host.search({0});
    assert(host.sent_to(1) == 1);
}

void outstanding_parts_spread() {
    FakeHost host(plain_terms());
    host.search({0, 0, 0});
    for (int server = 0; server < 3; ++server) assert(host.sent_to(server) == 1);
}

void reported_queue_repels() {
    FakeHost host(plain_terms());
    host.warm(3);
    for (int i = 0; i < 3; ++i) host.search({0});
    host.pass(ms(50));
    host.all_return(Outcome::kAnswered, ms(50), 0, LoadReport{{}, 9.0});
    host.all_return(Outcome::kAnswered, ms(50), 1, LoadReport{9.0, {}}); // in flight stands in for queued
    host.all_return(Outcome::kAnswered, ms(50), 2, LoadReport{{}, 0.0});
    host.sent.clear();
    host.search({0});
    assert(host.sent_to(2) == 1);
}

void limit_rises_and_is_cut() {
    FakeHost host(plain_terms(), 1);
    host.warm(1, ms(5));
    for (int i = 0; i < 12; ++i) host.search({0});
    assert(host.sent.size() == 12 + 10);        // ten a window to start with
    host.all_return(Outcome::kAnswered, ms(5)); // a backlog, and few answers: the limit is cut
    host.pass(ms(40));
    host.all_return(Outcome::kAnswered, ms(5));
    const std::size_t before = host.sent.size();
    for (int i = 0; i < 30; ++i) host.search({0});
    assert(host.sent.size() - before < 10);
}

// One client that asks again once it is answered met a limit of ten parts in 20 ms at servers that were idle.
void an_idle_server_is_sent_to_at_its_clients_pace() {
    FakeHost host(plain_terms(), 1);
    host.warm(1, ms(5));
    host.pass(ms(40));
    host.sent.clear();
    for (int i = 0; i < 40; ++i) { // within one window: each is answered before the next is asked for
        host.search({0});
        host.all_return(Outcome::kAnswered, 1);
    }
    assert(host.sent.size() == 40);
    host.pass(ms(40));
    host.sent.clear();
    for (int i = 0; i < 200; ++i) host.search({0}); // what it has shown so is no leave to flood it
    assert(host.sent.size() < 100);
}

void backlog_drains() {
    FakeHost host(plain_terms(), 1);
    host.warm(1, ms(5));
    host.sent.clear();
    for (int i = 0; i < 15; ++i) host.search({0});
    assert(host.sent.size() == 10);
    host.pass(ms(25)); // the next window has room
    assert(host.sent.size() == 15);
}

void unheard_takes_the_mean() {
    FakeHost host(plain_terms(), 2);
    host.warm(2, ms(50));
    host.tell(ServerListUpdate{ListKind::kChanges, {FakeHost::entry(2)}});
    host.sent.clear();
    host.search({0, 0, 0}); // as good as the others, no better: it gets its turn
    assert(host.sent_to(0) == 1 && host.sent_to(1) == 1 && host.sent_to(2) == 1);
}

void siblings_share_a_call() {
    int split = 0;
    for (std::uint64_t seed = 0; seed < 8; ++seed) {
        SchedulerConfig terms = plain_terms();
        terms.seed = seed;
        FakeHost apart(terms, 2);
        terms.per_call_work = ms(100);
        FakeHost together(terms, 2);
        for (FakeHost* host : {&apart, &together}) {
            host->search({0});    // one server has an attempt out already
            host->search({0, 0}); // the other takes the first; is it dear to join it?
        }
        split += apart.sent[1].server != apart.sent[2].server ? 1 : 0;
        assert(together.sent[1].server == together.sent[2].server);
    }
    assert(split > 0 && split < 8); // equal scores: chance decides, by the seed
}

void whole_answer_once_all_are_in() {
    FakeHost host(plain_terms());
    const SearchId id = host.search({0, 1});
    host.returns(0, Outcome::kAnswered, ms(40));
    host.turn();
    assert(host.end_of(id) == End::kNone);
    host.returns(1, Outcome::kAnswered, ms(40));
    host.turn();
    assert(host.end_of(id) == End::kWhole);
    host.pass(ms(3000));
    assert(host.answers == 1 && host.sent.size() == 2);
}

void second_step_ends_the_search() {
    SchedulerConfig terms = plain_terms();
    terms.request_classes[0].follow_up_parts = 1;
    FakeHost host(terms);
    const SearchId id = host.search({0, 1});
    host.all_return(Outcome::kAnswered, ms(40));
    assert(host.answers == 1);
    host.add_parts(JobNo{1}, {1});
    host.turn();
    assert(host.answers == 1 && host.sent.size() == 3);
    host.all_return(Outcome::kAnswered, ms(40));
    assert(host.answers == 2 && host.end_of(id) == End::kWhole);
}

void expiry_is_never_passed() {
    FakeHost host(plain_terms());
    const SearchId id = host.search({0, 1});
    host.pass(ms(1985));
    assert(host.end_of(id) == End::kRejected);
    for (std::size_t i = 0; i < host.sent.size(); ++i) assert(host.sent[i].recalled);
    const std::size_t attempts = host.sent.size();
    host.all_return(Outcome::kCancelled, ms(1990));
    host.pass(ms(500));
    assert(host.sent.size() == attempts);
}

void part_answer_at_the_due_time() {
    SchedulerConfig terms = plain_terms();
    terms.request_classes[0].floor = 0.5;
    FakeHost host(terms);
    const SearchId enough = host.search({0, 1}), none = host.search({0, 1});
    host.returns(0, Outcome::kAnswered, ms(40));
    host.pass(ms(975));
    assert(host.end_of(enough) == End::kNone && host.end_of(none) == End::kNone);
    host.pass(ms(20));
    assert(host.end_of(enough) == End::kPart && host.end_of(none) != End::kPart);
}

void at_most_once_is_not_repeated() {
    SchedulerConfig terms = plain_terms();
    terms.request_classes[0].idempotency = Idempotency::kNonIdempotent;
    FakeHost host(terms);
    const SearchId maybe = host.search({0});
    host.all_return(Outcome::kError, ms(5)); // it may have run
    assert(host.end_of(maybe) == End::kFailed && host.sent.size() == 1);
    const SearchId waiting = host.search({0});
    host.pass(ms(1990));
    assert(host.end_of(waiting) == End::kFailed && host.sent.size() == 2);
}

void numbered_repeats_in_window() {
    SchedulerConfig terms = plain_terms();
    terms.request_classes[0].idempotency = Idempotency::kIdempotencyKey;
    terms.request_classes[0].dedup_window = ms(300);
    FakeHost host(terms);
    host.search({0});
    host.all_return(Outcome::kError, ms(5));
    assert(host.sent.size() == 2);
    host.pass(ms(290));
    host.all_return(Outcome::kError, ms(290)); // the window counts from the first attempt that may have run
    host.pass(ms(100));
    assert(host.sent.size() == 2);
}

void proven_not_run_goes_again() {
    SchedulerConfig terms = plain_terms();
    terms.request_classes[0].idempotency = Idempotency::kNonIdempotent;
    FakeHost host(terms);
    const SearchId id = host.search({0});
    host.all_return(Outcome::kRejected, ms(1));
    host.all_return(Outcome::kConnectTimeout, ms(250));
    assert(host.sent.size() == 2); // a full or unreachable set is not asked again at once
    host.pass(ms(200));
    assert(host.sent.size() == 3 && host.end_of(id) == End::kNone);
    assert(host.sent[0].server != host.sent[1].server);
}

void drain_and_gone_get_nothing() {
    FakeHost host(plain_terms());
    host.tell(ServerListUpdate{
        ListKind::kChanges,
        {FakeHost::entry(0, ListedState::kDraining), FakeHost::entry(1, ListedState::kGone)}});
    for (int i = 0; i < 6; ++i) host.search({0});
    assert(host.sent_to(2) == 6);
    host.tell(
        ServerListUpdate{ListKind::kWhole, {FakeHost::entry(0)}}); // the whole list replaces the old one
    host.sent.clear();
    host.search({0, 0});
    assert(host.sent_to(0) == 2);
}

void cold_server_is_spared() {
    FakeHost host(plain_terms(), 2);
    host.warm(2, ms(100));
    host.tell(ServerListUpdate{ListKind::kChanges, {FakeHost::entry(1, ListedState::kLive, host.now)}});
    host.sent.clear();
    for (int i = 0; i < 50; ++i) host.search({0}), host.pass(ms(20));
    // Twice a fifth, rising, of some twenty parts a second, over three front nodes.
    assert(host.sent_to(1) >= 1 && host.sent_to(1) <= 4);
}

// A third of all connections came up later than the time-out, and each such server was spared as if it had
// just started, for a whole warming. Where nobody takes connections its process was gone, and it is spared.
void late_connection_makes_no_cold_server() {
    for (const bool refused : {false, true}) {
        FakeHost host(plain_terms(), 1);
        host.warm(1, ms(100));
        host.search({0});
        host.all_return(refused ? Outcome::kConnectionRefused : Outcome::kConnectTimeout,
                        ms(refused ? 1 : 250));
        for (int i = 0; i < 4; ++i) { // probes pass until it is tried again
            host.pass(ms(200));
            for (const ServerId id : host.probes) host.tell(ProbeEnded{id, true, ms(1), {}});
            host.probes.clear();
        }
        host.sent.clear();
        for (int i = 0; i < 20; ++i) {
            host.search({0}), host.pass(ms(20));
            host.all_return(Outcome::kAnswered, ms(20));
        }
        assert(refused ? host.sent.size() <= 8 : host.sent.size() >= 18);
    }
}

void many_nodes_spare_a_cold_server() {
    int sum = 0;
    for (std::uint64_t seed = 0; seed < 60; ++seed) { // all hear of the start at once and would like to send
        SchedulerConfig terms = plain_terms();
        terms.front_nodes = 60, terms.seed = seed;
        FakeHost host(terms, 2);
        host.warm(2, ms(100));
        host.tell(ServerListUpdate{ListKind::kChanges, {FakeHost::entry(1, ListedState::kLive, host.now)}});
        host.sent.clear();
        for (int i = 0; i < 50; ++i) host.search({0}), host.pass(ms(20));
        sum += host.sent_to(1);
    }
    assert(sum >= 1 && sum <= 8); // two cores, a fifth of their power, twice
}

// Six servers in ten replaced under 300 front nodes: a gap drawn from the power at the start outlasted the
// whole cold span, and what was warm carried everything. The sum grows with the server's power.
void rising_cold_server_is_used_by_many_nodes() {
    int early = 0, late = 0;
    for (std::uint64_t seed = 0; seed < 60; ++seed) {
        SchedulerConfig terms = plain_terms();
        terms.front_nodes = 60, terms.seed = seed;
        FakeHost host(terms, 2);
        host.warm(2, ms(100));
        host.tell(ServerListUpdate{ListKind::kChanges, {FakeHost::entry(1, ListedState::kLive, host.now)}});
        host.sent.clear();
        const auto second = [&] {
            const int before = host.sent_to(1);
            for (int i = 0; i < 20; ++i)
                host.search({0}), host.pass(ms(50)), host.all_return(Outcome::kAnswered, ms(100));
            return host.sent_to(1) - before;
        };
        early += second();
        for (int i = 0; i < 7; ++i) second();
        late += second();
    }
    // Some twenty parts a second when warm: a fifth and seven eighths of them, twice at most, half in fact.
    assert(early <= 8 && late >= 3 * early && late >= 9 && late <= 36);
}

// Terms that state no window, or a start from nothing: the gap is still a time, and the server is used in the
// end.
// One server of three just started, more work than it may get, and nodes that know nothing of each other: in
// no window does the sum of what all send it go further past its budget than chance takes it.
void cold_server_gets_no_more_from_many_nodes() {
    for (const int nodes : {2, 20, 30}) {
        SchedulerConfig terms = plain_terms();
        terms.front_nodes = nodes;
        std::vector<std::unique_ptr<FakeHost>> hosts;
        for (int i = 0; i < nodes; ++i) {
            terms.seed = static_cast<std::uint64_t>(100 + i);
            hosts.push_back(std::make_unique<FakeHost>(terms));
            hosts.back()->warm(3);
        }
        Tenths now = 0;
        for (auto& host : hosts) now = std::max(now, host->now);
        const Tenths start = now, service = ms(50);
        for (auto& host : hosts) {
            host->now = now, host->sent.clear();
            host->tell(ServerListUpdate{ListKind::kChanges, {FakeHost::entry(0, ListedState::kLive, start)}});
        }
        Pcg chance(static_cast<std::uint64_t>(nodes));
        std::deque<Tenths> sent;
        std::size_t all = 0;
        for (; now < start + terms.warm_up_time; now += ms(5)) {
            for (auto& host : hosts) {
                host->now = now;
                const std::size_t before = host->sent.size();
                for (std::size_t at = 0; at < before; ++at)
                    if (!host->sent[at].over && now >= host->sent[at].at + service)
                        host->returns(at, Outcome::kAnswered, service, LoadReport{{}, 0.0});
                if (chance.unit() < 3.0 / nodes) host->search({0}); // 600 a second in all
                host->turn();
                for (std::size_t at = before; at < host->sent.size(); ++at)
                    if (host->sent[at].server == ServerId{0}) sent.push_back(now), ++all;
            }
            while (!sent.empty() && sent.front() <= now - terms.overload_window) sent.pop_front();
            const double share = terms.cold_capacity_ratio + (1 - terms.cold_capacity_ratio) *
                                                                 static_cast<double>(now - start) /
                                                                 terms.warm_up_time;
            const double budget =
                2 * terms.overload_factor * share * terms.overload_window / service; // two cores
            if (static_cast<double>(sent.size()) > budget + 2 * std::sqrt(budget) + 2)
                std::cerr << nodes << " nodes: " << sent.size() << " of " << budget << "\n";
            assert(static_cast<double>(sent.size()) <= budget + 2 * std::sqrt(budget) + 2);
        }
        assert(all > 100); // it is used, too
    }
}

// Full servers that each search ran into anew: parts went round among them until none made it, and what did
// get a place was given up before its turn. A server that turned a part away is left alone for a latency
// target, and where all have, a search is rejected before any of its parts is sent.
void full_server_is_left_alone() {
    FakeHost host(plain_terms(), 2);
    host.warm(2);
    host.search({0});
    const ServerId full = host.sent.back().server;
    host.returns(host.sent.size() - 1, Outcome::kRejected, ms(1));
    host.turn();
    assert(host.sent.back().server != full); // the other one, at once
    host.all_return(Outcome::kAnswered, ms(50));
    const int before = host.sent_to(static_cast<int>(full.value));
    for (int i = 0; i < 10; ++i)
        host.search({0}), host.pass(ms(50)), host.all_return(Outcome::kAnswered, ms(50));
    assert(host.sent_to(static_cast<int>(full.value)) == before && host.probes.empty());
    host.search({0});
    host.all_return(Outcome::kRejected, ms(1)); // now both are
    const std::size_t sent = host.sent.size();
    assert(host.end_of(host.search({0}, ms(600))) == End::kRejected && host.sent.size() == sent);
    host.pass(ms(2600));
    assert(host.end_of(host.search({0})) == End::kNone && host.sent.size() > sent);
}

void cold_server_without_a_window_is_used() {
    for (const bool from_nothing : {false, true}) {
        SchedulerConfig terms = plain_terms();
        (from_nothing ? terms.cold_capacity_ratio : terms.overload_factor) = from_nothing ? 0 : 2;
        if (!from_nothing) terms.overload_window = 0;
        FakeHost host(terms, 2);
        host.warm(2, ms(100));
        host.tell(ServerListUpdate{ListKind::kChanges, {FakeHost::entry(1, ListedState::kLive, host.now)}});
        host.sent.clear();
        for (int i = 0; i < 180; ++i)
            host.search({0}), host.pass(ms(50)), host.all_return(Outcome::kAnswered, ms(100));
        assert(host.sent_to(1) >= 1 && host.sent_to(1) <= 90);
    }
}

// 300 front nodes meet a given server once in seconds: a long queue that it told of then was forgotten within
// a due span, and each search ran into it anew. What was heard stands until there is news again.
void queue_is_remembered_where_news_is_rare() {
    for (const bool rare : {false, true}) {
        FakeHost host(plain_terms(), 1);
        for (int i = 0; i < 40; ++i) { // it is heard of in a second's time, or at once again
            host.search({0}), host.pass(ms(50)), host.all_return(Outcome::kAnswered, ms(50), -1, {{}, 0.0});
            if (rare) host.pass(ms(950));
        }
        host.search({0}), host.pass(ms(50));
        for (int i = 0; i < 3; ++i)
            host.all_return(Outcome::kAnswered, ms(900), -1, {{}, 40.0}), host.search({0});
        host.all_return(Outcome::kAnswered, ms(900), -1, {{}, 40.0});
        host.pass(ms(800));
        const SearchId id = host.search({0}, ms(600));
        assert((host.end_of(id) == End::kRejected) == rare);
    }
}

void budget_binds() {
    SchedulerConfig terms = plain_terms();
    terms.has_retry_budget = true;
    terms.retry_slack = 1;
    terms.retry_ratio = 0;
    terms.retry_budget_window = ms(5000);
    FakeHost host(terms);
    host.search({0});
    host.all_return(Outcome::kError, ms(5));
    assert(host.sent.size() == 2);
    host.all_return(Outcome::kError, ms(5));
    host.pass(ms(500));
    assert(host.sent.size() == 2);
}

void lost_attempt_gets_a_copy() {
    FakeHost host(plain_terms(), 2);
    host.warm(2);
    host.sent.clear();
    host.search({0});
    host.pass(ms(380));
    assert(host.sent.size() == 2 && host.sent[0].server != host.sent[1].server);
    host.returns(1, Outcome::kAnswered, ms(40));
    host.turn();
    assert(host.answers == 25 && host.sent[0].recalled);
    host.all_return(Outcome::kCancelled, ms(420));
    assert(host.probes.empty()); // one lost attempt sets no server aside
}

void recall_where_copies_are_barred() {
    SchedulerConfig terms = plain_terms();
    terms.hedging_enabled = false;
    FakeHost host(terms, 2);
    host.warm(2);
    host.sent.clear();
    host.search({0});
    host.pass(ms(380));
    assert(host.sent.size() == 1 && host.sent[0].recalled);
    host.all_return(Outcome::kCancelled, ms(380));
    assert(host.sent.size() == 2 && host.sent[0].server != host.sent[1].server);
}

void silent_server_comes_back_by_probes() {
    FakeHost host(plain_terms(), 2);
    host.warm(2);
    host.sent.clear();
    host.search({0, 0, 0, 0});
    for (int i = 0; i < 8; ++i, host.pass(ms(100))) host.all_return(Outcome::kAnswered, ms(40), 1);
    assert(!host.probes.empty() && host.probes[0] == ServerId{0});
    host.all_return(Outcome::kAnswered, ms(40), 1);
    host.all_return(Outcome::kCancelled, ms(600), 0);
    host.sent.clear();
    for (int i = 0; i < 3; ++i) host.search({0});
    assert(host.sent_to(0) == 0);
    host.all_return(Outcome::kAnswered, ms(40), 1);
    for (int probe = 0; probe < 2; ++probe) {
        host.tell(ProbeEnded{ServerId{0}, true, ms(2), {}});
        host.pass(ms(200));
        host.all_return(Outcome::kAnswered, ms(40), 1);
    }
    host.sent.clear();
    for (int i = 0; i < 6; ++i) host.search({0});
    assert(host.sent_to(0) == 1); // back, but on trial: one attempt at first
}

void quick_errors_do_not_draw() {
    FakeHost host(plain_terms(), 3);
    host.warm(3);
    host.sent.clear();
    for (int i = 0; i < 30; ++i) {
        host.search({0});
        host.all_return(Outcome::kError, ms(1), 0);
        host.pass(ms(50));
        host.all_return(Outcome::kAnswered, ms(50));
    }
    assert(host.sent_to(0) <= 4);
}

void queue_drains_unheard() {
    FakeHost host(plain_terms(), 1);
    host.warm(1, ms(50));
    host.search({0});
    host.pass(ms(50));
    host.all_return(Outcome::kAnswered, ms(50), -1, LoadReport{{}, 200.0});
    const SearchId now = host.search({0});
    assert(host.end_of(now) == End::kRejected); // a queue of sixty parts would take three seconds
    host.pass(ms(6000));
    assert(host.end_of(host.search({0})) == End::kNone);
}

void costly_search_is_left_alone() {
    SchedulerConfig terms = plain_terms();
    terms.hedging_enabled = false;
    FakeHost host(terms);
    host.warm(3);
    host.sent.clear();
    host.search({0, 0, 0}); // all its parts take long, at servers that answer others meanwhile
    for (int i = 0; i < 8; ++i) {
        host.pass(ms(40));
        host.search({0});
        host.returns(host.sent.size() - 1, Outcome::kAnswered, ms(5));
        host.search({0});
        host.returns(host.sent.size() - 1, Outcome::kAnswered, ms(5));
        host.search({0});
        host.returns(host.sent.size() - 1, Outcome::kAnswered, ms(5));
    }
    for (int part = 0; part < 3; ++part) assert(!host.sent[static_cast<std::size_t>(part)].recalled);
}

// Something on the way resets connections, each with all that is out on it; their servers are sound.
void broken_connection_says_nothing_of_its_server() {
    FakeHost host(plain_terms(), 1);
    host.warm(1);
    const std::size_t before = host.sent.size();
    host.search({0, 0, 0});
    host.all_return(Outcome::kConnectionLost, ms(10));
    assert(host.sent.size() == before + 6); // it gets all three again at once
    host.all_return(Outcome::kAnswered, ms(50));
    assert(host.answers == 13 && host.probes.empty());
    host.search({0});
    host.all_return(Outcome::kConnectTimeout, ms(1)); // nobody there: that does say something
    host.pass(ms(400));
    assert(!host.probes.empty());
}

void breaking_search_goes_singly() {
    FakeHost host(plain_terms(), 6);
    const SearchId first = host.search({0, 0, 0});
    host.all_return(Outcome::kConnectionLost, ms(10)); // three connections broke under it
    assert(host.end_of(first) == End::kFailed && host.sent.size() == 3);
    const SearchId sound = host.search({0, 0, 0});
    host.all_return(Outcome::kConnectTimeout, ms(1)); // and three servers are gone, one after another
    assert(host.sent.size() == 7); // others may do the same: a part goes alone, to learn from
    const SearchId second = host.search({0, 0});
    assert(host.sent.size() == 8);
    host.returns(7, Outcome::kConnectionLost, ms(10)), host.turn();
    assert(host.end_of(second) == End::kFailed && host.sent.size() == 8);
    host.all_return(Outcome::kAnswered, ms(10));
    assert(host.sent.size() == 10); // one answer clears it, and the rest go together
    host.all_return(Outcome::kAnswered, ms(10));
    assert(host.end_of(sound) == End::kWhole);
    host.pass(ms(20000)); // the storm has passed
    host.search({0, 0});
    assert(host.sent.size() == 12);
}

// Connections dropped unseen while idle: what goes over them gets no answer.
// Among many front nodes every connection has long been idle: two slow parts in a row say nothing of them.
void two_slow_parts_renew_no_connection() {
    FakeHost host(plain_terms());
    host.warm(3);
    for (int i = 0; i < 2; ++i) {
        host.pass(ms(600));
        host.search({0});
        host.pass(ms(500)); // silent for longer than any patience
        host.all_return(Outcome::kTimedOut, ms(500));
    }
    for (int i = 0; i < 6; ++i)
        host.pass(ms(600)), host.search({0}), host.all_return(Outcome::kAnswered, ms(50));
    assert(host.hung_up.empty());
}

void idle_connections_are_renewed() {
    FakeHost host(plain_terms());
    host.warm(3);
    for (int round = 0; round < 6 && host.hung_up.empty(); ++round) {
        host.pass(ms(1500));
        host.search({0});
        host.pass(ms(900)); // lost; its copies over fresh connections are answered
        for (std::size_t i = 0; i < host.sent.size(); ++i)
            if (!host.sent[i].over)
                host.returns(i, host.sent[i].recalled ? Outcome::kCancelled : Outcome::kTimedOut, ms(900));
        host.turn();
    }
    assert(!host.hung_up.empty());
}

// Servers 6 to 29 have something in common and fail; new ones like them are told from new sound ones.
void group_in_trouble(ListEntry like, Outcome outcome, Tenths took) {
    FakeHost host(plain_terms(), 0);
    ServerListUpdate news{ListKind::kWhole, {}}, more{ListKind::kChanges, {}};
    for (int i = 0; i < 36; ++i) {
        ListEntry entry = FakeHost::entry(i);
        if (i >= 6 && i < 33) entry.zone = like.zone, entry.kind = like.kind;
        (i < 30 ? news : more).entries.push_back(entry);
    }
    host.tell(news);
    for (int i = 0; i < 5; ++i) {
        host.search(std::vector<int>(30, 0));
        for (int server = 0; server < 6; ++server) host.all_return(Outcome::kAnswered, ms(40), server);
        for (int server = 6; server < 30; ++server) host.all_return(outcome, took, server);
        host.all_return(Outcome::kAnswered, ms(40));
        host.pass(ms(100));
    }
    host.tell(more);
    host.sent.clear();
    host.search(std::vector<int>(9, 0)); // one for each sound server, old and new
    for (int server = 6; server < 33; ++server) assert(host.sent_to(server) == 0);
    host.pass(ms(400));
    assert(!host.probes.empty()); // a probe now and then tells when all is sound again
}

void bad_way_is_avoided() {
    ListEntry like = FakeHost::entry(0);
    like.zone = ZoneNo{1};
    group_in_trouble(like, Outcome::kConnectTimeout, ms(250));
}

void bad_kind_is_avoided() {
    ListEntry like = FakeHost::entry(0);
    like.kind = KindNo{1};
    group_in_trouble(like, Outcome::kRejected, ms(5));
}

void client_in_haste_is_not_late() {
    FakeHost host(plain_terms());
    host.warm(3);
    const std::size_t before = host.sent.size();
    host.search({0}, ms(400)); // far less than a due span: no repeat that has waited for long
    assert(host.sent.size() == before + 1);
}

void crowded_fleet_pushes_back() {
    SchedulerConfig terms = plain_terms();
    terms.may_send_retry_after = true;
    terms.max_retry_after = ms(500);
    FakeHost host(terms);
    host.warm(3, ms(300), 0);
    for (int i = 0; i < 12; ++i) host.search({0});
    host.pass(ms(100));
    host.all_return(Outcome::kAnswered, ms(900));
    const std::size_t before = host.sent.size();
    const SearchId id = host.search({0, 0, 0, 0});
    assert(host.end_of(id) == End::kRejected && host.sent.size() == before && host.advice > 0);
}

void lost_subscription_is_renewed() {
    SchedulerConfig terms = plain_terms();
    terms.list_mode = ListMode::kQueried;
    FakeHost host(terms);
    host.turn();
    assert(host.subscribed == 1);
    host.tell(ServerListUpdate{ListKind::kLost, {}});
    host.turn();
    assert(host.subscribed == 1); // not at once: others lost theirs too
    host.pass(ms(2000));
    assert(host.subscribed == 2);
    host.search({0}); // the old list stands
    assert(host.sent.size() == 1);
}

void unmarked_repeat_is_known() {
    SchedulerConfig terms = plain_terms();
    terms.request_classes[0].late_utility_ratio = 0;
    FakeHost host(terms);
    for (int i = 0; i < 5; ++i) host.search({0}, ms(1500));
    const SearchId repeat = host.search({0}, ms(1200)); // 800 ms of 2 s have passed already
    host.pass(ms(200));
    assert(host.end_of(repeat) == End::kRejected);
}

void full_fleet_plans_no_part_answers() {
    for (const std::uint32_t sound :
         {1U, 20U}) { // servers of the other shard; one server of the first crawls
        SchedulerConfig terms = plain_terms();
        terms.cells = 2;
        terms.request_classes[0].floor = 0.5;
        terms.request_classes.push_back(terms.request_classes[0]);
        FakeHost host(terms, 1);
        ServerListUpdate news{ListKind::kChanges, {}};
        for (std::uint32_t i = 1; i <= sound; ++i)
            news.entries.push_back({ServerId{i}, {}, {}, CellNo{1}, ListedState::kLive, 1, 0});
        host.tell(news);
        for (std::uint32_t i = 0; i < 2 * sound; ++i) host.search({1});
        host.all_return(Outcome::kAnswered, ms(30));
        host.search({0}, ms(2000), 1);
        host.all_return(Outcome::kAnswered, ms(1100));
        assert(host.end_of(host.search({0, 1})) == (sound == 1 ? End::kRejected : End::kNone));
    }
}

void late_search_ends_in_a_full_fleet() {
    for (const Tenths took : {ms(15), ms(900)}) { // what others are told all the time
        FakeHost host(plain_terms(), 48);
        const SearchId late = host.search({0});
        for (int turn = 0; turn < 197; ++turn) {
            if (turn % 5 == 0) host.search(std::vector<int>(48, 0));
            host.pass(ms(5));
            for (std::size_t i = 1; turn % 5 == 4 && i < host.sent.size(); ++i)
                if (!host.sent[i].over && host.sent[i].part != host.sent[0].part)
                    host.returns(i, Outcome::kAnswered, took);
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
    TEST(an_idle_server_is_sent_to_at_its_clients_pace),
    TEST(backlog_drains),
    TEST(unheard_takes_the_mean),
    TEST(siblings_share_a_call),
    TEST(whole_answer_once_all_are_in),
    TEST(second_step_ends_the_search),
    TEST(expiry_is_never_passed),
    TEST(part_answer_at_the_due_time),
    TEST(at_most_once_is_not_repeated),
    TEST(numbered_repeats_in_window),
    TEST(proven_not_run_goes_again),
    TEST(drain_and_gone_get_nothing),
    TEST(cold_server_is_spared),
    TEST(late_connection_makes_no_cold_server),
    TEST(many_nodes_spare_a_cold_server),
    TEST(rising_cold_server_is_used_by_many_nodes),
    TEST(queue_is_remembered_where_news_is_rare),
    TEST(cold_server_gets_no_more_from_many_nodes),
    TEST(full_server_is_left_alone),
    TEST(cold_server_without_a_window_is_used),
    TEST(budget_binds),
    TEST(lost_attempt_gets_a_copy),
    TEST(recall_where_copies_are_barred),
    TEST(silent_server_comes_back_by_probes),
    TEST(quick_errors_do_not_draw),
    TEST(queue_drains_unheard),
    TEST(costly_search_is_left_alone),
    TEST(broken_connection_says_nothing_of_its_server),
    TEST(breaking_search_goes_singly),
    TEST(idle_connections_are_renewed),
    TEST(two_slow_parts_renew_no_connection),
    TEST(bad_way_is_avoided),
    TEST(bad_kind_is_avoided),
    TEST(client_in_haste_is_not_late),
    TEST(crowded_fleet_pushes_back),
    TEST(lost_subscription_is_renewed),
    TEST(unmarked_repeat_is_known),
    TEST(full_fleet_plans_no_part_answers),
    TEST(late_search_ends_in_a_full_fleet),
};

} // namespace

} // namespace ivyrill

int main(int count, char** arguments) { return ivyrill::run_test(ivyrill::kTests, count, arguments); }
