// The guards of one member, each asked by a single message that has to be passed over. Histories hardly ever
// bring such a message about at the moment in which it would do harm.
#define BOOST_TEST_MODULE consensus_guard
#include "consensus/replica.hpp"

#include <algorithm>
#include <boost/test/included/unit_test.hpp>

namespace {

using namespace ivyrill;
using namespace ivyrill::consensus;

constexpr Tenths kStart = 1'000'000;

// One of three founders; the other two are played by the test. Its disk answers when it is told to.
struct Guarded {
    const Member self{MemberId{1}, "a", "z"}, second{MemberId{2}, "b", "z"}, third{MemberId{3}, "c", "z"};
    Replica replica{options(), {}, kStart};
    Tenths now = kStart;
    bool disk_answers = true;
    std::vector<StoreTicket> open_stores;
    std::vector<Message> sent;
    std::vector<ProposalDone> proposals;

    explicit Guarded(bool founds = true) {
        if (founds) replica.bootstrap({self, second, third}, "value", now);
        settle();
        see(true);
        sent.clear();
    }
    Options options() const {
        Options made;
        made.self = self, made.seed = 9;
        return made;
    }
    void see(bool others_are_alive) {
        replica.set_member_statuses({{self, true}, {second, others_are_alive}, {third, others_are_alive}}, 3,
                                    3, now);
        settle();
    }
    void settle() {
        for (auto effects = replica.take_effects(); !effects.empty(); effects = replica.take_effects())
            for (const Effect& effect : effects) {
                if (const auto* store = std::get_if<Store>(&effect)) take(*store);
                if (const auto* send = std::get_if<Send>(&effect)) sent.push_back(send->message);
                if (const auto* done = std::get_if<ProposalDone>(&effect)) proposals.push_back(*done);
            }
    }
    void take(const Store& store) {
        if (disk_answers)
            replica.stored(store.ticket, now);
        else
            open_stores.push_back(store.ticket);
    }
    void hear(const Member& from, Body body) {
        replica.receive({from.id, self.id, std::move(body)}, now);
        settle();
    }
    template <class Wanted> std::vector<Wanted> said() const {
        std::vector<Wanted> found;
        for (const Message& message : sent)
            if (const auto* body = std::get_if<Wanted>(&message.body)) found.push_back(*body);
        return found;
    }
    Stamp newest() const { return replica.newest()->stamp; }
    // Its time has come: it asks for pre-votes.
    void stand() {
        now = replica.next_tick();
        replica.tick(now);
        settle();
    }
    void campaign() { // ... and has them: it asks for votes
        stand();
        const std::uint64_t asked = said<VoteRequest>().back().term;
        hear(second, VoteReply{asked, true, true});
    }
    void lead() { // ... and has those, and its entry is stored by a majority
        campaign();
        hear(second, VoteReply{replica.term(), true, false});
        hear(second, AppendReply{replica.term(), 1, newest(), {5, now}});
    }
    void follow(std::uint64_t term) { // the second one's heartbeat
        Append append;
        append.term = term, append.round = 1, append.newest = newest(), append.committed = newest();
        hear(second, append);
    }
};

bool granted(const Guarded& here) {
    return !here.said<VoteReply>().empty() && here.said<VoteReply>().back().granted;
}

} // namespace

BOOST_AUTO_TEST_CASE(it_leads_where_nothing_is_wrong) {
    Guarded here;
    here.lead();
    BOOST_TEST(here.replica.leads());
}

BOOST_AUTO_TEST_CASE(a_leader_gives_no_pre_vote) {
    Guarded here;
    here.lead();
    here.now += 20'000;
    here.hear(here.third, VoteRequest{here.replica.term() + 1, here.newest(), true});
    BOOST_TEST(!granted(here));
}

BOOST_AUTO_TEST_CASE(a_pre_vote_for_a_term_that_is_not_ahead_is_not_given) {
    Guarded here;
    here.hear(here.third, VoteRequest{here.replica.term(), here.newest(), true});
    BOOST_TEST(!granted(here));
    here.hear(here.third, VoteRequest{here.replica.term() + 1, here.newest(), true});
    BOOST_TEST(granted(here));
}

BOOST_AUTO_TEST_CASE(a_vote_for_an_old_term_is_not_given) {
    Guarded here;
    here.follow(7);
    here.hear(here.third, VoteRequest{5, here.newest(), false});
    BOOST_TEST(!granted(here));
    here.hear(here.third, VoteRequest{7, here.newest(), false}); // its vote in that term is free
    BOOST_TEST(granted(here));
}

BOOST_AUTO_TEST_CASE(pre_votes_of_another_term_do_not_count) {
    Guarded here;
    here.stand();
    const std::uint64_t asked = here.said<VoteRequest>().back().term;
    here.hear(here.second, VoteReply{asked - 1, true, true});
    BOOST_TEST(here.replica.term() < asked); // it has not stood
}

// Of a candidacy before, e.g. held up by a cut: with it the member would lead a term in which nobody but
// itself has voted for it.
BOOST_AUTO_TEST_CASE(votes_of_another_term_do_not_count) {
    Guarded here;
    here.campaign();
    const std::uint64_t former = here.replica.term();
    here.campaign();
    BOOST_REQUIRE(here.replica.term() > former);
    here.hear(here.second, VoteReply{former, true, false});
    BOOST_TEST((here.replica.leader() != here.self.id));
    here.hear(here.second, VoteReply{here.replica.term(), true, false});
    BOOST_TEST((here.replica.leader() == here.self.id));
}

// It could forget that it stood, and vote for another one in the same term.
BOOST_AUTO_TEST_CASE(votes_do_not_count_before_the_own_one_is_durable) {
    Guarded here;
    here.stand();
    here.disk_answers = false;
    here.hear(here.second, VoteReply{here.said<VoteRequest>().back().term, true, true});
    BOOST_REQUIRE(here.open_stores.size() == 1U);
    here.hear(here.second, VoteReply{here.replica.term(), true, false});
    here.hear(here.third, VoteReply{here.replica.term(), true, false});
    BOOST_TEST((here.replica.leader() != here.self.id));
}

BOOST_AUTO_TEST_CASE(a_hand_over_of_another_term_or_by_another_one_is_passed_over) {
    Guarded here;
    here.follow(4);
    here.hear(here.second, TimeoutNow{3});
    BOOST_TEST(here.replica.term() == 4U);
    here.hear(here.third, TimeoutNow{4});
    BOOST_TEST(here.replica.term() == 4U);
    here.hear(here.second, TimeoutNow{4});
    BOOST_TEST(here.replica.term() == 5U);
}

BOOST_AUTO_TEST_CASE(an_echo_counts_of_this_process_and_of_the_past_only) {
    Guarded here;
    here.now += 5'000;
    const auto echoed = [&](std::uint64_t process, Tenths at) {
        Append append;
        append.term = 4, append.round = 1, append.newest = here.newest();
        append.echo = ContactToken{process, at};
        here.hear(here.second, append);
    };
    echoed(8, here.now - 100); // of the process before
    BOOST_TEST(!here.replica.contact_at().has_value());
    echoed(9, here.now + 100); // its clock has not shown that yet
    BOOST_TEST(!here.replica.contact_at().has_value());
    echoed(9, here.now - 100);
    BOOST_TEST((here.replica.contact_at() == here.now - 100));
}

// What it knew while it led is no contact with whoever leads now.
BOOST_AUTO_TEST_CASE(a_leader_that_is_replaced_has_no_contact_until_it_hears_its_successor) {
    Guarded here;
    here.follow(2);
    Append append;
    append.term = 2, append.round = 2, append.newest = here.newest();
    append.echo = ContactToken{9, here.now};
    here.hear(here.second, append);
    BOOST_REQUIRE(here.replica.contact_at().has_value());
    here.now += 30'000; // nothing is heard any more
    here.lead();
    BOOST_REQUIRE(here.replica.leads());
    here.hear(here.third, VoteRequest{here.replica.term() + 1, {99, 99}, false});
    BOOST_TEST(!here.replica.leads());
    BOOST_TEST(!here.replica.contact_at().has_value());
}

BOOST_AUTO_TEST_CASE(whoever_resigns_takes_no_proposal) {
    Guarded here;
    here.lead();
    here.replica.resign(here.now);
    here.settle();
    here.replica.propose([](const std::string&) { return std::optional<std::string>("next"); }, here.now);
    here.settle();
    BOOST_REQUIRE(here.proposals.size() == 1U);
    BOOST_TEST((here.proposals.front().outcome == ProposalOutcome::kRejected));
}

// It knows all that the former leader committed; the present one may have committed more in its own term.
BOOST_AUTO_TEST_CASE(what_an_older_leader_committed_does_not_make_a_member_caught_up) {
    Guarded here;
    here.follow(1);
    BOOST_REQUIRE(here.replica.committed().has_value());
    Append append; // of a later one, which has committed nothing of its own yet
    append.term = 6, append.round = 1, append.newest = {6, 9}, append.committed = here.newest();
    here.hear(here.third, append);
    BOOST_TEST(!here.replica.caught_up());
}

BOOST_AUTO_TEST_CASE(a_small_group_takes_no_proposal_while_it_may_still_grow) {
    Guarded here;
    here.replica.set_member_statuses({{here.self, true}, {here.second, true}, {here.third, true}}, 5, 9,
                                     here.now);
    here.lead();
    here.replica.propose([](const std::string&) { return std::optional<std::string>("next"); }, here.now);
    here.settle();
    BOOST_TEST(here.replica.newest()->payload == "value");
    here.now += 31'000;
    here.hear(here.second, AppendReply{here.replica.term(), 2, here.newest(), {5, here.now}});
    BOOST_TEST(here.replica.newest()->payload == "next"); // there is nobody to grow by
}

BOOST_AUTO_TEST_CASE(a_member_that_is_no_voter_does_not_stand) {
    Guarded here(false);
    Append append;
    append.term = 4, append.round = 1, append.newest = {4, 2}, append.committed = {4, 2};
    append.entry = Entry{{4, 2}, {here.second, here.third}, {}, "value"};
    here.hear(here.second, append);
    here.sent.clear();
    for (int i = 0; i < 3; ++i) here.stand();
    BOOST_TEST(here.said<VoteRequest>().empty());
}

BOOST_AUTO_TEST_CASE(replies_of_an_older_term_do_not_count_as_copies) {
    Guarded here;
    here.campaign();
    here.hear(here.second, VoteReply{here.replica.term(), true, false});
    here.hear(here.second, AppendReply{here.replica.term() - 1, 1, here.newest(), {5, here.now}});
    BOOST_TEST(!here.replica.leads());
    BOOST_TEST(here.replica.dropped_messages().older_term == 1U);
}
