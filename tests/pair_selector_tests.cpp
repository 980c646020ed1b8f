// Choice of servers for a request, by the events reported to the selector before.
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

constexpr Ticks kStart = 1'000'000, kTarget = 1500;
constexpr Ticks kSecond = kTicksPerSecond;
constexpr int kTries = 200; // enough for a random choice to pick every equal server

Instance server(const std::string& id, Stage stage = Stage::kNone) {
    Instance made;
    made.id = id, made.service = "model", made.stage = stage, made.slots = 8, made.zone = "a";
    made.models = {{"m", 1}};
    return made;
}

struct Fleet {
    explicit Fleet(std::vector<Instance> list, std::uint64_t seed = 1) : selector(seed) {
        for (const Instance& instance : list) instances[instance.id] = instance;
        apply();
    }
    void apply() { selector.set_instances(instances, now); }
    void set(const std::string& id, InstanceState state) {
        instances.at(id).state = state;
        apply();
    }
    std::optional<Pair> pair(const Request& request, const std::set<std::string>& tried = {},
                             bool may_split = true) {
        const Choice choice = selector.choose(request, tried, may_split, false, now);
        const auto* made = std::get_if<Pair>(&choice);
        return made == nullptr ? std::nullopt : std::optional(*made);
    }
    std::string decode_server(const Request& request, const std::set<std::string>& tried = {}) {
        const auto made = pair(request, tried);
        return made ? made->decode_server : "";
    }
    // All servers that many choices return as decode server.
    std::set<std::string> decode_servers(const Request& request, const std::set<std::string>& tried = {}) {
        std::set<std::string> all;
        for (int i = 0; i < kTries; ++i) all.insert(decode_server(request, tried));
        return all;
    }
    // A complete attempt: sent, answered after `took`, ended.
    void serve(const std::string& id, const Request& request, Work work, Ticks took) {
        const auto attempt = selector.sent(id, request, work, std::nullopt, now);
        now += took;
        selector.answered(attempt, now);
        selector.ended(attempt, now);
    }
    std::map<std::string, Instance> instances;
    Ticks now = kStart;
    PairSelector selector;
};

Request plain() {
    Request request;
    request.service = "model", request.model = "m", request.latency_target = kTarget;
    return request;
}

Request prompted(const std::string& shared, std::int64_t tokens = 6000) {
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

std::vector<Instance> servers(int prefill_servers, int decode_servers) {
    std::vector<Instance> made;
    for (int i = 0; i < prefill_servers; ++i)
        made.push_back(server("p" + std::to_string(i), Stage::kPrefill));
    for (int i = 0; i < decode_servers; ++i) made.push_back(server("d" + std::to_string(i), Stage::kDecode));
    return made;
}

model::Load load(const std::string& id, std::int64_t waiting, std::int64_t running = 0) {
    model::Load made;
    made.instance = id, made.waiting = waiting, made.running = running;
    return made;
}

// How many of a hundred new requests are rejected.
int count_rejected(Fleet& fleet, const Request& request) {
    int count = 0;
    for (int i = 0; i < 100; ++i) {
        const Choice choice = fleet.selector.choose(request, {}, true, true, fleet.now);
        count += std::holds_alternative<Overloaded>(choice) ? 1 : 0;
    }
    return count;
}

std::string prefill_at(const Pair& pair) {
    return pair.prefill_server.empty() ? pair.decode_server : pair.prefill_server;
}

} // namespace

BOOST_AUTO_TEST_CASE(lowest_score_wins_and_equals_share) {
    Fleet fleet({server("a"), server("b")});
    BOOST_TEST((fleet.decode_servers(plain()) == std::set<std::string>{"a", "b"}));
    fleet.selector.set_load(load("a", 1), fleet.now);
    BOOST_TEST((fleet.decode_servers(plain()) == std::set<std::string>{"b"}));
    fleet.selector.set_load(load("b", 2), fleet.now);
    BOOST_TEST((fleet.decode_servers(plain()) == std::set<std::string>{"a"}));
    fleet.selector.set_load(load("a", 0), fleet.now);
    fleet.selector.set_load(load("b", 0), fleet.now);
    BOOST_TEST((fleet.decode_servers(plain()) == std::set<std::string>{"a", "b"}));
}

BOOST_AUTO_TEST_CASE(own_attempts_count_times_the_number_of_edge_nodes) {
    Fleet fleet({server("a"), server("b")});
    fleet.selector.sent("a", plain(), Work::kUnstaged, 0, fleet.now);
    fleet.selector.set_load(load("b", 2), fleet.now);
    BOOST_TEST((fleet.decode_servers(plain()) == std::set<std::string>{"a"})); // 1 + 1 against 1 + 2
    fleet.selector.set_edge_nodes(4);
    BOOST_TEST((fleet.decode_servers(plain()) == std::set<std::string>{"b"})); // 1 + 4 against 1 + 2
    fleet.selector.set_edge_nodes(0); // none known yet: counts as this one
    BOOST_TEST((fleet.decode_servers(plain()) == std::set<std::string>{"a"}));
}

BOOST_AUTO_TEST_CASE(slow_server_is_avoided) {
    Fleet fleet({server("a"), server("b")});
    for (int i = 0; i < 10; ++i) {
        fleet.serve("a", plain(), Work::kUnstaged, 900);
        fleet.serve("b", plain(), Work::kUnstaged, 300);
    }
    BOOST_TEST((fleet.decode_servers(plain()) == std::set<std::string>{"b"}));
    fleet.now += 60 * kSecond; // old means count less than one waiting request
    fleet.selector.set_load(load("b", 1), fleet.now);
    BOOST_TEST((fleet.decode_servers(plain()) == std::set<std::string>{"a"}));
}

BOOST_AUTO_TEST_CASE(unanswered_attempt_counts_as_slow) {
    Fleet fleet({server("a"), server("b")});
    for (const char* id : {"a", "b"}) fleet.serve(id, plain(), Work::kUnstaged, 300);
    const auto waits = fleet.selector.sent("a", plain(), Work::kUnstaged, 0, fleet.now);
    for (int i = 0; i < 3; ++i) fleet.selector.sent("b", plain(), Work::kUnstaged, 0, fleet.now + 5000);
    fleet.selector.set_load(load("a", 2), fleet.now);
    fleet.now += 6000;
    BOOST_TEST((fleet.decode_servers(plain()) == std::set<std::string>{"b"}));
    BOOST_TEST(fleet.selector.last_activity(waits) == fleet.now - 6000);
    fleet.selector.answered(waits, fleet.now);
    BOOST_TEST(fleet.selector.last_activity(waits) == fleet.now);
}

BOOST_AUTO_TEST_CASE(only_servers_of_the_service_and_model_are_chosen) {
    Instance other_service = server("a"), other_model = server("b");
    other_service.service = "other", other_model.models = {{"n", 1}};
    Fleet fleet({other_service, other_model});
    BOOST_TEST(std::holds_alternative<NoServer>(fleet.selector.choose(plain(), {}, true, false, fleet.now)));
    fleet.instances["c"] = server("c");
    fleet.apply();
    BOOST_TEST((fleet.decode_servers(plain()) == std::set<std::string>{"c"}));
    Request any_model = plain();
    any_model.model.clear();
    BOOST_TEST((fleet.decode_servers(any_model) == std::set<std::string>{"b", "c"}));
}

BOOST_AUTO_TEST_CASE(draining_and_gone_servers_are_never_chosen) {
    for (const InstanceState state : {InstanceState::kDraining, InstanceState::kGone}) {
        Fleet fleet({server("a"), server("b")});
        fleet.set("a", state);
        BOOST_TEST((fleet.decode_servers(plain()) == std::set<std::string>{"b"}));
        BOOST_TEST((fleet.decode_servers(plain(), {"b"}) ==
                    std::set<std::string>{"b"})); // not even before one that was tried
        fleet.set("b", state);
        BOOST_TEST(
            std::holds_alternative<NoServer>(fleet.selector.choose(plain(), {}, true, false, fleet.now)));
    }
}

BOOST_AUTO_TEST_CASE(silent_servers_are_chosen_if_no_other_is_left) {
    Fleet fleet({server("a"), server("b")});
    fleet.set("a", InstanceState::kSilent);
    fleet.selector.set_load(load("b", 9), fleet.now);
    BOOST_TEST((fleet.decode_servers(plain()) == std::set<std::string>{"b"}));
    fleet.set("b", InstanceState::kSilent);
    BOOST_TEST((fleet.decode_servers(plain()) == std::set<std::string>{"a"}));
}

BOOST_AUTO_TEST_CASE(tried_servers_rank_last) {
    Fleet fleet({server("a"), server("b"), server("c")});
    fleet.set("c", InstanceState::kSilent);
    fleet.selector.set_load(load("b", 50), fleet.now);
    BOOST_TEST((fleet.decode_servers(plain(), {"a"}) == std::set<std::string>{"b"}));
    BOOST_TEST((fleet.decode_servers(plain(), {"a", "b"}) == std::set<std::string>{"c"}));
    BOOST_TEST((fleet.decode_servers(plain(), {"a", "b", "c"}) ==
                std::set<std::string>{"a", "c"})); // b has the longest queue
}

BOOST_AUTO_TEST_CASE(rejections_back_off_exponentially) {
    Fleet fleet({server("a"), server("b")});
    Ticks former = 0;
    for (int times = 0; times < 4; ++times) {
        const auto attempt = fleet.selector.sent("a", plain(), Work::kUnstaged, 0, fleet.now);
        fleet.selector.rejected(attempt, fleet.now);
        const Ticks began = fleet.now;
        BOOST_TEST((fleet.decode_servers(plain()) == std::set<std::string>{"b"}));
        while (fleet.decode_servers(plain()).size() == 1 && fleet.now < began + 10 * kSecond)
            fleet.now += 100;
        BOOST_TEST(fleet.now - began > former);
        BOOST_TEST(fleet.now - began < 5 * kSecond);
        former = fleet.now - began;
    }
    fleet.serve("a", plain(), Work::kUnstaged, 10); // an answer resets the backoff
    const auto attempt = fleet.selector.sent("a", plain(), Work::kUnstaged, 0, fleet.now);
    fleet.selector.rejected(attempt, fleet.now);
    fleet.now += former / 4;
    BOOST_TEST(fleet.decode_servers(plain()).contains("a"));
}

BOOST_AUTO_TEST_CASE(unreachable_server_backs_off) {
    Fleet fleet({server("a"), server("b")});
    fleet.selector.unreachable("a", fleet.now);
    BOOST_TEST((fleet.decode_servers(plain()) == std::set<std::string>{"b"}));
    BOOST_TEST(
        (fleet.decode_servers(plain(), {"b"}) == std::set<std::string>{"a"})); // before one that was tried
    fleet.now += kSecond;
    BOOST_TEST((fleet.decode_servers(plain()) == std::set<std::string>{"a", "b"}));
    fleet.selector.unreachable("unknown", fleet.now);
}

BOOST_AUTO_TEST_CASE(server_that_breaks_off_answers_is_avoided_for_seconds) {
    Fleet fleet({server("a"), server("b")});
    for (int i = 0; i < 4; ++i) {
        const auto attempt = fleet.selector.sent("a", plain(), Work::kUnstaged, 0, fleet.now);
        fleet.selector.failed(attempt, fleet.now + 1);
    }
    BOOST_TEST((fleet.decode_servers(plain()) == std::set<std::string>{"b"}));
    fleet.now += 30 * kSecond;
    BOOST_TEST((fleet.decode_servers(plain()) == std::set<std::string>{"a", "b"}));
}

BOOST_AUTO_TEST_CASE(fast_errors_do_not_look_like_a_fast_empty_server) {
    for (const bool breaks : {false, true}) {
        Fleet fleet({server("a"), server("b")});
        for (const char* id : {"a", "b"}) fleet.serve(id, plain(), Work::kUnstaged, 300);
        for (int i = 0; i < 50; ++i) {
            const auto attempt = fleet.selector.sent("a", plain(), Work::kUnstaged, 0, fleet.now);
            fleet.now += 1;
            breaks ? fleet.selector.failed(attempt, fleet.now) : fleet.selector.rejected(attempt, fleet.now);
        }
        fleet.now += 60 * kSecond;
        int quick = 0;
        for (int i = 0; i < kTries; ++i) quick += fleet.decode_server(plain()) == "a";
        BOOST_TEST((quick > kTries / 4 && quick < kTries * 3 / 4), quick); // equal again, not preferred
    }
}

BOOST_AUTO_TEST_CASE(servers_at_their_limit_make_a_backlog_until_the_next_window) {
    Fleet fleet({server("a"), server("b")});
    int sent = 0;
    for (; sent < 1000; ++sent) {
        const std::string id = fleet.decode_server(plain());
        if (id.empty()) break;
        fleet.selector.sent(id, plain(), Work::kUnstaged, 0, fleet.now);
    }
    BOOST_TEST(sent == 2 * static_cast<int>(kStartLimit));
    const Choice choice = fleet.selector.choose(plain(), {}, true, false, fleet.now);
    BOOST_REQUIRE(std::holds_alternative<Backlogged>(choice));
    const Ticks until = std::get<Backlogged>(choice).until;
    BOOST_TEST((until > fleet.now && until <= fleet.now + kWindow));
    fleet.now = until - 1;
    BOOST_TEST(fleet.decode_server(plain()).empty());
    fleet.now = until;
    BOOST_TEST(!fleet.decode_server(plain()).empty());
}

BOOST_AUTO_TEST_CASE(a_full_window_at_one_server_leaves_the_other) {
    Fleet fleet({server("a"), server("b")});
    fleet.selector.set_load(load("b", 90), fleet.now);
    for (int i = 0; i < static_cast<int>(kStartLimit); ++i)
        fleet.selector.sent("a", plain(), Work::kUnstaged, 0, fleet.now);
    BOOST_TEST((fleet.decode_servers(plain()) == std::set<std::string>{"b"}));
}

BOOST_AUTO_TEST_CASE(prompt_owners_are_few_and_the_same_at_every_node) {
    std::set<std::string> all;
    for (int prompt = 0; prompt < 30; ++prompt) {
        const Request request = prompted("prompt-" + std::to_string(prompt));
        std::vector<std::set<std::string>> homes(2);
        for (std::uint64_t seed = 1; seed <= 60; ++seed) {
            Fleet fleet(servers(6, 6), seed);
            const auto made = fleet.pair(request);
            BOOST_REQUIRE(made.has_value());
            homes[seed % 2].insert(prefill_at(*made));
        }
        std::set<std::string> either = homes[0];
        either.insert(homes[1].begin(), homes[1].end());
        BOOST_TEST(either.size() <= 2U);
        all.insert(either.begin(), either.end());
    }
    BOOST_TEST(all.size() >= 6U); // prompts are distributed
}

BOOST_AUTO_TEST_CASE(few_prompts_move_when_a_server_is_removed) {
    int moved = 0;
    const int prompts = 100;
    for (int prompt = 0; prompt < prompts; ++prompt) {
        const Request request = prompted("prompt-" + std::to_string(prompt));
        std::set<std::string> before, after;
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            Fleet fleet(servers(8, 1), seed);
            before.insert(prefill_at(*fleet.pair(request)));
            fleet.set("p3", InstanceState::kGone);
            after.insert(prefill_at(*fleet.pair(request)));
        }
        if (!before.contains("p3")) moved += before != after;
        BOOST_TEST(!after.contains("p3"));
    }
    BOOST_TEST(moved == 0);
}

BOOST_AUTO_TEST_CASE(prompt_is_prefilled_where_it_is_cached) {
    Fleet fleet(servers(6, 6));
    const Request request = prompted("prompt-1", 50'000);
    model::Service service;
    service.name = "model", service.engine = model::Engine{};
    service.engine->memory_tokens = 800'000;
    fleet.selector.set_services({service});
    const std::string first = prefill_at(*fleet.pair(request));
    const Work work =
        fleet.instances.at(first).stage == Stage::kPrefill ? Work::kPrefillOnly : Work::kPrefillAndDecode;
    fleet.serve(first, request, work, 100);
    fleet.now += kSecond;
    for (int i = 0; i < 20; ++i) {
        const auto made = fleet.pair(request);
        BOOST_TEST(prefill_at(*made) == first);
        BOOST_TEST(made->tokens_to_prefill < 10'000);
    }
}

BOOST_AUTO_TEST_CASE(prompts_are_not_prefilled_where_long_answers_run) {
    Fleet fleet(servers(0, 5));
    for (int i = 0; i < 5; ++i) fleet.selector.set_load(load("d" + std::to_string(i), 0, 0), fleet.now);
    std::set<std::string> long_answers, read;
    std::map<std::string, std::int64_t> running;
    for (int i = 0; i < 4; ++i) {
        const std::string id = fleet.decode_server(streaming("chat-" + std::to_string(i)));
        long_answers.insert(id);
        fleet.selector.answered(
            fleet.selector.sent(id, streaming(), Work::kPrefillAndDecode, std::nullopt, fleet.now),
            fleet.now + 100);
        fleet.selector.set_load(load(id, 0, ++running[id]), fleet.now);
        fleet.now += 200;
    }
    for (int i = 0; i < kTries; ++i) {
        const auto made = fleet.pair(prompted("prompt-" + std::to_string(i)));
        BOOST_REQUIRE(made.has_value());
        BOOST_TEST(made->prefill_server.empty());
        read.insert(made->decode_server);
    }
    BOOST_TEST(long_answers.size() <= 2U);
    for (const std::string& id : long_answers) BOOST_TEST(!read.contains(id), id);
    BOOST_TEST(read.size() >= 2U);
}

// Decode servers chosen for long answers while no attempt is answered.
std::set<std::string> dedicated_servers(Fleet& fleet) {
    std::set<std::string> all;
    for (int i = 0; i < 40; ++i) {
        const std::string id = fleet.decode_server(streaming());
        all.insert(id);
        fleet.selector.sent(id, streaming(), Work::kPrefillAndDecode, std::nullopt, fleet.now);
        fleet.now += kSecond / 20;
    }
    return all;
}

BOOST_AUTO_TEST_CASE(dedicated_servers_grow_with_reported_load) {
    std::size_t last = 0;
    for (const std::int64_t running : {0, 1, 2, 3}) { // of 8 slots, at each of 6 decode servers
        Fleet fleet(servers(0, 6));
        for (int i = 0; i < 6; ++i)
            fleet.selector.set_load(load("d" + std::to_string(i), 0, running), fleet.now);
        const std::size_t count = dedicated_servers(fleet).size();
        BOOST_TEST(count > last);
        last = count;
    }
    BOOST_TEST(last < 6U); // some are left to prefill
}

BOOST_AUTO_TEST_CASE(nodes_with_the_same_reports_dedicate_the_same_servers) {
    Fleet one(servers(0, 6), 1), other(servers(0, 6), 99);
    for (Fleet* fleet : {&one, &other})
        for (int i = 0; i < 6; ++i) fleet->selector.set_load(load("d" + std::to_string(i), 0, 2), fleet->now);
    BOOST_TEST((dedicated_servers(one) == dedicated_servers(other)));
}

BOOST_AUTO_TEST_CASE(dedicated_server_is_released_only_after_a_delay) {
    Fleet fleet(servers(0, 6));
    const auto report = [&](std::int64_t running) {
        for (int i = 0; i < 6; ++i)
            fleet.selector.set_load(load("d" + std::to_string(i), 0, running), fleet.now);
    };
    const auto prefill_servers = [&] {
        std::set<std::string> all;
        for (int i = 0; i < kTries; ++i)
            all.insert(prefill_at(*fleet.pair(prompted("p" + std::to_string(i)))));
        return all.size();
    };
    report(3);
    const std::size_t few = prefill_servers();
    report(0);
    fleet.now += kSecond / 2;
    BOOST_TEST(prefill_servers() == few);
    fleet.now += 4 * kSecond;
    BOOST_TEST(prefill_servers() > few);
}

// Prompts that are prefilled elsewhere than at their first owner, by kind of server.
struct Prefills {
    std::size_t at_prefill_servers = 0, at_decode_servers = 0;
};
Prefills prefills_beside_owner(Fleet& fleet, int prompts) {
    Prefills seen;
    for (int i = 0; i < prompts; ++i) {
        const Request request = prompted("prompt-" + std::to_string(i));
        const std::string owner = prefill_at(*fleet.pair(request));
        // The owner is slow: its attempt is unanswered for most of the latency target.
        const Work work =
            fleet.instances.at(owner).stage == Stage::kPrefill ? Work::kPrefillOnly : Work::kPrefillAndDecode;
        const auto waits = fleet.selector.sent(owner, request, work, std::nullopt, fleet.now);
        fleet.now += kTarget * 3 / 4;
        const std::string second = prefill_at(*fleet.pair(request));
        if (second != owner) {
            const bool prefill_server = fleet.instances.at(second).stage == Stage::kPrefill;
            ++(prefill_server ? seen.at_prefill_servers : seen.at_decode_servers);
        }
        fleet.selector.failed(waits, fleet.now);
        fleet.now += 60 * kSecond;
    }
    return seen;
}

BOOST_AUTO_TEST_CASE(second_owner_is_a_prefill_server_while_links_are_free) {
    Fleet fleet(servers(4, 6));
    const Prefills seen = prefills_beside_owner(fleet, 20);
    BOOST_TEST(seen.at_prefill_servers >= 15U);
    BOOST_TEST(seen.at_decode_servers == 0U);
}

BOOST_AUTO_TEST_CASE(slow_transfers_shift_prefills_to_decode_servers) {
    Fleet fleet(servers(6, 6));
    for (int i = 0; i < 6; ++i) fleet.selector.set_load(load("d" + std::to_string(i), 0, 0), fleet.now);
    const auto prefilled_by_decode_servers = [&] {
        int count = 0;
        for (int i = 0; i < kTries; ++i)
            count += fleet.pair(prompted("prompt-" + std::to_string(i)))->prefill_server.empty() ? 1 : 0;
        return count;
    };
    const int before = prefilled_by_decode_servers();
    for (int i = 0; i < 5; ++i) fleet.serve("d0", prompted("moved"), Work::kFetchAndDecode, 2 * kTarget);
    BOOST_TEST(prefilled_by_decode_servers() > before + kTries / 4);
    fleet.now += 60 * kSecond; // old fetch times do not count
    BOOST_TEST(prefilled_by_decode_servers() <= before + kTries / 10);
}

BOOST_AUTO_TEST_CASE(best_reported_server_does_not_get_everything) {
    Fleet fleet(servers(0, 6));
    for (int i = 0; i < 6; ++i) // of 8 slots: all six are dedicated to long answers
        fleet.selector.set_load(load("d" + std::to_string(i), i == 0 ? 0 : 1, 7), fleet.now);
    std::map<std::string, int> sent;
    for (int i = 0; i < kTries; ++i) ++sent[fleet.decode_server(streaming())];
    BOOST_TEST(sent["d0"] > kTries / 5);     // preferred where it is sampled
    BOOST_TEST(sent["d0"] < kTries * 3 / 5); // not always sampled
    BOOST_TEST(sent.size() == 6U);
}

BOOST_AUTO_TEST_CASE(single_server_gets_both_kinds) {
    Fleet fleet(servers(0, 1));
    BOOST_TEST(fleet.decode_server(streaming()) == "d0");
    fleet.selector.sent("d0", streaming(), Work::kPrefillAndDecode, std::nullopt, fleet.now);
    fleet.now += kSecond;
    BOOST_TEST(fleet.decode_server(prompted("prompt-1")) == "d0");
}

BOOST_AUTO_TEST_CASE(no_split_if_disallowed_or_prefill_servers_are_unhealthy) {
    Fleet fleet(servers(3, 3));
    const Request request = prompted("prompt-1", 60'000);
    bool hands_over = false;
    for (int i = 0; i < kTries; ++i) hands_over = hands_over || !fleet.pair(request)->prefill_server.empty();
    BOOST_TEST(hands_over);
    for (int i = 0; i < kTries; ++i) BOOST_TEST(fleet.pair(request, {}, false)->prefill_server.empty());
    for (const char* id : {"p0", "p1", "p2"})
        for (int i = 0; i < 5; ++i)
            fleet.selector.record_handle_use(id, false); // its KV data was gone each time
    for (int i = 0; i < kTries; ++i) BOOST_TEST(fleet.pair(request)->prefill_server.empty());
}

BOOST_AUTO_TEST_CASE(request_without_prompt_is_not_split) {
    Fleet fleet(servers(3, 3));
    Request request = plain();
    for (int i = 0; i < 3; ++i) { // a pair would be fast, a decode server alone slow
        const std::string number = std::to_string(i);
        fleet.serve("p" + number, request, Work::kPrefillOnly, 10);
        fleet.serve("d" + number, request, Work::kFetchAndDecode, 10);
        fleet.serve("d" + number, request, Work::kPrefillAndDecode, kTarget);
    }
    for (int i = 0; i < kTries; ++i) BOOST_TEST(fleet.pair(request)->prefill_server.empty());
}

BOOST_AUTO_TEST_CASE(some_are_rejected_while_prefills_are_expected_late) {
    Fleet fleet(servers(0, 1));
    fleet.serve("d0", prompted("slow"), Work::kPrefillAndDecode, 2 * kTarget);
    fleet.selector.sent("d0", prompted("waits"), Work::kPrefillAndDecode, std::nullopt, fleet.now);
    const int away =
        count_rejected(fleet, prompted("next")); // 0.8 of 2 targets are admitted: 40 of a hundred
    BOOST_TEST(away > 30);
    BOOST_TEST(away < 90);
}

BOOST_AUTO_TEST_CASE(nothing_is_rejected_without_a_pending_prefill) {
    Fleet fleet(servers(1, 1));
    for (const char* id : {"p0", "d0"}) {
        fleet.serve(id, prompted("slow"), id[0] == 'p' ? Work::kPrefillOnly : Work::kPrefillAndDecode,
                    4 * kTarget);
        BOOST_TEST(count_rejected(fleet, prompted("next")) == 0);
    }
    // A running stream has been prefilled, and another service's prefill does not count.
    const auto runs =
        fleet.selector.sent("d0", prompted("runs"), Work::kPrefillAndDecode, std::nullopt, fleet.now);
    fleet.now += 4 * kTarget;
    fleet.selector.answered(runs, fleet.now);
    Instance other = server("o0", Stage::kDecode);
    other.service = "other";
    fleet.instances["o0"] = other;
    fleet.apply();
    fleet.selector.sent("o0", prompted("others"), Work::kPrefillAndDecode, std::nullopt, fleet.now);
    BOOST_TEST(count_rejected(fleet, prompted("next")) == 0);
    fleet.selector.sent("d0", prompted("waits"), Work::kPrefillAndDecode, std::nullopt, fleet.now);
    BOOST_TEST(count_rejected(fleet, prompted("next")) > 0);
}

BOOST_AUTO_TEST_CASE(prefill_server_never_decodes) {
    Fleet fleet(servers(3, 0));
    BOOST_TEST(
        std::holds_alternative<NoServer>(fleet.selector.choose(prompted("p"), {}, true, false, fleet.now)));
    BOOST_TEST(
        std::holds_alternative<NoServer>(fleet.selector.choose(streaming(), {}, true, false, fleet.now)));
}

BOOST_AUTO_TEST_CASE(events_of_unknown_attempts_are_ignored) {
    Fleet fleet({server("a"), server("b")});
    const auto attempt = fleet.selector.sent("a", plain(), Work::kUnstaged, 0, fleet.now);
    fleet.set("a", InstanceState::kGone);
    fleet.selector.answered(attempt, fleet.now + 5);
    fleet.selector.ended(attempt, fleet.now + 6);
    fleet.selector.ended(attempt, fleet.now + 7);
    fleet.selector.rejected(attempt, fleet.now + 8);
    fleet.selector.failed(replica_selection::AttemptNo{999}, fleet.now);
    fleet.selector.set_load(load("a", 1), fleet.now);
    fleet.selector.record_handle_use("a", false);
    BOOST_TEST(fleet.selector.last_activity(attempt) == 0);
    BOOST_TEST(fleet.selector.expected_response(attempt) == 0);
    BOOST_TEST(fleet.selector.instance("a") == nullptr);
    BOOST_TEST(fleet.decode_server(plain()) == "b");
}

namespace {

model::Load ordered(const std::string& id, std::int64_t orders_accepted, Stage stage, bool changing = false) {
    model::Load made = load(id, 0);
    made.orders_accepted = orders_accepted, made.stage = stage, made.changing = changing;
    return made;
}

} // namespace

// A server that changes its stage rejects requests. That is no failure, and nothing is sent to it.
BOOST_AUTO_TEST_CASE(changing_server_is_avoided_until_it_reports_its_new_stage) {
    Fleet fleet(servers(0, 3));
    fleet.selector.record_stage_order("d0", 1, fleet.now);
    BOOST_TEST((fleet.decode_servers(streaming()) == std::set<std::string>{"d1", "d2"}));
    fleet.selector.set_load(ordered("d0", 0, Stage::kDecode), fleet.now); // a report from before the order
    BOOST_TEST((fleet.decode_servers(streaming()) == std::set<std::string>{"d1", "d2"}));
    fleet.selector.set_load(ordered("d0", 1, Stage::kDecode, true), fleet.now);
    BOOST_TEST((fleet.decode_servers(streaming()) == std::set<std::string>{"d1", "d2"}));
    fleet.selector.set_load(ordered("d0", 1, Stage::kPrefill), fleet.now);
    BOOST_TEST((fleet.decode_servers(streaming()) == std::set<std::string>{"d1", "d2"}));
    bool reads = false; // with a prefill server, prompts are split
    for (int i = 0; i < kTries && !reads; ++i) {
        const auto pair = fleet.pair(prompted("a" + std::to_string(i)));
        reads = pair && pair->prefill_server == "d0";
    }
    BOOST_TEST(reads);
}

BOOST_AUTO_TEST_CASE(changing_servers_are_used_if_no_other_is_left) {
    Fleet fleet(servers(0, 2));
    fleet.selector.record_stage_order("d0", 1, fleet.now);
    fleet.selector.record_stage_order("d1", 1, fleet.now);
    BOOST_TEST((fleet.decode_servers(streaming()) == std::set<std::string>{"d0", "d1"}));
}

BOOST_AUTO_TEST_CASE(unreported_stage_change_times_out) {
    Fleet fleet(servers(0, 2));
    fleet.selector.record_stage_order("d0", 1, fleet.now);
    fleet.now += 11 * kSecond;
    BOOST_TEST((fleet.decode_servers(streaming()) == std::set<std::string>{"d0", "d1"}));
}

// Heartbeats are less frequent than reports and may repeat the state from before a change.
BOOST_AUTO_TEST_CASE(old_heartbeat_does_not_undo_a_stage_change) {
    Fleet fleet(servers(0, 3));
    const auto stage = [&] { return fleet.selector.instance("d0")->stage; };
    fleet.selector.set_load(ordered("d0", 1, Stage::kPrefill), fleet.now);
    fleet.apply(); // still decode
    BOOST_TEST((stage() == Stage::kPrefill));
    fleet.instances.at("d0").stage = Stage::kPrefill;
    fleet.apply();
    BOOST_TEST((stage() == Stage::kPrefill));
    fleet.instances.at("d0").stage = Stage::kDecode; // changed back, before any report
    fleet.apply();
    BOOST_TEST((stage() == Stage::kDecode));
}

// A request sent to the server for its former stage is answered with 421. That must not cause the long
// backoff of an address that another server has taken over.
BOOST_AUTO_TEST_CASE(stage_change_ends_the_backoff_of_a_misdirected_request) {
    Fleet fleet(servers(0, 2));
    fleet.selector.misdirected("d0", fleet.now);
    BOOST_TEST((fleet.decode_servers(streaming()) == std::set<std::string>{"d1"}));
    fleet.instances.at("d0").stage = Stage::kPrefill;
    fleet.apply();
    fleet.instances.at("d0").stage = Stage::kDecode;
    fleet.apply();
    BOOST_TEST((fleet.decode_servers(streaming()) == std::set<std::string>{"d0", "d1"}));
}
