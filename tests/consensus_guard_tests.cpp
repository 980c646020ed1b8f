// Checks of a consensus member against single messages that it must ignore. Simulated histories rarely
// produce such a message at the moment in which it would do harm.
#define BOOST_TEST_MODULE consensus_guard
#include "consensus/replica.hpp"

#include <algorithm>
#include <boost/test/included/unit_test.hpp>

namespace {

using namespace ivyrill;
using namespace ivyrill::consensus;

constexpr Ticks kStart = 1'000'000;

// One of three initial voters; the test plays the other two. Its disk completes writes while `disk_answers`.
struct TestMember {
    const Member self{MemberId{1}, "a", "z"}, second{MemberId{2}, "b", "z"}, third{MemberId{3}, "c", "z"};
    Replica replica{options(), {}, kStart};
    Ticks now = kStart;
    bool disk_answers = true;
    std::vector<StoreTicket> pending_stores;
    std::vector<Message> sent;
    std::vector<ProposalDone> proposals;

    explicit TestMember(bool bootstraps = true) {
        if (bootstraps) replica.bootstrap({self, second, third}, "value", now);
        execute_effects();
        set_others_alive(true);
        sent.clear();
    }
    Options options() const {
        Options options;
        options.self = self, options.seed = 9;
        return options;
    }
    void set_others_alive(bool others_are_alive) {
        replica.set_member_statuses({{self, true}, {second, others_are_alive}, {third, others_are_alive}}, 3,
                                    3, now);
        execute_effects();
    }
    void execute_effects() {
        for (auto effects = replica.take_effects(); !effects.empty(); effects = replica.take_effects())
            for (const Effect& effect : effects) {
                if (const auto* store = std::get_if<Store>(&effect)) handle_store(*store);
                if (const auto* send = std::get_if<Send>(&effect)) sent.push_back(send->message);
                if (const auto* done = std::get_if<ProposalDone>(&effect)) proposals.push_back(*done);
            }
    }
    void handle_store(const Store& store) {
        if (disk_answers)
            replica.stored(store.ticket, now);
        else
            pending_stores.push_back(store.ticket);
    }
    void receive(const Member& from, Body body) {
        replica.receive({from.id, self.id, std::move(body)}, now);
        execute_effects();
    }
    template <class Wanted> std::vector<Wanted> messages_sent() const {
        std::vector<Wanted> found;
        for (const Message& message : sent)
            if (const auto* body = std::get_if<Wanted>(&message.body)) found.push_back(*body);
        return found;
    }
    Stamp newest() const { return replica.newest()->stamp; }
    // Lets the election timeout expire: the member requests pre-votes.
    void start_pre_vote() {
        now = replica.next_tick();
        replica.tick(now);
        execute_effects();
    }
    void campaign() { // ... receives them and requests votes
        start_pre_vote();
        const std::uint64_t asked = messages_sent<VoteRequest>().back().term;
        receive(second, VoteReply{asked, true, true});
    }
    void lead() { // ... receives them, and its entry is stored by a majority
        campaign();
        receive(second, VoteReply{replica.term(), true, false});
        receive(second, AppendReply{replica.term(), 1, newest(), {5, now}});
    }
    void receive_heartbeat(std::uint64_t term) { // from the second member
        Append append;
        append.term = term, append.round = 1, append.newest = newest(), append.committed = newest();
        receive(second, append);
    }
};

bool granted(const TestMember& member) {
    return !member.messages_sent<VoteReply>().empty() && member.messages_sent<VoteReply>().back().granted;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_member_becomes_leader) {
    TestMember member;
    member.lead();
    BOOST_TEST(member.replica.leads());
}

BOOST_AUTO_TEST_CASE(a_leader_denies_pre_votes) {
    TestMember member;
    member.lead();
    member.now += 20'000;
    member.receive(member.third, VoteRequest{member.replica.term() + 1, member.newest(), true});
    BOOST_TEST(!granted(member));
}

BOOST_AUTO_TEST_CASE(a_pre_vote_for_the_current_term_is_denied) {
    TestMember member;
    member.receive(member.third, VoteRequest{member.replica.term(), member.newest(), true});
    BOOST_TEST(!granted(member));
    member.receive(member.third, VoteRequest{member.replica.term() + 1, member.newest(), true});
    BOOST_TEST(granted(member));
}

BOOST_AUTO_TEST_CASE(a_vote_for_an_old_term_is_denied) {
    TestMember member;
    member.receive_heartbeat(7);
    member.receive(member.third, VoteRequest{5, member.newest(), false});
    BOOST_TEST(!granted(member));
    member.receive(member.third, VoteRequest{7, member.newest(), false}); // it has not voted in that term
    BOOST_TEST(granted(member));
}

BOOST_AUTO_TEST_CASE(pre_votes_for_another_term_are_not_counted) {
    TestMember member;
    member.start_pre_vote();
    const std::uint64_t asked = member.messages_sent<VoteRequest>().back().term;
    member.receive(member.second, VoteReply{asked - 1, true, true});
    BOOST_TEST(member.replica.term() < asked); // no election was started
}

// A vote of an earlier candidacy, e.g. delayed by a partition: counting it would make the member leader of a
// term in which only it has voted for itself.
BOOST_AUTO_TEST_CASE(votes_for_another_term_are_not_counted) {
    TestMember member;
    member.campaign();
    const std::uint64_t former = member.replica.term();
    member.campaign();
    BOOST_REQUIRE(member.replica.term() > former);
    member.receive(member.second, VoteReply{former, true, false});
    BOOST_TEST((member.replica.leader() != member.self.id));
    member.receive(member.second, VoteReply{member.replica.term(), true, false});
    BOOST_TEST((member.replica.leader() == member.self.id));
}

// Otherwise the member could lose its own vote in a crash and vote for another candidate in the same term.
BOOST_AUTO_TEST_CASE(votes_are_not_counted_before_the_own_vote_is_durable) {
    TestMember member;
    member.start_pre_vote();
    member.disk_answers = false;
    member.receive(member.second, VoteReply{member.messages_sent<VoteRequest>().back().term, true, true});
    BOOST_REQUIRE(member.pending_stores.size() == 1U);
    member.receive(member.second, VoteReply{member.replica.term(), true, false});
    member.receive(member.third, VoteReply{member.replica.term(), true, false});
    BOOST_TEST((member.replica.leader() != member.self.id));
}

BOOST_AUTO_TEST_CASE(a_timeout_now_of_another_term_or_member_is_ignored) {
    TestMember member;
    member.receive_heartbeat(4);
    member.receive(member.second, TimeoutNow{3});
    BOOST_TEST(member.replica.term() == 4U);
    member.receive(member.third, TimeoutNow{4});
    BOOST_TEST(member.replica.term() == 4U);
    member.receive(member.second, TimeoutNow{4});
    BOOST_TEST(member.replica.term() == 5U);
}

BOOST_AUTO_TEST_CASE(only_echoes_of_past_tokens_of_this_process_count_as_contact) {
    TestMember member;
    member.now += 5'000;
    const auto echoed = [&](std::uint64_t process, Ticks at) {
        Append append;
        append.term = 4, append.round = 1, append.newest = member.newest();
        append.echo = ContactToken{process, at};
        member.receive(member.second, append);
    };
    echoed(8, member.now - 100); // of the previous process
    BOOST_TEST(!member.replica.contact_at().has_value());
    echoed(9, member.now + 100); // a time in the future
    BOOST_TEST(!member.replica.contact_at().has_value());
    echoed(9, member.now - 100);
    BOOST_TEST((member.replica.contact_at() == member.now - 100));
}

// Contact of its own leadership must not count as contact with its successor.
BOOST_AUTO_TEST_CASE(a_replaced_leader_has_no_contact_until_it_hears_its_successor) {
    TestMember member;
    member.receive_heartbeat(2);
    Append append;
    append.term = 2, append.round = 2, append.newest = member.newest();
    append.echo = ContactToken{9, member.now};
    member.receive(member.second, append);
    BOOST_REQUIRE(member.replica.contact_at().has_value());
    member.now += 30'000; // no message arrives
    member.lead();
    BOOST_REQUIRE(member.replica.leads());
    member.receive(member.third, VoteRequest{member.replica.term() + 1, {99, 99}, false});
    BOOST_TEST(!member.replica.leads());
    BOOST_TEST(!member.replica.contact_at().has_value());
}

BOOST_AUTO_TEST_CASE(a_resigning_leader_rejects_proposals) {
    TestMember member;
    member.lead();
    member.replica.resign(member.now);
    member.execute_effects();
    member.replica.propose([](const std::string&) { return std::optional<std::string>("next"); }, member.now);
    member.execute_effects();
    BOOST_REQUIRE(member.proposals.size() == 1U);
    BOOST_TEST((member.proposals.front().outcome == ProposalOutcome::kRejected));
}

// The member holds everything that the former leader committed; the current one may have committed more.
BOOST_AUTO_TEST_CASE(a_commit_of_an_older_leader_does_not_make_a_member_caught_up) {
    TestMember member;
    member.receive_heartbeat(1);
    BOOST_REQUIRE(member.replica.committed().has_value());
    Append append; // of a later leader, which has committed nothing in its term yet
    append.term = 6, append.round = 1, append.newest = {6, 9}, append.committed = member.newest();
    member.receive(member.third, append);
    BOOST_TEST(!member.replica.caught_up());
}

BOOST_AUTO_TEST_CASE(a_small_group_delays_proposals_while_it_may_still_grow) {
    TestMember member;
    member.replica.set_member_statuses({{member.self, true}, {member.second, true}, {member.third, true}}, 5,
                                       9, member.now);
    member.lead();
    member.replica.propose([](const std::string&) { return std::optional<std::string>("next"); }, member.now);
    member.execute_effects();
    BOOST_TEST(member.replica.newest()->payload == "value");
    member.now += 31'000;
    member.receive(member.second, AppendReply{member.replica.term(), 2, member.newest(), {5, member.now}});
    BOOST_TEST(member.replica.newest()->payload == "next"); // no further member appeared in time
}

BOOST_AUTO_TEST_CASE(a_learner_starts_no_election) {
    TestMember member(false);
    Append append;
    append.term = 4, append.round = 1, append.newest = {4, 2}, append.committed = {4, 2};
    append.entry = Entry{{4, 2}, {member.second, member.third}, {}, "value"};
    member.receive(member.second, append);
    member.sent.clear();
    for (int i = 0; i < 3; ++i) member.start_pre_vote();
    BOOST_TEST(member.messages_sent<VoteRequest>().empty());
}

BOOST_AUTO_TEST_CASE(replies_of_an_older_term_are_not_counted_as_copies) {
    TestMember member;
    member.campaign();
    member.receive(member.second, VoteReply{member.replica.term(), true, false});
    member.receive(member.second,
                   AppendReply{member.replica.term() - 1, 1, member.newest(), {5, member.now}});
    BOOST_TEST(!member.replica.leads());
    BOOST_TEST(member.replica.dropped_messages().older_term == 1U);
}
