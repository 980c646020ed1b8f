// Which servers a request goes to, by what the selection was told before.
#define BOOST_TEST_MODULE pair_selector
#include "replica_selection/pair_selector.hpp"

#include <algorithm>
#include <boost/test/included/unit_test.hpp>

namespace {

using namespace ivyrill;
using namespace ivyrill::replica_selection;
using model::Instance;
using model::InstanceState;
using model::Stage;

constexpr Tenths kStart = 1'000'000, kTarget = 1500;
constexpr Tenths kSecond = kTenthsPerSecond;
constexpr int kTries = 200; // among equals each is taken at random

Instance server(const std::string& id, Stage stage = Stage::kNone) {
    Instance made;
    made.id = id, made.service = "model", made.stage = stage, made.slots = 8, made.zone = "a";
    made.models = {{"m", 1}};
    return made;
}

struct Fleet {
    explicit Fleet(std::vector<Instance> list, std::uint64_t seed = 1) : selector(seed) {
        for (const Instance& instance : list) instances[instance.id] = instance;
        tell();
    }
    void tell() { selector.set_instances(instances, now); }
    void set(const std::string& id, InstanceState state) {
        instances.at(id).state = state;
        tell();
    }
    std::optional<Pair> pair(const Request& request, const std::set<std::string>& tried = {},
                             bool may_split = true) {
        const Choice choice = selector.choose(request, tried, may_split, false, now);
        const auto* made = std::get_if<Pair>(&choice);
        return made == nullptr ? std::nullopt : std::optional(*made);
    }
    std::string runner(const Request& request, const std::set<std::string>& tried = {}) {
        const auto made = pair(request, tried);
        return made ? made->runner : "";
    }
    // Every server that one of many choices names as runner.
    std::set<std::string> runners(const Request& request, const std::set<std::string>& tried = {}) {
        std::set<std::string> all;
        for (int i = 0; i < kTries; ++i) all.insert(runner(request, tried));
        return all;
    }
    // Sent, answered after so long, and over.
    void serve(const std::string& id, const Request& request, Work work, Tenths took) {
        const auto attempt = selector.sent(id, request, work, std::nullopt, now);
        now += took;
        selector.answered(attempt, now);
        selector.ended(attempt, now);
    }
    std::map<std::string, Instance> instances;
    Tenths now = kStart;
    PairSelector selector;
};

Request plain() {
    Request request;
    request.service = "model", request.model = "m", request.latency_target = kTarget;
    return request;
}

Request reading(const std::string& shared, std::int64_t tokens = 6000) {
    Request request = plain();
    request.prompt = {{shared, tokens}, {shared + "-own", 500}};
    request.output_tokens = 2;
    return request;
}

Request streaming(const std::string& shared = "chat") {
    Request request = plain();
    request.prompt = {{shared, 79}, {shared + "-own", 100}};
    request.output_tokens = 400;
    return request;
}

std::vector<Instance> servers(int readers, int runners) {
    std::vector<Instance> made;
    for (int i = 0; i < readers; ++i) made.push_back(server("p" + std::to_string(i), Stage::kPrefill));
    for (int i = 0; i < runners; ++i) made.push_back(server("d" + std::to_string(i), Stage::kDecode));
    return made;
}

model::Load load(const std::string& id, std::int64_t waiting, std::int64_t running = 0) {
    model::Load made;
    made.instance = id, made.waiting = waiting, made.running = running;
    return made;
}

// How many of a hundred fresh requests are turned away.
int turned_away(Fleet& fleet, const Request& request) {
    int count = 0;
    for (int i = 0; i < 100; ++i) {
        const Choice choice = fleet.selector.choose(request, {}, true, true, fleet.now);
        count += std::holds_alternative<Overloaded>(choice) ? 1 : 0;
    }
    return count;
}

std::string reads(const Pair& pair) { return pair.reader.empty() ? pair.runner : pair.reader; }

} // namespace

BOOST_AUTO_TEST_CASE(the_lowest_score_wins_and_equals_share) {
    Fleet fleet({server("a"), server("b")});
    BOOST_TEST((fleet.runners(plain()) == std::set<std::string>{"a", "b"}));
    fleet.selector.set_load(load("a", 1), fleet.now);
    BOOST_TEST((fleet.runners(plain()) == std::set<std::string>{"b"}));
    fleet.selector.set_load(load("b", 2), fleet.now);
    BOOST_TEST((fleet.runners(plain()) == std::set<std::string>{"a"}));
    fleet.selector.set_load(load("a", 0), fleet.now);
    fleet.selector.set_load(load("b", 0), fleet.now);
    BOOST_TEST((fleet.runners(plain()) == std::set<std::string>{"a", "b"}));
}

BOOST_AUTO_TEST_CASE(own_parts_out_count_times_the_number_of_edge_nodes) {
    Fleet fleet({server("a"), server("b")});
    fleet.selector.sent("a", plain(), Work::kUnstaged, 0, fleet.now);
    fleet.selector.set_load(load("b", 2), fleet.now);
    BOOST_TEST((fleet.runners(plain()) == std::set<std::string>{"a"})); // 1 + 1 against 1 + 2
    fleet.selector.set_edge_nodes(4);
    BOOST_TEST((fleet.runners(plain()) == std::set<std::string>{"b"})); // 1 + 4 against 1 + 2
    fleet.selector.set_edge_nodes(0);                                   // none known yet: this one at least
    BOOST_TEST((fleet.runners(plain()) == std::set<std::string>{"a"}));
}

BOOST_AUTO_TEST_CASE(a_server_that_answers_slowly_is_left_to_the_quicker) {
    Fleet fleet({server("a"), server("b")});
    for (int i = 0; i < 10; ++i) {
        fleet.serve("a", plain(), Work::kUnstaged, 900);
        fleet.serve("b", plain(), Work::kUnstaged, 300);
    }
    BOOST_TEST((fleet.runners(plain()) == std::set<std::string>{"b"}));
    fleet.now += 60 * kSecond; // what is long past counts less than one request that waits
    fleet.selector.set_load(load("b", 1), fleet.now);
    BOOST_TEST((fleet.runners(plain()) == std::set<std::string>{"a"}));
}

BOOST_AUTO_TEST_CASE(an_attempt_that_waits_counts_as_slow_before_it_is_answered) {
    Fleet fleet({server("a"), server("b")});
    for (const char* id : {"a", "b"}) fleet.serve(id, plain(), Work::kUnstaged, 300);
    const auto waits = fleet.selector.sent("a", plain(), Work::kUnstaged, 0, fleet.now);
    for (int i = 0; i < 3; ++i) fleet.selector.sent("b", plain(), Work::kUnstaged, 0, fleet.now + 5000);
    fleet.selector.set_load(load("a", 2), fleet.now);
    fleet.now += 6000;
    BOOST_TEST((fleet.runners(plain()) == std::set<std::string>{"b"}));
    BOOST_TEST(fleet.selector.silent_since(waits) == fleet.now - 6000);
    fleet.selector.answered(waits, fleet.now);
    BOOST_TEST(fleet.selector.silent_since(waits) == fleet.now);
}

BOOST_AUTO_TEST_CASE(only_servers_of_the_service_and_the_model_are_taken) {
    Instance other_service = server("a"), other_model = server("b");
    other_service.service = "other", other_model.models = {{"n", 1}};
    Fleet fleet({other_service, other_model});
    BOOST_TEST(std::holds_alternative<NoServer>(fleet.selector.choose(plain(), {}, true, false, fleet.now)));
    fleet.instances["c"] = server("c");
    fleet.tell();
    BOOST_TEST((fleet.runners(plain()) == std::set<std::string>{"c"}));
    Request any_model = plain();
    any_model.model.clear();
    BOOST_TEST((fleet.runners(any_model) == std::set<std::string>{"b", "c"}));
}

BOOST_AUTO_TEST_CASE(draining_and_gone_servers_are_never_chosen) {
    for (const InstanceState state : {InstanceState::kDraining, InstanceState::kGone}) {
        Fleet fleet({server("a"), server("b")});
        fleet.set("a", state);
        BOOST_TEST((fleet.runners(plain()) == std::set<std::string>{"b"}));
        BOOST_TEST((fleet.runners(plain(), {"b"}) ==
                    std::set<std::string>{"b"})); // not even before one that was tried
        fleet.set("b", state);
        BOOST_TEST(
            std::holds_alternative<NoServer>(fleet.selector.choose(plain(), {}, true, false, fleet.now)));
    }
}

BOOST_AUTO_TEST_CASE(silent_servers_are_taken_where_nothing_else_is_there) {
    Fleet fleet({server("a"), server("b")});
    fleet.set("a", InstanceState::kSilent);
    fleet.selector.set_load(load("b", 9), fleet.now);
    BOOST_TEST((fleet.runners(plain()) == std::set<std::string>{"b"}));
    fleet.set("b", InstanceState::kSilent);
    BOOST_TEST((fleet.runners(plain()) == std::set<std::string>{"a"}));
}

BOOST_AUTO_TEST_CASE(tried_servers_come_last) {
    Fleet fleet({server("a"), server("b"), server("c")});
    fleet.set("c", InstanceState::kSilent);
    fleet.selector.set_load(load("b", 50), fleet.now);
    BOOST_TEST((fleet.runners(plain(), {"a"}) == std::set<std::string>{"b"}));
    BOOST_TEST((fleet.runners(plain(), {"a", "b"}) == std::set<std::string>{"c"}));
    BOOST_TEST(
        (fleet.runners(plain(), {"a", "b", "c"}) == std::set<std::string>{"a", "c"})); // b's queue is longest
}

BOOST_AUTO_TEST_CASE(a_server_that_refuses_rests_longer_each_time) {
    Fleet fleet({server("a"), server("b")});
    Tenths former = 0;
    for (int times = 0; times < 4; ++times) {
        const auto attempt = fleet.selector.sent("a", plain(), Work::kUnstaged, 0, fleet.now);
        fleet.selector.refused(attempt, fleet.now);
        const Tenths began = fleet.now;
        BOOST_TEST((fleet.runners(plain()) == std::set<std::string>{"b"}));
        while (fleet.runners(plain()).size() == 1 && fleet.now < began + 10 * kSecond) fleet.now += 100;
        BOOST_TEST(fleet.now - began > former);
        BOOST_TEST(fleet.now - began < 5 * kSecond);
        former = fleet.now - began;
    }
    fleet.serve("a", plain(), Work::kUnstaged, 10); // an answer ends the row
    const auto attempt = fleet.selector.sent("a", plain(), Work::kUnstaged, 0, fleet.now);
    fleet.selector.refused(attempt, fleet.now);
    fleet.now += former / 4;
    BOOST_TEST(fleet.runners(plain()).contains("a"));
}

BOOST_AUTO_TEST_CASE(a_server_that_no_connection_reaches_rests) {
    Fleet fleet({server("a"), server("b")});
    fleet.selector.unreachable("a", fleet.now);
    BOOST_TEST((fleet.runners(plain()) == std::set<std::string>{"b"}));
    BOOST_TEST((fleet.runners(plain(), {"b"}) == std::set<std::string>{"a"})); // before one that was tried
    fleet.now += kSecond;
    BOOST_TEST((fleet.runners(plain()) == std::set<std::string>{"a", "b"}));
    fleet.selector.unreachable("unknown", fleet.now);
}

BOOST_AUTO_TEST_CASE(a_server_that_breaks_answers_off_is_avoided_for_seconds) {
    Fleet fleet({server("a"), server("b")});
    for (int i = 0; i < 4; ++i) {
        const auto attempt = fleet.selector.sent("a", plain(), Work::kUnstaged, 0, fleet.now);
        fleet.selector.broken(attempt, fleet.now + 1);
    }
    BOOST_TEST((fleet.runners(plain()) == std::set<std::string>{"b"}));
    fleet.now += 30 * kSecond;
    BOOST_TEST((fleet.runners(plain()) == std::set<std::string>{"a", "b"}));
}

BOOST_AUTO_TEST_CASE(quick_errors_do_not_look_like_a_fast_and_empty_server) {
    for (const bool breaks : {false, true}) {
        Fleet fleet({server("a"), server("b")});
        for (const char* id : {"a", "b"}) fleet.serve(id, plain(), Work::kUnstaged, 300);
        for (int i = 0; i < 50; ++i) {
            const auto attempt = fleet.selector.sent("a", plain(), Work::kUnstaged, 0, fleet.now);
            fleet.now += 1;
            breaks ? fleet.selector.broken(attempt, fleet.now) : fleet.selector.refused(attempt, fleet.now);
        }
        fleet.now += 60 * kSecond;
        int quick = 0;
        for (int i = 0; i < kTries; ++i) quick += fleet.runner(plain()) == "a";
        BOOST_TEST((quick > kTries / 4 && quick < kTries * 3 / 4), quick); // equals again, not preferred
    }
}

BOOST_AUTO_TEST_CASE(servers_over_their_limit_make_a_backlog_until_the_next_window) {
    Fleet fleet({server("a"), server("b")});
    int sent = 0;
    for (; sent < 1000; ++sent) {
        const std::string id = fleet.runner(plain());
        if (id.empty()) break;
        fleet.selector.sent(id, plain(), Work::kUnstaged, 0, fleet.now);
    }
    BOOST_TEST(sent == 2 * static_cast<int>(kStartLimit));
    const Choice choice = fleet.selector.choose(plain(), {}, true, false, fleet.now);
    BOOST_REQUIRE(std::holds_alternative<Backlogged>(choice));
    const Tenths until = std::get<Backlogged>(choice).until;
    BOOST_TEST((until > fleet.now && until <= fleet.now + kWindow));
    fleet.now = until - 1;
    BOOST_TEST(fleet.runner(plain()).empty());
    fleet.now = until;
    BOOST_TEST(!fleet.runner(plain()).empty());
}

BOOST_AUTO_TEST_CASE(a_full_window_at_one_server_leaves_the_other) {
    Fleet fleet({server("a"), server("b")});
    fleet.selector.set_load(load("b", 90), fleet.now);
    for (int i = 0; i < static_cast<int>(kStartLimit); ++i)
        fleet.selector.sent("a", plain(), Work::kUnstaged, 0, fleet.now);
    BOOST_TEST((fleet.runners(plain()) == std::set<std::string>{"b"}));
}

BOOST_AUTO_TEST_CASE(homes_of_a_prompt_are_few_and_the_same_at_every_node) {
    std::set<std::string> all;
    for (int prompt = 0; prompt < 30; ++prompt) {
        const Request request = reading("prompt-" + std::to_string(prompt));
        std::vector<std::set<std::string>> homes(2);
        for (std::uint64_t seed = 1; seed <= 60; ++seed) {
            Fleet fleet(servers(6, 6), seed);
            const auto made = fleet.pair(request);
            BOOST_REQUIRE(made.has_value());
            homes[seed % 2].insert(reads(*made));
        }
        std::set<std::string> either = homes[0];
        either.insert(homes[1].begin(), homes[1].end());
        BOOST_TEST(either.size() <= 2U);
        all.insert(either.begin(), either.end());
    }
    BOOST_TEST(all.size() >= 6U); // and prompts are spread
}

BOOST_AUTO_TEST_CASE(few_prompts_move_when_a_server_goes) {
    int moved = 0;
    const int prompts = 100;
    for (int prompt = 0; prompt < prompts; ++prompt) {
        const Request request = reading("prompt-" + std::to_string(prompt));
        std::set<std::string> before, after;
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            Fleet fleet(servers(8, 1), seed);
            before.insert(reads(*fleet.pair(request)));
            fleet.set("p3", InstanceState::kGone);
            after.insert(reads(*fleet.pair(request)));
        }
        if (!before.contains("p3")) moved += before != after;
        BOOST_TEST(!after.contains("p3"));
    }
    BOOST_TEST(moved == 0);
}

BOOST_AUTO_TEST_CASE(a_prompt_is_read_again_where_it_was_read) {
    Fleet fleet(servers(6, 6));
    const Request request = reading("prompt-1", 50'000);
    model::Service service;
    service.name = "model", service.engine = model::Engine{};
    service.engine->memory_tokens = 800'000;
    fleet.selector.set_services({service});
    const std::string first = reads(*fleet.pair(request));
    const Work work =
        fleet.instances.at(first).stage == Stage::kPrefill ? Work::kPrefillOnly : Work::kPrefillAndDecode;
    fleet.serve(first, request, work, 100);
    fleet.now += kSecond;
    for (int i = 0; i < 20; ++i) {
        const auto made = fleet.pair(request);
        BOOST_TEST(reads(*made) == first);
        BOOST_TEST(made->tokens_to_prefill < 10'000);
    }
}

BOOST_AUTO_TEST_CASE(prompts_are_not_read_where_long_answers_run) {
    Fleet fleet(servers(0, 5));
    for (int i = 0; i < 5; ++i) fleet.selector.set_load(load("d" + std::to_string(i), 0, 0), fleet.now);
    std::set<std::string> long_answers, read;
    std::map<std::string, std::int64_t> running;
    for (int i = 0; i < 4; ++i) {
        const std::string id = fleet.runner(streaming("chat-" + std::to_string(i)));
        long_answers.insert(id);
        fleet.selector.answered(
            fleet.selector.sent(id, streaming(), Work::kPrefillAndDecode, std::nullopt, fleet.now),
            fleet.now + 100);
        fleet.selector.set_load(load(id, 0, ++running[id]), fleet.now);
        fleet.now += 200;
    }
    for (int i = 0; i < kTries; ++i) {
        const auto made = fleet.pair(reading("prompt-" + std::to_string(i)));
        BOOST_REQUIRE(made.has_value());
        BOOST_TEST(made->reader.empty());
        read.insert(made->runner);
    }
    BOOST_TEST(long_answers.size() <= 2U);
    for (const std::string& id : long_answers) BOOST_TEST(!read.contains(id), id);
    BOOST_TEST(read.size() >= 2U);
}

// Runners that long answers go to while nothing of what is sent is answered.
std::set<std::string> stream_runners(Fleet& fleet) {
    std::set<std::string> all;
    for (int i = 0; i < 40; ++i) {
        const std::string id = fleet.runner(streaming());
        all.insert(id);
        fleet.selector.sent(id, streaming(), Work::kPrefillAndDecode, std::nullopt, fleet.now);
        fleet.now += kSecond / 20;
    }
    return all;
}

BOOST_AUTO_TEST_CASE(long_answers_get_more_servers_as_more_of_them_are_reported_to_run) {
    std::size_t last = 0;
    for (const std::int64_t running : {0, 1, 2, 3}) { // of 8 slots, at each of 6 runners
        Fleet fleet(servers(0, 6));
        for (int i = 0; i < 6; ++i)
            fleet.selector.set_load(load("d" + std::to_string(i), 0, running), fleet.now);
        const std::size_t count = stream_runners(fleet).size();
        BOOST_TEST(count > last);
        last = count;
    }
    BOOST_TEST(last < 6U); // some are left to read
}

BOOST_AUTO_TEST_CASE(nodes_that_hear_the_same_reports_keep_the_same_runners_for_long_answers) {
    Fleet one(servers(0, 6), 1), other(servers(0, 6), 99);
    for (Fleet* fleet : {&one, &other})
        for (int i = 0; i < 6; ++i) fleet->selector.set_load(load("d" + std::to_string(i), 0, 2), fleet->now);
    BOOST_TEST((stream_runners(one) == stream_runners(other)));
}

BOOST_AUTO_TEST_CASE(a_runner_is_read_at_again_only_after_a_while) {
    Fleet fleet(servers(0, 6));
    const auto report = [&](std::int64_t running) {
        for (int i = 0; i < 6; ++i)
            fleet.selector.set_load(load("d" + std::to_string(i), 0, running), fleet.now);
    };
    const auto readers = [&] {
        std::set<std::string> all;
        for (int i = 0; i < kTries; ++i) all.insert(reads(*fleet.pair(reading("p" + std::to_string(i)))));
        return all.size();
    };
    report(3);
    const std::size_t few = readers();
    report(0);
    fleet.now += kSecond / 2;
    BOOST_TEST(readers() == few);
    fleet.now += 4 * kSecond;
    BOOST_TEST(readers() > few);
}

// The first home of many prompts, and which of them are also read elsewhere.
struct Readings {
    std::size_t elsewhere_at_readers = 0, elsewhere_at_runners = 0;
};
Readings readings_beside_home(Fleet& fleet, int prompts) {
    Readings seen;
    for (int i = 0; i < prompts; ++i) {
        const Request request = reading("prompt-" + std::to_string(i));
        const std::string home = reads(*fleet.pair(request));
        // It is slow: what was sent there is unanswered for most of the target.
        const Work work =
            fleet.instances.at(home).stage == Stage::kPrefill ? Work::kPrefillOnly : Work::kPrefillAndDecode;
        const auto waits = fleet.selector.sent(home, request, work, std::nullopt, fleet.now);
        fleet.now += kTarget * 3 / 4;
        const std::string second = reads(*fleet.pair(request));
        if (second != home) {
            const bool reader = fleet.instances.at(second).stage == Stage::kPrefill;
            ++(reader ? seen.elsewhere_at_readers : seen.elsewhere_at_runners);
        }
        fleet.selector.broken(waits, fleet.now);
        fleet.now += 60 * kSecond;
    }
    return seen;
}

BOOST_AUTO_TEST_CASE(the_second_of_a_slow_home_is_a_reader_while_links_are_free) {
    Fleet fleet(servers(4, 6));
    const Readings seen = readings_beside_home(fleet, 20);
    BOOST_TEST(seen.elsewhere_at_readers >= 15U);
    BOOST_TEST(seen.elsewhere_at_runners == 0U);
}

BOOST_AUTO_TEST_CASE(where_moves_take_long_prompts_of_readers_are_read_by_runners) {
    Fleet fleet(servers(6, 6));
    for (int i = 0; i < 6; ++i) fleet.selector.set_load(load("d" + std::to_string(i), 0, 0), fleet.now);
    const auto read_by_runners = [&] {
        int count = 0;
        for (int i = 0; i < kTries; ++i)
            count += fleet.pair(reading("prompt-" + std::to_string(i)))->reader.empty() ? 1 : 0;
        return count;
    };
    const int before = read_by_runners();
    for (int i = 0; i < 5; ++i) fleet.serve("d0", reading("moved"), Work::kFetchAndDecode, 2 * kTarget);
    BOOST_TEST(read_by_runners() > before + kTries / 4);
    fleet.now += 60 * kSecond; // what is long past does not count
    BOOST_TEST(read_by_runners() <= before + kTries / 10);
}

BOOST_AUTO_TEST_CASE(what_looks_best_in_a_report_is_not_sent_everything) {
    Fleet fleet(servers(0, 6));
    for (int i = 0; i < 6; ++i) // of 8 slots: all six are kept for long answers
        fleet.selector.set_load(load("d" + std::to_string(i), i == 0 ? 0 : 1, 7), fleet.now);
    std::map<std::string, int> sent;
    for (int i = 0; i < kTries; ++i) ++sent[fleet.runner(streaming())];
    BOOST_TEST(sent["d0"] > kTries / 5);     // preferred where it is drawn
    BOOST_TEST(sent["d0"] < kTries * 3 / 5); // and not always drawn
    BOOST_TEST(sent.size() == 6U);
}

BOOST_AUTO_TEST_CASE(one_server_takes_both_kinds_where_it_is_alone) {
    Fleet fleet(servers(0, 1));
    BOOST_TEST(fleet.runner(streaming()) == "d0");
    fleet.selector.sent("d0", streaming(), Work::kPrefillAndDecode, std::nullopt, fleet.now);
    fleet.now += kSecond;
    BOOST_TEST(fleet.runner(reading("prompt-1")) == "d0");
}

BOOST_AUTO_TEST_CASE(no_pair_where_no_hand_over_may_be_or_readers_are_in_bad_standing) {
    Fleet fleet(servers(3, 3));
    const Request request = reading("prompt-1", 60'000);
    bool hands_over = false;
    for (int i = 0; i < kTries; ++i) hands_over = hands_over || !fleet.pair(request)->reader.empty();
    BOOST_TEST(hands_over);
    for (int i = 0; i < kTries; ++i) BOOST_TEST(fleet.pair(request, {}, false)->reader.empty());
    for (const char* id : {"p0", "p1", "p2"})
        for (int i = 0; i < 5; ++i)
            fleet.selector.record_handle_use(id, false); // its memory was gone each time
    for (int i = 0; i < kTries; ++i) BOOST_TEST(fleet.pair(request)->reader.empty());
}

BOOST_AUTO_TEST_CASE(a_request_that_names_no_prompt_is_not_handed_over) {
    Fleet fleet(servers(3, 3));
    Request request = plain();
    for (int i = 0; i < 3; ++i) { // all that a pair does is quick, and what a runner does alone is slow
        const std::string number = std::to_string(i);
        fleet.serve("p" + number, request, Work::kPrefillOnly, 10);
        fleet.serve("d" + number, request, Work::kFetchAndDecode, 10);
        fleet.serve("d" + number, request, Work::kPrefillAndDecode, kTarget);
    }
    for (int i = 0; i < kTries; ++i) BOOST_TEST(fleet.pair(request)->reader.empty());
}

BOOST_AUTO_TEST_CASE(some_are_turned_away_while_readings_are_expected_to_be_late) {
    Fleet fleet(servers(0, 1));
    fleet.serve("d0", reading("slow"), Work::kPrefillAndDecode, 2 * kTarget);
    fleet.selector.sent("d0", reading("waits"), Work::kPrefillAndDecode, std::nullopt, fleet.now);
    const int away = turned_away(fleet, reading("next")); // 0.8 of 2 targets are let in: 40 of a hundred
    BOOST_TEST(away > 30);
    BOOST_TEST(away < 90);
}

BOOST_AUTO_TEST_CASE(a_late_reading_turns_nothing_away_where_none_is_waited_for) {
    Fleet fleet(servers(1, 1));
    for (const char* id : {"p0", "d0"}) {
        fleet.serve(id, reading("slow"), id[0] == 'p' ? Work::kPrefillOnly : Work::kPrefillAndDecode,
                    4 * kTarget);
        BOOST_TEST(turned_away(fleet, reading("next")) == 0);
    }
    // A stream that runs on has been read, and another service's prompt is read elsewhere.
    const auto runs =
        fleet.selector.sent("d0", reading("runs"), Work::kPrefillAndDecode, std::nullopt, fleet.now);
    fleet.now += 4 * kTarget;
    fleet.selector.answered(runs, fleet.now);
    Instance other = server("o0", Stage::kDecode);
    other.service = "other";
    fleet.instances["o0"] = other;
    fleet.tell();
    fleet.selector.sent("o0", reading("others"), Work::kPrefillAndDecode, std::nullopt, fleet.now);
    BOOST_TEST(turned_away(fleet, reading("next")) == 0);
    fleet.selector.sent("d0", reading("waits"), Work::kPrefillAndDecode, std::nullopt, fleet.now);
    BOOST_TEST(turned_away(fleet, reading("next")) > 0);
}

BOOST_AUTO_TEST_CASE(a_reader_is_never_taken_to_run) {
    Fleet fleet(servers(3, 0));
    BOOST_TEST(
        std::holds_alternative<NoServer>(fleet.selector.choose(reading("p"), {}, true, false, fleet.now)));
    BOOST_TEST(
        std::holds_alternative<NoServer>(fleet.selector.choose(streaming(), {}, true, false, fleet.now)));
}

BOOST_AUTO_TEST_CASE(news_of_what_is_no_longer_known_is_harmless) {
    Fleet fleet({server("a"), server("b")});
    const auto attempt = fleet.selector.sent("a", plain(), Work::kUnstaged, 0, fleet.now);
    fleet.set("a", InstanceState::kGone);
    fleet.selector.answered(attempt, fleet.now + 5);
    fleet.selector.ended(attempt, fleet.now + 6);
    fleet.selector.ended(attempt, fleet.now + 7);
    fleet.selector.refused(attempt, fleet.now + 8);
    fleet.selector.broken(replica_selection::AttemptNo{999}, fleet.now);
    fleet.selector.set_load(load("a", 1), fleet.now);
    fleet.selector.record_handle_use("a", false);
    BOOST_TEST(fleet.selector.silent_since(attempt) == 0);
    BOOST_TEST(fleet.selector.expected_response(attempt) == 0);
    BOOST_TEST(fleet.selector.instance("a") == nullptr);
    BOOST_TEST(fleet.runner(plain()) == "b");
}

namespace {

model::Load ordered(const std::string& id, std::int64_t orders_taken, Stage stage, bool changing = false) {
    model::Load made = load(id, 0);
    made.orders_taken = orders_taken, made.stage = stage, made.changing = changing;
    return made;
}

} // namespace

// A server that changes its part turns away what it is sent: that is no failure of its, and nothing is sent.
BOOST_AUTO_TEST_CASE(a_server_that_changes_its_stage_is_left_alone_until_it_reports_the_new_one) {
    Fleet fleet(servers(0, 3));
    fleet.selector.record_stage_order("d0", 1, fleet.now);
    BOOST_TEST((fleet.runners(streaming()) == std::set<std::string>{"d1", "d2"}));
    fleet.selector.set_load(ordered("d0", 0, Stage::kDecode), fleet.now); // a report from before the order
    BOOST_TEST((fleet.runners(streaming()) == std::set<std::string>{"d1", "d2"}));
    fleet.selector.set_load(ordered("d0", 1, Stage::kDecode, true), fleet.now);
    BOOST_TEST((fleet.runners(streaming()) == std::set<std::string>{"d1", "d2"}));
    fleet.selector.set_load(ordered("d0", 1, Stage::kPrefill), fleet.now);
    BOOST_TEST((fleet.runners(streaming()) == std::set<std::string>{"d1", "d2"}));
    bool reads = false; // with a reader there, prompts are handed over
    for (int i = 0; i < kTries && !reads; ++i) {
        const auto pair = fleet.pair(reading("a" + std::to_string(i)));
        reads = pair && pair->reader == "d0";
    }
    BOOST_TEST(reads);
}

BOOST_AUTO_TEST_CASE(servers_that_all_change_are_used_where_nothing_else_is_there) {
    Fleet fleet(servers(0, 2));
    fleet.selector.record_stage_order("d0", 1, fleet.now);
    fleet.selector.record_stage_order("d1", 1, fleet.now);
    BOOST_TEST((fleet.runners(streaming()) == std::set<std::string>{"d0", "d1"}));
}

BOOST_AUTO_TEST_CASE(a_change_of_which_nothing_is_heard_ends_by_itself) {
    Fleet fleet(servers(0, 2));
    fleet.selector.record_stage_order("d0", 1, fleet.now);
    fleet.now += 11 * kSecond;
    BOOST_TEST((fleet.runners(streaming()) == std::set<std::string>{"d0", "d1"}));
}

// Heartbeats come more seldom than reports, and repeat what was.
BOOST_AUTO_TEST_CASE(a_heartbeat_from_before_a_change_does_not_undo_it) {
    Fleet fleet(servers(0, 3));
    const auto stage = [&] { return fleet.selector.instance("d0")->stage; };
    fleet.selector.set_load(ordered("d0", 1, Stage::kPrefill), fleet.now);
    fleet.tell(); // decode still
    BOOST_TEST((stage() == Stage::kPrefill));
    fleet.instances.at("d0").stage = Stage::kPrefill;
    fleet.tell();
    BOOST_TEST((stage() == Stage::kPrefill));
    fleet.instances.at("d0").stage = Stage::kDecode; // changed back, and no report has told yet
    fleet.tell();
    BOOST_TEST((stage() == Stage::kDecode));
}

// A request that came to it in its former part was answered with 421: it must not rest for as long as an
// address that is another server's.
BOOST_AUTO_TEST_CASE(a_server_that_has_changed_is_not_shunned_for_what_it_was) {
    Fleet fleet(servers(0, 2));
    fleet.selector.misdirected("d0", fleet.now);
    BOOST_TEST((fleet.runners(streaming()) == std::set<std::string>{"d1"}));
    fleet.instances.at("d0").stage = Stage::kPrefill;
    fleet.tell();
    fleet.instances.at("d0").stage = Stage::kDecode;
    fleet.tell();
    BOOST_TEST((fleet.runners(streaming()) == std::set<std::string>{"d0", "d1"}));
}
